"""Large requests among small ones: the plain queue against reservations.

The queue is driven directly over modelled targets with limited room; time
is the model's own.
"""

import heapq
import random

from chivelb_core import admission
import msgspec

from chivelb_cli.bench import records

TARGETS = 4
ROOM_TOKENS = 16_000
SMALL_TOKENS = 1_000
LARGE_TOKENS = 14_000
SMALL_SERVICE_S = 0.5
LARGE_SERVICE_S = 1.5
LARGE_EVERY_S = 4.0
DURATION_S = 400.0
DEADLINE_S = 30.0
WAYS = ("plain", "strict", "reservation")


class WayResult(msgspec.Struct):
    """Waits of one way of admission, in seconds.

    Attributes:
        way: ``plain`` offers what fits, ``strict`` waits for the head,
            ``reservation`` keeps a target free for a large head.
        large_p50_s: Median wait of large requests.
        large_p95_s: 95th percentile of it.
        large_lost: Share of large requests that met their deadline first.
        small_p95_s: 95th percentile of small requests' wait.
        used: Share of the targets' room in use.
    """

    way: str
    large_p50_s: float
    large_p95_s: float
    large_lost: float
    small_p95_s: float
    used: float


class _Model:
    """Targets with room, a queue, and the way that is tried."""

    def __init__(self, way: str) -> None:
        self.way = way
        self.free = {f"t{n}": ROOM_TOKENS for n in range(TARGETS)}
        self.queue = admission.FairQueue({"interactive": 1.0}, 100_000)
        self.reservations = admission.Reservations()
        self.chosen = ""
        self.blocked = False

    def fits(self, ticket: admission.Ticket) -> bool:
        if self.blocked:
            return False
        for identity, free in self.free.items():
            if free >= ticket.cost and self.reservations.is_open(
                identity, ticket
            ):
                self.chosen = identity
                return True
        if self.way == "strict":
            self.blocked = True
        if self.way == "reservation":
            roomy = max(self.free, key=lambda name: self.free[name])
            self.reservations.reserve(roomy, ticket)
        return False

    def start_next(self) -> tuple[admission.Ticket, str] | None:
        self.blocked = False
        self.reservations.forget_gone()
        ticket = self.queue.pop(self.fits)
        if ticket is None:
            return None
        self.free[self.chosen] -= int(ticket.cost)
        return ticket, self.chosen


def _arrivals(rng: random.Random, load: float) -> list[tuple[float, bool]]:
    capacity = TARGETS * ROOM_TOKENS
    large_share = LARGE_TOKENS * LARGE_SERVICE_S / LARGE_EVERY_S / capacity
    small_load = max(0.0, load - large_share)
    rate = small_load * capacity / (SMALL_TOKENS * SMALL_SERVICE_S)
    found = []
    for mean, large in ((1 / rate, False), (LARGE_EVERY_S, True)):
        at_s = 0.0
        while at_s < DURATION_S:
            at_s += rng.expovariate(1 / mean)
            found.append((at_s, large))
    return sorted(found)


def run_way(way: str, *, load: float, seed: int) -> WayResult:
    """Runs one way over seeded arrivals.

    Args:
        way: One of ``WAYS``.
        load: Share of the room that the arrivals ask for.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    model = _Model(way)
    ends: list[tuple[float, str, int]] = []
    waits: dict[bool, list[float]] = {True: [], False: []}
    lost = 0
    area = 0.0
    before = 0.0
    arrivals = _arrivals(rng, load)
    while arrivals or ends:
        next_end = ends[0][0] if ends else float("inf")
        next_arrival = arrivals[0][0] if arrivals else float("inf")
        now = min(next_end, next_arrival)
        if not arrivals and now > DURATION_S:
            break
        used = TARGETS * ROOM_TOKENS - sum(model.free.values())
        area += used * (now - before)
        before = now
        if next_end <= next_arrival:
            _, identity, tokens = heapq.heappop(ends)
            model.free[identity] += tokens
        else:
            _, large = arrivals.pop(0)
            tokens = LARGE_TOKENS if large else SMALL_TOKENS
            ticket = admission.Ticket(
                "large" if large else f"small-{rng.randrange(4)}",
                "interactive",
                float(tokens),
                now + DEADLINE_S,
                large,
                now,
            )
            model.queue.push(ticket, weight=1.0, max_queued=10_000)
        for late in model.queue.expire(now):
            lost += late.item
        while (started := model.start_next()) is not None:
            ticket, identity = started
            waits[ticket.item].append(now - ticket.joined_at)
            service = LARGE_SERVICE_S if ticket.item else SMALL_SERVICE_S
            heapq.heappush(ends, (now + service, identity, int(ticket.cost)))
    total = max(1, len(waits[True]) + lost)
    return WayResult(
        way,
        records.percentile(waits[True], 0.5),
        records.percentile(waits[True], 0.95),
        lost / total,
        records.percentile(waits[False], 0.95),
        area / (before * TARGETS * ROOM_TOKENS),
    )
