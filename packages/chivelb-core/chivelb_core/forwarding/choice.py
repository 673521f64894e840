"""Choice of a target for a call."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import sourcing as sourcing_lib

# Share of a runner's memory that running requests may fill by prediction,
# by priority; what is more urgent finds room that the others leave.
MEMORY_SHARES = (1.0, 0.97, 0.9)
# Prompt tokens that may await their reading at a runner before a call, by
# priority. More wait at the entry: what a runner fetched for a call that
# waits there yields to other work before it is used.
AHEAD_LIMITS = (16_000, 10_000, 6_000)
# Runners that are looked at for a call, beside those that hold its prompt:
# instances that all took the best of all would meet at one runner.
SAMPLE_SIZE = 4
# Of the holders of a prompt's largest part at most so many are looked at.
HOLDER_SAMPLE_SIZE = 16
PREFILL_TOKENS_PER_S = 100_000.0
OTHER_ZONE_S = 0.02
FILL_WEIGHT_S = 0.1
SLOT_S = 0.05
# A token that is computed again weighs as much as this time until the first
# event, and one that is moved as much as that; moves are far cheaper.
READ_WEIGHT_S = 50e-6
MOVE_WEIGHT_S = 1e-6


@dataclasses.dataclass(slots=True, frozen=True)
class Look:
    """A target and its load as this instance sees it.

    Attributes:
        record: The target.
        running: Requests in progress.
        filled: Tokens that these fill.
        ahead: Prompt tokens that await their reading.
    """

    record: targets.TargetRecord
    running: int = 0
    filled: int = 0
    ahead: int = 0


@dataclasses.dataclass(slots=True)
class Placement:
    """A decision: which target serves a call.

    Attributes:
        look: The target and its load at the decision.
        sourcing: How it comes to the prompt; None without one.
        salt: Scope within which the prompt's parts are shared.
        expected_s: Expected seconds to the first byte.
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
        """Prompt tokens that the target is expected to compute."""
        return 0 if self.sourcing is None else self.sourcing.read_tokens


def has_room(call: call_lib.Call, look: Look, engine: model_lib.Engine) -> bool:
    """Tells whether a runner has room for a call by prediction."""
    if look.running >= engine.slots:
        return False
    if not look.filled:
        return True
    level = min(max(call.priority, 0), len(MEMORY_SHARES) - 1)
    if look.ahead > AHEAD_LIMITS[level]:
        return False
    limit = MEMORY_SHARES[level] * engine.kv_tokens
    return look.filled + call.fill_tokens <= limit


def price_runner(
    placement: Placement, *, zone: str, engine: model_lib.Engine
) -> float:
    """Returns the weighted seconds of a placement; the lowest wins."""
    plan = placement.sourcing
    look = placement.look
    compute = look.ahead + plan.read_tokens
    expected = compute / PREFILL_TOKENS_PER_S + plan.fetch_s
    if look.record.zone != zone:
        expected += OTHER_ZONE_S
    placement.expected_s = expected
    moved = plan.fetch_tokens + plan.far_tokens
    return (
        expected
        + plan.read_tokens * READ_WEIGHT_S
        + moved * MOVE_WEIGHT_S
        + FILL_WEIGHT_S * look.filled / engine.kv_tokens
    )


def sample_runners(
    rooms: list[Look], holders: set[str], rng: random.Random
) -> list[Look]:
    """Returns the runners that are priced for a call.

    Args:
        rooms: All runners that have room for it.
        holders: Addresses of those that hold part of its prompt.
        rng: Source of randomness.
    """
    if len(rooms) <= SAMPLE_SIZE:
        return rooms
    sample = rng.sample(rooms, SAMPLE_SIZE)
    chosen = {room.record.identity for room in sample}
    holding = [
        room
        for room in rooms
        if room.record.address in holders and room.record.identity not in chosen
    ]
    if len(holding) > HOLDER_SAMPLE_SIZE:
        holding = rng.sample(holding, HOLDER_SAMPLE_SIZE)
    return [*sample, *holding]


def place_on_service(
    records: Iterable[targets.TargetRecord],
    *,
    load: routing.LoadView,
    zone: str,
    now: float,
    rng: random.Random,
) -> Placement | None:
    """Chooses the target of a plain service with the fewest requests.

    Args:
        records: Targets that may take it.
        load: Load of the targets.
        zone: Zone of this instance.
        now: Monotonic time in seconds.
        rng: Source of randomness, for equal ones.

    Returns:
        The placement, or None without a target.
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
                expected_s=waiting * SLOT_S / record.slots,
            )
            best_key = key
    return best


def rank_homes(key: str, identities: Iterable[str]) -> list[str]:
    """Orders targets or instances for a key by rendezvous hashing.

    All instances get the same order without talking to each other.
    """
    return sorted(
        identities,
        key=lambda identity: hashlib.blake2b(
            f"{key}/{identity}".encode(), digest_size=8
        ).digest(),
    )
