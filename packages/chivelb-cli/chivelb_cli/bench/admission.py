"""Comparison of admission strategies for a mix of large and small requests.

The admission queue is driven directly by a discrete-event simulation of
targets with a limited number of tokens; no wall-clock time passes.
"""

import heapq
import random

from chivelb_core import admission
import msgspec

from chivelb_cli.bench import records

TARGET_COUNT = 4
TARGET_CAPACITY_TOKENS = 16_000
SMALL_TOKENS = 1_000
LARGE_TOKENS = 14_000
SMALL_SERVICE_S = 0.5
LARGE_SERVICE_S = 1.5
LARGE_MEAN_INTERVAL_S = 4.0
DURATION_S = 400.0
DEADLINE_S = 30.0
ADMISSION_STRATEGIES = ("plain", "strict", "reservation")


class StrategyResult(msgspec.Struct):
    """Waiting times and utilization under one admission strategy.

    Attributes:
        way: Name of the strategy. ``plain`` has no rule for large requests and
            admits any request that fits, ``strict`` admits nothing while the
            first request of the queue does not fit, ``reservation`` reserves
            a target for a request that does not fit.
        large_p50_s: Median wait of large requests in seconds.
        large_p95_s: 95th percentile of the wait of large requests in seconds.
        large_lost: Share of large requests that reached their deadline
            before they were admitted.
        small_p95_s: 95th percentile of the wait of small requests in seconds.
        used: Mean share of the targets' tokens in use.
    """

    way: str
    large_p50_s: float
    large_p95_s: float
    large_lost: float
    small_p95_s: float
    used: float


class _QueueSimulation:
    """Simulated targets and their admission queue under one strategy."""

    def __init__(self, strategy: str) -> None:
        self.strategy = strategy
        self.free_tokens = {
            f"t{n}": TARGET_CAPACITY_TOKENS for n in range(TARGET_COUNT)
        }
        # The class weights, and the maximum number of waiting requests.
        self.queue = admission.FairQueue({"interactive": 1.0}, 100_000)
        self.reservations = admission.Reservations()
        self.selected_target = ""
        self.head_blocked = False

    def fits(self, queued: admission.QueuedRequest) -> bool:
        if self.head_blocked:
            return False
        for identity, free_tokens in self.free_tokens.items():
            if free_tokens >= queued.cost and self.reservations.is_available(
                identity, queued
            ):
                self.selected_target = identity
                return True
        if self.strategy == "strict":
            self.head_blocked = True
        if self.strategy == "reservation":
            freest_target = max(
                self.free_tokens, key=lambda name: self.free_tokens[name]
            )
            self.reservations.reserve(freest_target, queued)
        return False

    def start_next(self) -> tuple[admission.QueuedRequest, str] | None:
        self.head_blocked = False
        self.reservations.remove_stale()
        queued = self.queue.pop(self.fits)
        if queued is None:
            return None
        self.free_tokens[self.selected_target] -= int(queued.cost)
        return queued, self.selected_target


def _generate_arrivals(
    rng: random.Random, load: float
) -> list[tuple[float, bool]]:
    capacity = TARGET_COUNT * TARGET_CAPACITY_TOKENS
    large_load = (
        LARGE_TOKENS * LARGE_SERVICE_S / LARGE_MEAN_INTERVAL_S / capacity
    )
    small_load = max(0.0, load - large_load)
    small_rate_per_s = small_load * capacity / (SMALL_TOKENS * SMALL_SERVICE_S)
    arrivals = []
    for mean_interval_s, large in (
        (1 / small_rate_per_s, False),
        (LARGE_MEAN_INTERVAL_S, True),
    ):
        at_s = 0.0
        while at_s < DURATION_S:
            at_s += rng.expovariate(1 / mean_interval_s)
            arrivals.append((at_s, large))
    return sorted(arrivals)


def simulate_strategy(
    strategy: str, *, load: float, seed: int
) -> StrategyResult:
    """Simulates one admission strategy over random arrivals.

    Args:
        strategy: Name of the strategy, one of ``ADMISSION_STRATEGIES``.
        load: Mean share of the targets' tokens that the arrivals demand.
        seed: Seed of the arrivals.

    Returns:
        Waiting times and utilization.
    """
    rng = random.Random(seed)
    simulation = _QueueSimulation(strategy)
    completions: list[tuple[float, str, int]] = []
    waits: dict[bool, list[float]] = {True: [], False: []}
    expired_large = 0
    used_token_seconds = 0.0
    previous_s = 0.0
    arrivals = _generate_arrivals(rng, load)
    while arrivals or completions:
        next_end = completions[0][0] if completions else float("inf")
        next_arrival = arrivals[0][0] if arrivals else float("inf")
        now = min(next_end, next_arrival)
        if not arrivals and now > DURATION_S:
            break
        used_tokens = TARGET_COUNT * TARGET_CAPACITY_TOKENS - sum(
            simulation.free_tokens.values()
        )
        used_token_seconds += used_tokens * (now - previous_s)
        previous_s = now
        if next_end <= next_arrival:
            _, identity, tokens = heapq.heappop(completions)
            simulation.free_tokens[identity] += tokens
        else:
            _, large = arrivals.pop(0)
            tokens = LARGE_TOKENS if large else SMALL_TOKENS
            queued = admission.QueuedRequest(
                "large" if large else f"small-{rng.randrange(4)}",
                "interactive",
                float(tokens),
                now + DEADLINE_S,
                large,
                now,
            )
            simulation.queue.push(queued, weight=1.0, max_queued=10_000)
        for expired in simulation.queue.expire(now):
            expired_large += expired.item
        while (admitted := simulation.start_next()) is not None:
            queued, identity = admitted
            waits[queued.item].append(now - queued.queued_at)
            service_s = LARGE_SERVICE_S if queued.item else SMALL_SERVICE_S
            heapq.heappush(
                completions, (now + service_s, identity, int(queued.cost))
            )
    total_large = max(1, len(waits[True]) + expired_large)
    return StrategyResult(
        strategy,
        records.percentile(waits[True], 0.5),
        records.percentile(waits[True], 0.95),
        expired_large / total_large,
        records.percentile(waits[False], 0.95),
        used_token_seconds
        / (previous_s * TARGET_COUNT * TARGET_CAPACITY_TOKENS),
    )
