"""Where a runner gets the parts of a prompt from, and where they are kept."""

from collections.abc import Callable
import dataclasses

from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.kept import parts as parts_lib

# A source that said nothing for so long is not relied on.
SOURCE_SILENT_S = 2.5
OTHER_ZONE_FACTOR = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """How parts come from a source.

    Attributes:
        address: ``host:port`` of the source.
        zone: Its availability zone.
        bytes_per_s: Rate of its link.
        setup_s: Seconds that each transfer waits in addition.
        is_store: Whether it is a store.
    """

    address: str
    zone: str
    bytes_per_s: float
    setup_s: float
    is_store: bool


@dataclasses.dataclass(slots=True)
class Sourcing:
    """How a runner comes to a whole prompt.

    Attributes:
        held_tokens: Leading tokens that it holds.
        fetches: Address to fetch from for each part; empty for none.
        fetch_tokens: Tokens to fetch.
        fetch_s: Seconds that fetching takes.
        far_tokens: Tokens among them that come from another zone.
        read_tokens: Tokens that it must compute.
    """

    held_tokens: int
    fetches: list[str]
    fetch_tokens: int
    fetch_s: float
    far_tokens: int
    read_tokens: int


def plan_sourcing(
    prompt: call_lib.Prompt,
    salt: str,
    *,
    address: str,
    zone: str,
    engine: model_lib.Engine,
    directory: parts_lib.PartDirectory,
    links: dict[str, Link],
    now: float,
) -> Sourcing:
    """Plans how a runner comes to a prompt.

    Parts after the first one that nobody holds are of no use: what precedes
    a part must be there before it.

    Args:
        prompt: The prompt.
        salt: Scope within which its parts are shared.
        address: Address of the runner.
        zone: Its zone.
        engine: What runners have in common.
        directory: What sources hold.
        links: Sources that may be used, by address.
        now: Monotonic time in seconds.
    """
    whole, held = directory.held_parts(address, salt, prompt, now)
    plan = Sourcing(held, [], 0, 0.0, 0, 0)
    partial = held - sum(part.tokens for part in prompt.parts[:whole])
    for number, part in enumerate(prompt.parts):
        key = parts_lib.part_key(salt, part.key)
        link = _best_link(key, part.tokens, address, zone, directory, links)
        if number < whole:
            # What is held may yield before it is used; naming a store for
            # it costs nothing unless it did.
            is_store = link is not None and link.is_store
            plan.fetches.append(link.address if is_store else "")
            continue
        if link is None:
            break
        plan.fetches.append(link.address)
        _add_transfer(plan, part.tokens - partial, link, zone, engine)
        partial = 0
    missing = len(prompt.parts) - len(plan.fetches)
    plan.fetches += [""] * missing
    plan.read_tokens = max(0, prompt.tokens - held - plan.fetch_tokens)
    return plan


def _add_transfer(
    plan: Sourcing,
    tokens: int,
    link: Link,
    zone: str,
    engine: model_lib.Engine,
) -> None:
    plan.fetch_tokens += tokens
    plan.fetch_s += transfer_s(tokens, link, zone, engine)
    if link.zone != zone:
        plan.far_tokens += tokens


def transfer_s(
    tokens: int, link: Link, zone: str, engine: model_lib.Engine
) -> float:
    """Returns the seconds that a transfer to a runner takes."""
    rate = min(link.bytes_per_s, engine.link_bytes_per_s)
    seconds = link.setup_s + tokens * engine.bytes_per_token / rate
    return seconds * (OTHER_ZONE_FACTOR if link.zone != zone else 1.0)


def _best_link(
    key: str,
    tokens: int,
    address: str,
    zone: str,
    directory: parts_lib.PartDirectory,
    links: dict[str, Link],
) -> Link | None:
    """Returns the link with the cheapest transfer, or None."""
    best = None
    best_rank = None
    for other in directory.whole_at(key, tokens):
        link = links.get(other)
        if link is None or other == address:
            continue
        # A runner may drop a part before it is asked for it; stores do not.
        rank = (
            not link.is_store,
            link.zone != zone,
            link.setup_s,
            -link.bytes_per_s,
            other,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = link, rank
    return best


def plan_saves(
    prompt: call_lib.Prompt,
    salt: str,
    *,
    directory: parts_lib.PartDirectory,
    stores: list[Link],
    room: Callable[[str], int],
    zone: str,
) -> list[str]:
    """Chooses the store for each part that no store keeps yet.

    The last part is a request's own and is not kept.

    Args:
        prompt: The prompt.
        salt: Scope within which its parts are shared.
        directory: What sources hold.
        stores: Stores that may be used.
        room: Returns the tokens that a store has room for.
        zone: Zone of the runner.

    Returns:
        Address of a store for each part; empty for none.
    """
    saves = [""] * len(prompt.parts)
    addresses = {store.address for store in stores}
    for number, part in enumerate(prompt.parts[:-1]):
        key = parts_lib.part_key(salt, part.key)
        holders = directory.holders.get(key, {})
        if addresses.intersection(holders):
            continue
        fitting = [s for s in stores if room(s.address) >= part.tokens]
        if fitting:
            saves[number] = min(
                fitting, key=lambda s: (s.zone != zone, s.setup_s, s.address)
            ).address
    return saves
