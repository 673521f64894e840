"""Selection of a target for a call."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import sourcing as sourcing_lib

# Fraction of a runner's KV cache that running requests may occupy by
# estimate, by priority. The margin is reserved for higher priorities.
MEMORY_FRACTIONS = (1.0, 0.97, 0.9)
# Maximum prompt tokens awaiting prefill at a runner when a call is placed
# there, by priority. Further calls wait at the instance that received them:
# KV cache that a runner fetches for a call in its own queue may be evicted
# before it is used.
PENDING_TOKEN_LIMITS = (16_000, 10_000, 6_000)
# Runners sampled for a call, besides those that hold part of its prompt. If
# all instances chose the best of all runners, they would overload that one.
SAMPLE_SIZE = 4
# Maximum number of runners evaluated among the holders of the prompt's
# largest shared part.
HOLDER_SAMPLE_SIZE = 16
PREFILL_TOKENS_PER_S = 100_000.0
CROSS_ZONE_LATENCY_S = 0.02
MEMORY_WEIGHT_S = 0.1
SLOT_HOLDING_TIME_S = 0.05
# Cost of each token to prefill or to transfer, in equivalent seconds of
# latency until the first event. Transfers are far cheaper than prefill.
PREFILL_WEIGHT_S = 50e-6
TRANSFER_WEIGHT_S = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class Look:
    """Target and its load as estimated by this instance.

    Attributes:
        record: The target.
        running: Number of requests in progress.
        filled: KV cache tokens that they occupy.
        ahead: Prompt tokens that await prefill.
    """

    record: targets.TargetRecord
    running: int = 0
    filled: int = 0
    ahead: int = 0


@dataclasses.dataclass(slots=True)
class Placement:
    """Assignment of a call to a target.

    Attributes:
        look: The target and its load at the time of the decision.
        sourcing: Where the target gets the prompt's KV cache; None without a
            prompt.
        salt: Sharing scope of the prompt's parts.
        expected_s: Expected time to first byte, in seconds.
    """

    look: Look
    sourcing: sourcing_lib.Sourcing | None = None
    salt: str = ""
    expected_s: float = 0.0

    @property
    def record(self) -> targets.TargetRecord:
        """The target."""
        return self.look.record

    @property
    def read_tokens(self) -> int:
        """Prompt tokens that the target is expected to prefill."""
        return 0 if self.sourcing is None else self.sourcing.read_tokens


def has_room(
    call: call_lib.Call, look: Look, engine: model_lib.EngineConfig
) -> bool:
    """Returns whether a runner is estimated to have capacity for a call."""
    if look.running >= engine.slots:
        return False
    if not look.filled:
        return True
    level = min(max(call.priority, 0), len(MEMORY_FRACTIONS) - 1)
    if look.ahead > PENDING_TOKEN_LIMITS[level]:
        return False
    limit = MEMORY_FRACTIONS[level] * engine.kv_tokens
    return look.filled + call.fill_tokens <= limit


def price_runner(
    placement: Placement, *, zone: str, engine: model_lib.EngineConfig
) -> float:
    """Returns the cost of a placement in weighted seconds; lowest wins.

    Also sets the placement's ``expected_s``.
    """
    plan = placement.sourcing
    look = placement.look
    prefill_tokens = look.ahead + plan.read_tokens
    expected = prefill_tokens / PREFILL_TOKENS_PER_S + plan.fetch_s
    if look.record.zone != zone:
        expected += CROSS_ZONE_LATENCY_S
    placement.expected_s = expected
    # Tokens fetched from another zone count twice.
    transferred_tokens = plan.fetch_tokens + plan.cross_zone_tokens
    return (
        expected
        + plan.read_tokens * PREFILL_WEIGHT_S
        + transferred_tokens * TRANSFER_WEIGHT_S
        + MEMORY_WEIGHT_S * look.filled / engine.kv_tokens
    )


def sample_runners(
    candidates: list[Look], holders: set[str], rng: random.Random
) -> list[Look]:
    """Returns the runners to evaluate for a call.

    Args:
        candidates: All runners with capacity for the call.
        holders: Addresses of the runners that hold part of its prompt.
        rng: Random number generator.
    """
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    sample = rng.sample(candidates, SAMPLE_SIZE)
    sampled = {candidate.record.identity for candidate in sample}
    holding_part = [
        candidate
        for candidate in candidates
        if candidate.record.address in holders
        and candidate.record.identity not in sampled
    ]
    if len(holding_part) > HOLDER_SAMPLE_SIZE:
        holding_part = rng.sample(holding_part, HOLDER_SAMPLE_SIZE)
    return [*sample, *holding_part]


def place_on_service(
    records: Iterable[targets.TargetRecord],
    *,
    load: routing.LoadView,
    zone: str,
    now: float,
    rng: random.Random,
) -> Placement | None:
    """Selects the least loaded target of a plain service.

    Args:
        records: Eligible targets.
        load: Load of the targets.
        zone: Availability zone of this instance.
        now: Monotonic time in seconds.
        rng: Random number generator that breaks ties.

    Returns:
        The placement, or None if there is no target.
    """
    best = None
    best_key = None
    for record in records:
        running = load.running(record.identity, now)
        key = (
            running >= record.slots,
            running + (0.5 if record.zone != zone else 0.0),
            rng.random(),
        )
        if best_key is None or key < best_key:
            waiting = max(0, running + 1 - record.slots)
            best = Placement(
                Look(record, running),
                expected_s=waiting * SLOT_HOLDING_TIME_S / record.slots,
            )
            best_key = key
    return best


def rank_homes(key: str, identities: Iterable[str]) -> list[str]:
    """Ranks targets or instances for a key by rendezvous hashing.

    All instances compute the same order without coordination.
    """
    return sorted(
        identities,
        key=lambda identity: hashlib.blake2b(
            f"{key}/{identity}".encode(), digest_size=8
        ).digest(),
    )
