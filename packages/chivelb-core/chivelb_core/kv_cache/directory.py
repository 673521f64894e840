"""Directory of the blocks that targets hold: one shard of a region's directory.

Blocks are fixed-size sections of prompts with keys from ``kv_cache.keys``. The
directory serves the model calls that instances parse; calls that are proxied
unchanged use ``kv_cache.parts``.
"""

from collections.abc import Iterable
import dataclasses
from typing import Literal

import msgspec


class CacheEvent(msgspec.Struct, rename="camel", frozen=True):
    """Notification that a target stored or dropped blocks of a prompt.

    Attributes:
        sequence: Sequence number; consecutive at the sender.
        kind: ``stored`` or ``dropped``.
        anchor: Key that selects the prompt's directory shard.
        keys: Keys of the blocks.
    """

    sequence: int
    kind: Literal["stored", "dropped"]
    anchor: str
    keys: list[str]


class ListedBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Blocks of one prompt in a target's listing.

    Attributes:
        anchor: Key that selects the prompt's directory shard.
        keys: Keys of the blocks.
    """

    anchor: str
    keys: list[str]


class Listing(msgspec.Struct, rename="camel", frozen=True):
    """Snapshot of all blocks that a target holds.

    Attributes:
        sequence: Sequence number of the newest event that it includes.
        prompts: The blocks, grouped by prompt.
    """

    sequence: int
    prompts: list[ListedBlocks]


class EventFeed:
    """Position in the events of one target, which arrive late and with gaps.

    Attributes:
        incarnation: Incarnation of the target.
        sequence: Sequence number of the newest event received; None before
            the first event or listing.
        needs_listing: Whether a listing is needed: none was applied yet, or
            events are missing since the last one.
    """

    __slots__ = ("incarnation", "sequence", "needs_listing")

    def __init__(self, incarnation: int) -> None:
        """Creates a feed that requires a listing first."""
        self.incarnation = incarnation
        self.sequence: int | None = None
        self.needs_listing = True

    def accept_events(self, events: list[CacheEvent]) -> list[CacheEvent]:
        """Returns the events not received before, and records gaps."""
        new_events = []
        for event in sorted(events, key=lambda event: event.sequence):
            if self.sequence is not None and event.sequence <= self.sequence:
                continue
            if self.sequence is None or event.sequence != self.sequence + 1:
                self.needs_listing = True
            self.sequence = event.sequence
            new_events.append(event)
        return new_events

    def apply_listing(self, listing: Listing) -> bool:
        """Applies a listing; returns False if newer events were received."""
        if self.sequence is not None and listing.sequence < self.sequence:
            return False
        self.sequence = listing.sequence
        self.needs_listing = False
        return True


@dataclasses.dataclass(slots=True)
class Holder:
    """Directory entry of one target.

    Attributes:
        number: Small integer that represents the target in the block index.
        identity: Identity of the target.
        incarnation: Incarnation of the target that holds the blocks.
        keys: Keys of the blocks that it holds.
    """

    number: int
    identity: str
    incarnation: int
    keys: set[str] = dataclasses.field(default_factory=set)


class Directory:
    """Index of blocks by key and by holder.

    Invariants: a block lists a holder if and only if the holder's set
    contains the block; a new incarnation starts without blocks. After a gap
    in its events, a holder's entry is unreliable until its next listing.

    Attributes:
        holders: Entries of the targets, by identity.
        blocks: Numbers of the holders by block key.
    """

    __slots__ = ("holders", "blocks", "_by_number", "_next_number")

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.holders: dict[str, Holder] = {}
        self.blocks: dict[str, tuple[int, ...]] = {}
        self._by_number: dict[int, Holder] = {}
        self._next_number = 0

    def holder(self, identity: str, incarnation: int) -> Holder:
        """Returns a target's entry; a new incarnation gets an empty one.

        An older incarnation gets the entry of the newest known one.
        """
        known = self.holders.get(identity)
        if known is not None and known.incarnation >= incarnation:
            return known
        if known is not None:
            self.forget(identity)
        holder = Holder(self._next_number, identity, incarnation)
        self._next_number += 1
        self.holders[identity] = holder
        self._by_number[holder.number] = holder
        return holder

    def apply_events(
        self, identity: str, incarnation: int, events: Iterable[CacheEvent]
    ) -> None:
        """Applies events of a target, in order.

        Args:
            identity: Identity of the target.
            incarnation: Incarnation of the target; events of an older one
                are ignored.
            events: Events of prompts in this shard.
        """
        holder = self.holder(identity, incarnation)
        if holder.incarnation != incarnation:
            return
        for event in events:
            if event.kind == "stored":
                self._add(holder, event.keys)
            else:
                self._drop(holder, event.keys)

    def apply_listing(
        self, identity: str, incarnation: int, keys: Iterable[str]
    ) -> None:
        """Replaces the blocks that a target holds in this shard."""
        holder = self.holder(identity, incarnation)
        if holder.incarnation != incarnation:
            return
        listed_keys = set(keys)
        self._drop(holder, holder.keys - listed_keys)
        self._add(holder, listed_keys - holder.keys)

    def forget(self, identity: str) -> None:
        """Removes a target and all its blocks."""
        holder = self.holders.pop(identity, None)
        if holder is not None:
            self._drop(holder, set(holder.keys))
            del self._by_number[holder.number]

    def lookup(self, keys: list[str]) -> dict[str, int]:
        """Returns the estimated length of the prefix that each target holds.

        A block's key identifies the whole chain up to it, so the last block
        that a target holds determines its prefix. If the target has dropped
        an earlier block, the request takes longer but its result is correct.

        Args:
            keys: Keys of a prompt's blocks, in order.

        Returns:
            Prefix lengths in blocks, by identity.
        """
        prefix_lengths: dict[str, int] = {}
        for position in range(len(keys), 0, -1):
            for number in self.blocks.get(keys[position - 1], ()):
                identity = self._by_number[number].identity
                prefix_lengths.setdefault(identity, position)
        return prefix_lengths

    def _add(self, holder: Holder, keys: Iterable[str]) -> None:
        for key in keys:
            if key in holder.keys:
                continue
            holder.keys.add(key)
            self.blocks[key] = (*self.blocks.get(key, ()), holder.number)

    def _drop(self, holder: Holder, keys: Iterable[str]) -> None:
        for key in keys:
            if key not in holder.keys:
                continue
            holder.keys.discard(key)
            remaining = tuple(
                number for number in self.blocks[key] if number != holder.number
            )
            if remaining:
                self.blocks[key] = remaining
            else:
                del self.blocks[key]

    def check_invariants(self) -> None:
        """Asserts the class invariants."""
        for identity, holder in self.holders.items():
            assert holder.identity == identity
            assert self._by_number[holder.number] is holder
            for key in holder.keys:
                assert holder.number in self.blocks[key], key
        listed_keys = sum(len(numbers) for numbers in self.blocks.values())
        held = sum(len(holder.keys) for holder in self.holders.values())
        assert listed_keys == held, (
            f"blocks list {listed_keys} holders, but holders list {held} blocks"
        )
