"""Selection of a target for a call whose bytes are proxied unchanged.

For other model calls see ``routing``.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib
import itertools
import random

from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import fetch_plan as fetch_plan_lib
from chivelb_core.forwarding import subset
from chivelb_core.forwarding import work_estimates

# Fraction of a runner's KV cache that running requests may occupy by
# estimate, by priority. The margin is reserved for higher priorities.
MEMORY_FRACTIONS = (1.0, 0.97, 0.9)
# Fraction of the slots and of the KV cache of a target that must not have to
# turn requests away: the estimate of its load lags behind.
CAREFUL_FRACTION = 0.85
# Maximum time that a runner needs for the prompt tokens that await prefill
# there when a call is placed, by priority. Further calls wait at the instance
# that received them: KV cache that a runner fetches for a call in its own queue
# may be evicted before it is used.
PENDING_LIMITS_S = (0.16, 0.10, 0.06)
# Once the service was observed, it may be this share of what the first-event
# latency leaves of the latency objective of the call, by priority. Calls of
# the highest one may use most of it: no more urgent call can queue behind them.
PENDING_OBJECTIVE_SHARES = (0.75, 0.25, 0.1)
# Tokens that may always await prefill at a runner that is as fast as others of
# its service. With fewer, runners idle until the instances where calls wait are
# told that a prefill has ended: at 95% load the wait of 1 in 100 calls is three
# times as long, and calls are refused.
MIN_PENDING_TOKENS = (16_000, 10_000, 6_000)
# Runners sampled for a call, besides those that hold part of its prompt. If
# all instances chose the best of all runners, they would overload that one.
SAMPLE_SIZE = 4
# Maximum number of runners evaluated among the holders of the prompt's
# largest shared part.
HOLDER_SAMPLE_SIZE = 16
# Cost of placing a call on a runner whose KV cache is full, in seconds of time
# to first token; proportionally less for a partly used one.
FULL_CACHE_COST_S = 0.1
# A path through a peer must save this much time to first token.
PEER_PATH_COST_S = 0.1
# Cost of each token to prefill or to fetch, in seconds of time to first token,
# in addition to its expected duration. Fetches are far cheaper than prefill.
PREFILL_COST_S_PER_TOKEN = 50e-6
FETCH_COST_S_PER_TOKEN = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class TargetCandidate:
    """Target and its load as estimated by this instance.

    Attributes:
        record: The target.
        running: Number of requests that the target is executing. A request
            is one attempt of a call.
        used_kv_tokens: KV cache tokens that they occupy.
        pending_tokens: Prompt tokens that await prefill.
        free_share: How many more requests this instance may send to a target
            that must not have to turn any away; None for any other target.
    """

    record: targets.TargetRecord
    running: int = 0
    used_kv_tokens: int = 0
    pending_tokens: int = 0
    free_share: int | None = None


@dataclasses.dataclass(slots=True)
class Placement:
    """Assignment of a call to a target for one attempt.

    Attributes:
        candidate: The target and its load at the time of the decision.
        fetch_plan: Where the target gets the prompt's KV cache; None without a
            prompt.
        salt: Sharing scope of the prompt's parts, from ``sharing_scope``. It is
            readable text, unlike the digest of ``kv_cache.keys.cache_salt``.
        time_to_first_token_s: Expected time to first token, in seconds; for a
            plain target, the expected wait for a slot.
    """

    candidate: TargetCandidate
    fetch_plan: fetch_plan_lib.FetchPlan | None = None
    salt: str = ""
    time_to_first_token_s: float = 0.0

    @property
    def record(self) -> targets.TargetRecord:
        """The target."""
        return self.candidate.record

    @property
    def tokens_to_prefill(self) -> int:
        """Prompt tokens that the target is expected to prefill."""
        return (
            0 if self.fetch_plan is None else self.fetch_plan.tokens_to_prefill
        )


def careful_share(slots: int, *, instance_count: int, target_count: int) -> int:
    """Returns how many requests an instance may have at a careful target.

    The shares of all instances fit into the slots together, so that nothing
    is turned away although the instances hear of each other's load too late.

    Args:
        slots: Slots of the target.
        instance_count: Number of instances that place calls.
        target_count: Number of targets of the service.
    """
    users = instance_count * min(
        1.0, subset.MIN_SUBSET_SIZE / max(1, target_count)
    )
    return max(1, int(CAREFUL_FRACTION * slots / max(1.0, users)))


def has_capacity(
    call: call_lib.Call,
    candidate: TargetCandidate,
    engine: model_lib.EngineConfig,
    *,
    estimates: work_estimates.WorkEstimates = work_estimates.START_VALUES,
) -> bool:
    """Returns whether a runner is estimated to have capacity for a call.

    Args:
        call: The call.
        candidate: The runner and its load.
        engine: Capacity of the runner.
        estimates: How fast runners work.
    """
    if engine.kv_tokens <= 0:
        return False
    if candidate.free_share is not None and candidate.running:
        return (
            candidate.free_share > 0
            and candidate.running < CAREFUL_FRACTION * engine.slots
            and candidate.used_kv_tokens + call.mean_kv_tokens
            <= CAREFUL_FRACTION * engine.kv_tokens
        )
    if candidate.running >= engine.slots:
        return False
    if not candidate.used_kv_tokens:
        return True
    level = min(max(call.priority, 0), len(MEMORY_FRACTIONS) - 1)
    if candidate.pending_tokens and _has_too_much_pending(
        call, candidate, estimates
    ):
        return False
    limit = MEMORY_FRACTIONS[level] * engine.kv_tokens
    return candidate.used_kv_tokens + call.mean_kv_tokens <= limit


def _has_too_much_pending(
    call: call_lib.Call,
    candidate: TargetCandidate,
    estimates: work_estimates.WorkEstimates,
) -> bool:
    """Returns whether too many tokens await prefill for a call."""
    record = candidate.record
    level = min(max(call.priority, 0), len(PENDING_LIMITS_S) - 1)
    weighted_tokens = candidate.pending_tokens * estimates.slowness(
        record.identity
    )
    if weighted_tokens <= MIN_PENDING_TOKENS[level]:
        return False
    return candidate.pending_tokens > pending_token_limit(
        call, record, estimates
    )


def pending_token_limit(
    call: call_lib.Call,
    record: targets.TargetRecord,
    estimates: work_estimates.WorkEstimates,
) -> float:
    """Returns how many tokens may await prefill where a call is placed."""
    level = min(max(call.priority, 0), len(PENDING_LIMITS_S) - 1)
    limit_s = PENDING_LIMITS_S[level]
    if estimates.is_learned(record.service):
        left_s = call.route.target_latency_s - estimates.first_event_s(
            record.service
        )
        limit_s = max(limit_s, PENDING_OBJECTIVE_SHARES[level] * left_s)
    rate = estimates.prefill_tokens_per_s(record.service)
    limit = max(limit_s * rate, MIN_PENDING_TOKENS[level])
    return limit / estimates.slowness(record.identity)


def placement_cost(
    placement: Placement,
    *,
    zone: str,
    engine: model_lib.EngineConfig,
    estimates: work_estimates.WorkEstimates = work_estimates.START_VALUES,
) -> float:
    """Returns the cost of a placement; the lowest wins.

    The cost is in seconds of time to first token: that time itself plus the
    cost of prefill, fetches and KV cache usage.

    Also sets the placement's ``time_to_first_token_s``, which does not include
    the time to the first event that all requests of the service take.

    Args:
        placement: The placement.
        zone: Availability zone of this instance.
        engine: Capacity of the runner.
        estimates: How fast runners work.
    """
    plan = placement.fetch_plan
    candidate = placement.candidate
    record = candidate.record
    expected = plan.fetch_s + estimates.prefill_s(
        record.service,
        record.identity,
        tokens=plan.tokens_to_prefill,
        tokens_ahead=candidate.pending_tokens,
    )
    if record.zone != zone:
        expected += estimates.cross_zone_s(record.service)
    placement.time_to_first_token_s = expected
    # Tokens fetched from another zone count twice.
    weighted_fetch_tokens = plan.fetch_tokens + plan.cross_zone_tokens
    return (
        expected
        + plan.tokens_to_prefill * PREFILL_COST_S_PER_TOKEN
        + weighted_fetch_tokens * FETCH_COST_S_PER_TOKEN
        + FULL_CACHE_COST_S
        * candidate.used_kv_tokens
        / max(1, engine.kv_tokens)
    )


def sample_runners(
    records: Sequence[targets.TargetRecord],
    *,
    preferred: Container[str],
    holders: Container[str],
    candidate_with_capacity: Callable[
        [targets.TargetRecord], TargetCandidate | None
    ],
    rng: random.Random,
) -> list[TargetCandidate]:
    """Returns the runners to evaluate for a call.

    These are a random sample of the preferred runners, one of the others, and
    the runners that hold part of the prompt. The others are sampled in full
    if none of these has capacity.

    Args:
        records: All eligible runners.
        preferred: Identities of the runners that this instance prefers.
        holders: Addresses of the runners that hold part of the prompt.
        candidate_with_capacity: Returns a runner with its load, or None if it
            has no capacity for the call.
        rng: Random number generator.
    """
    near = [record for record in records if record.identity in preferred]
    far = [record for record in records if record.identity not in preferred]
    holding = [record for record in records if record.address in holders]
    rng.shuffle(near)
    rng.shuffle(holding)

    def with_capacity(some: Iterable[targets.TargetRecord], limit: int):
        found = filter(None, map(candidate_with_capacity, some))
        return list(itertools.islice(found, limit))

    sample = with_capacity(near, SAMPLE_SIZE)
    if far:
        sample += with_capacity([rng.choice(far)], 1)
    sampled = {candidate.record.identity for candidate in sample}
    sample += with_capacity(
        (record for record in holding if record.identity not in sampled),
        HOLDER_SAMPLE_SIZE,
    )
    if sample:
        return sample
    rng.shuffle(far)
    return with_capacity(far, SAMPLE_SIZE)


def choose_plain_target(
    records: Iterable[targets.TargetRecord],
    *,
    load: routing.LoadView,
    zone: str,
    now: float,
    rng: random.Random,
    free_share: Callable[
        [targets.TargetRecord, float], int | None
    ] = lambda record, now: None,
    estimates: work_estimates.WorkEstimates = work_estimates.PLAIN_START_VALUES,
) -> Placement | None:
    """Selects the least loaded target of a plain service.

    A plain service handles ordinary HTTP requests: its targets serve no model
    and hold no KV cache.

    Args:
        records: Eligible targets.
        load: Load of the targets.
        zone: Availability zone of this instance.
        now: Monotonic time in seconds.
        rng: Random number generator that breaks ties.
        free_share: Returns ``TargetCandidate.free_share`` of a target at a
            monotonic time, in seconds.
        estimates: How fast targets work.

    Returns:
        The placement, or None if there is no target with room.
    """
    best = None
    best_key = None
    for record in records:
        if record.slots <= 0:
            continue
        running = load.running(record.identity, now)
        share = free_share(record, now)
        if share is not None and (
            share <= 0 or running >= CAREFUL_FRACTION * record.slots
        ):
            continue
        # Half a request breaks ties between zones in favor of this one. A
        # target that is slow counts as if it had more requests.
        occupied = running + 1 + (0.5 if record.zone != zone else 0.0)
        slowness = estimates.unusual_slowness(record.identity)
        key = (running >= record.slots, occupied * slowness, rng.random())
        if best_key is None or key < best_key:
            wait_s = estimates.wait_s(
                record.service, record.identity, 0, running, record.slots
            )
            best = Placement(
                TargetCandidate(record, running), time_to_first_token_s=wait_s
            )
            best_key = key
    return best


def faster(
    direct: Placement | None, through_peer: Placement | None
) -> Placement | None:
    """Returns the better one of two placements.

    Args:
        direct: On a target that the instance reaches, or None.
        through_peer: On a target that only peers reach, or None.
    """
    if direct is None or through_peer is None:
        return direct or through_peer
    gain_s = direct.time_to_first_token_s - through_peer.time_to_first_token_s
    return through_peer if gain_s > PEER_PATH_COST_S else direct


def rank_by_rendezvous(key: str, identities: Iterable[str]) -> list[str]:
    """Ranks targets or instances for a key by rendezvous hashing.

    All instances compute the same order without coordination.
    """
    return sorted(
        identities,
        key=lambda identity: hashlib.blake2b(
            f"{key}/{identity}".encode(), digest_size=8
        ).digest(),
    )
