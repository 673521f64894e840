"""Selection of the sources and stores of a prompt's KV cache.

A runner fetches parts from sources, which are runners or stores, and stores
parts in stores.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import heapq
import math

from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.kv_cache import parts as parts_lib

# A source is not used after this time without any message from it.
SOURCE_TIMEOUT_S = 2.5
# Assumed duration of a fetch from another zone, relative to one within a zone.
CROSS_ZONE_DURATION_FACTOR = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """Network link to a source of KV cache.

    Attributes:
        address: ``host:port`` of the source.
        zone: Availability zone of the source.
        bytes_per_s: Bandwidth of the link, in bytes per second.
        setup_s: Fixed latency of each fetch, in seconds.
        is_store: Whether the source is a store.
    """

    address: str
    zone: str
    bytes_per_s: float
    setup_s: float
    is_store: bool


# The two best links to sources of a part, by key of the part and zone of the
# runner that would fetch it.
Rankings = dict[tuple[str, str], list[Link]]


@dataclasses.dataclass(slots=True)
class FetchPlan:
    """Plan of how a runner obtains the KV cache of a prompt.

    Attributes:
        held_tokens: Leading tokens that the runner already holds.
        fetches: Source address for each part, or empty. For a part that the
            runner already holds, the address is that of a store to fetch from
            if the runner has evicted the part before using it.
        fetch_tokens: Tokens to fetch.
        fetch_s: Expected duration of the fetches, in seconds.
        cross_zone_tokens: Fetched tokens that come from another zone.
        tokens_to_prefill: Tokens that the runner must prefill.
    """

    held_tokens: int
    fetches: list[str]
    fetch_tokens: int
    fetch_s: float
    cross_zone_tokens: int
    tokens_to_prefill: int


def plan_fetches(
    prompt: call_lib.Prompt,
    sharing_scope: str,
    *,
    address: str,
    zone: str,
    engine: model_lib.EngineConfig,
    directory: parts_lib.PartDirectory,
    links: dict[str, Link],
    now: float,
    rankings: Rankings | None = None,
) -> FetchPlan:
    """Plans how a runner obtains the KV cache of a prompt.

    Parts after the first one that no source holds are not fetched: the KV
    cache of a part is only usable together with that of all parts before it.

    Args:
        prompt: The prompt.
        sharing_scope: Sharing scope of its parts.
        address: Address of the runner.
        zone: Availability zone of the runner.
        engine: Settings common to all runners of the service.
        directory: Directory of the parts that sources hold.
        links: Usable sources by address.
        now: Monotonic time in seconds.
        rankings: Rankings of the sources so far, extended by this call; pass
            the same to plan the same prompt for several runners.
    """
    rankings = {} if rankings is None else rankings
    complete_parts, held_tokens = directory.held_prefix(
        address, sharing_scope, prompt, now
    )
    plan = FetchPlan(held_tokens, [], 0, 0.0, 0, 0)
    partial_tokens = held_tokens - sum(
        part.tokens for part in prompt.parts[:complete_parts]
    )
    for index, part in enumerate(prompt.parts):
        key = parts_lib.part_key(sharing_scope, part.part_id)
        link = _preferred_link(
            key, part.tokens, address, zone, directory, links, rankings
        )
        if index < complete_parts:
            # The runner may evict a part that it holds before using it. A
            # store as fallback causes a fetch only in that case.
            is_store = link is not None and link.is_store
            plan.fetches.append(link.address if is_store else "")
            continue
        if link is None:
            break
        plan.fetches.append(link.address)
        _add_fetch(plan, part.tokens - partial_tokens, link, zone, engine)
        partial_tokens = 0
    remaining = len(prompt.parts) - len(plan.fetches)
    plan.fetches += [""] * remaining
    plan.tokens_to_prefill = max(
        0, prompt.tokens - held_tokens - plan.fetch_tokens
    )
    return plan


def _add_fetch(
    plan: FetchPlan,
    tokens: int,
    link: Link,
    zone: str,
    engine: model_lib.EngineConfig,
) -> None:
    plan.fetch_tokens += tokens
    plan.fetch_s += fetch_time_s(tokens, link, zone, engine)
    if link.zone != zone:
        plan.cross_zone_tokens += tokens


def fetch_time_s(
    tokens: int, link: Link, zone: str, engine: model_lib.EngineConfig
) -> float:
    """Returns the expected duration of a fetch by a runner, in seconds."""
    rate = min(link.bytes_per_s, engine.link_bytes_per_s)
    if rate <= 0:
        return math.inf
    seconds = link.setup_s + tokens * engine.bytes_per_token / rate
    return seconds * (CROSS_ZONE_DURATION_FACTOR if link.zone != zone else 1.0)


def _preferred_link(
    key: str,
    tokens: int,
    address: str,
    zone: str,
    directory: parts_lib.PartDirectory,
    links: dict[str, Link],
    rankings: Rankings,
) -> Link | None:
    """Returns the preferred link to a source of a complete part, or None.

    A runner is no source for itself, so that the two best are ranked.
    """
    ranked = rankings.get((key, zone))
    if ranked is None:
        sources = directory.complete_sources(key, tokens)
        usable = [links[source] for source in sources if source in links]
        ranked = rankings[key, zone] = heapq.nsmallest(
            2, usable, key=lambda link: _link_rank(link, zone)
        )
    return next((link for link in ranked if link.address != address), None)


def _link_rank(link: Link, zone: str) -> tuple:
    """Returns the sort key of a link for runners of a zone, best first.

    Links are ordered by kind of source, zone, latency, then bandwidth. Stores
    are preferred: a runner may evict a part before it is fetched.
    """
    return (
        not link.is_store,
        link.zone != zone,
        link.setup_s,
        -link.bytes_per_s,
        link.address,
    )


def plan_storage(
    prompt: call_lib.Prompt,
    sharing_scope: str,
    *,
    directory: parts_lib.PartDirectory,
    stores: list[Link],
    free_tokens: Callable[[str], int],
    zone: str,
) -> list[str]:
    """Selects a store for each part that no store holds yet.

    The last part belongs to one request or session and is not stored. Stores of
    the runner's zone come first. Among them the parts are spread by weighted
    rendezvous hashing on the free capacity: instances that store the same part
    at the same time choose the same store, and no store's link has to carry
    most of the transfers.

    Args:
        prompt: The prompt.
        sharing_scope: Sharing scope of its parts.
        directory: Directory of the parts that sources hold.
        stores: Usable stores.
        free_tokens: Returns the free capacity of a store, in tokens.
        zone: Availability zone of the runner.

    Returns:
        Store address for each part; empty where nothing is stored.
    """
    store_addresses = [""] * len(prompt.parts)
    addresses = {store.address for store in stores}
    for index, part in enumerate(prompt.parts[:-1]):
        key = parts_lib.part_key(sharing_scope, part.part_id)
        tokens_by_source = directory.tokens_by_source.get(key, {})
        if addresses.intersection(tokens_by_source):
            continue
        fitting_stores = [
            s for s in stores if free_tokens(s.address) >= part.tokens
        ]
        in_zone = [store for store in fitting_stores if store.zone == zone]
        candidates = in_zone or fitting_stores
        if candidates:
            store_addresses[index] = max(
                (store.address for store in candidates),
                key=lambda address: _rendezvous_score(
                    key, address, free_tokens(address)
                ),
            )
    return store_addresses


def _rendezvous_score(key: str, address: str, weight: int) -> float:
    """Returns the score of a store for a part; the highest is chosen.

    A store is chosen for a share of the parts that is proportional to its
    weight.
    """
    digest = hashlib.blake2b(f"{key}/{address}".encode(), digest_size=8)
    # In the open interval from 0 to 1.
    fraction = (int.from_bytes(digest.digest(), "big") + 0.5) / 2**64
    return weight / -math.log(fraction)
