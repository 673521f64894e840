"""Choice of a target for a call."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib

# Share of a runner's memory that running requests may fill by prediction.
MEMORY_SHARE = 0.9
PREFILL_TOKENS_PER_S = 100_000.0
OTHER_ZONE_S = 0.002
SLOT_S = 0.05


@dataclasses.dataclass(slots=True)
class Placement:
    """A decision: which target serves a call.

    Attributes:
        record: The target.
        prefill_tokens: Prompt tokens that it is expected to compute.
        expected_s: Expected seconds to the first byte.
    """

    record: targets.TargetRecord
    prefill_tokens: int
    expected_s: float


def place_on_runner(
    call: call_lib.Call,
    records: Iterable[targets.TargetRecord],
    *,
    engine: model_lib.Engine,
    load: routing.LoadView,
    held: dict[str, int],
    zone: str,
    now: float,
) -> Placement | None:
    """Chooses the runner with the earliest expected first event.

    Args:
        call: A call with a prompt.
        records: Runners that may take it.
        engine: What the runners have in common.
        load: Load of the runners.
        held: Leading prompt tokens that each is expected to hold.
        zone: Zone of this instance.
        now: Monotonic time in seconds.

    Returns:
        The placement, or None when no runner has room.
    """
    best = None
    for record in records:
        identity = record.identity
        filled = load.filled(identity, now)
        if filled and filled + call.total_tokens > (
            MEMORY_SHARE * engine.kv_tokens
        ):
            continue
        if load.running(identity, now) >= engine.slots:
            continue
        rest = max(0, call.prompt_tokens - held.get(identity, 0))
        ahead = load.pending(identity, now)
        expected = (ahead + rest) / PREFILL_TOKENS_PER_S
        if record.zone != zone:
            expected += OTHER_ZONE_S
        if best is None or expected < best.expected_s:
            best = Placement(record, rest, expected)
    return best


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
            best = Placement(record, 0, waiting * SLOT_S / record.slots)
            best_key = key
    return best


def rank_homes(key: str, identities: Iterable[str]) -> list[str]:
    """Orders targets for a prompt by rendezvous hashing.

    All instances get the same order without talking to each other.
    """
    return sorted(
        identities,
        key=lambda identity: hashlib.blake2b(
            f"{key}/{identity}".encode(), digest_size=8
        ).digest(),
    )
