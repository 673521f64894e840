"""Aggregate of which target holds which block: one shard of a zone."""

from collections.abc import Iterable
import dataclasses
from typing import Literal

import msgspec


class CacheEvent(msgspec.Struct, rename="camel", frozen=True):
    """A target's word that it stored or dropped blocks of one prompt.

    Attributes:
        sequence: Number of the event, without gaps at the source.
        kind: ``stored`` or ``dropped``.
        anchor: Key that names the prompt's shard.
        keys: The block keys.
    """

    sequence: int
    kind: Literal["stored", "dropped"]
    anchor: str
    keys: list[str]


class ListedBlocks(msgspec.Struct, rename="camel", frozen=True):
    """Blocks of one prompt in a target's listing."""

    anchor: str
    keys: list[str]


class Listing(msgspec.Struct, rename="camel", frozen=True):
    """All that a target holds, as of an event.

    Attributes:
        sequence: Number of the newest event that the listing covers.
        prompts: The blocks by prompt.
    """

    sequence: int
    prompts: list[ListedBlocks]


class EventFeed:
    """Events of one target as they reach an instance, late and with gaps.

    Attributes:
        incarnation: Incarnation of the target.
        sequence: Newest event taken; None before a listing was taken.
        wants_listing: Whether events are missing since the last listing.
    """

    __slots__ = ("incarnation", "sequence", "wants_listing")

    def __init__(self, incarnation: int) -> None:
        """Creates a feed that needs a listing first."""
        self.incarnation = incarnation
        self.sequence: int | None = None
        self.wants_listing = True

    def take_events(self, events: list[CacheEvent]) -> list[CacheEvent]:
        """Returns the events not seen before, and notes gaps."""
        fresh = []
        for event in sorted(events, key=lambda event: event.sequence):
            if self.sequence is not None and event.sequence <= self.sequence:
                continue
            if self.sequence is None or event.sequence != self.sequence + 1:
                self.wants_listing = True
            self.sequence = event.sequence
            fresh.append(event)
        return fresh

    def take_listing(self, listing: Listing) -> bool:
        """Takes a listing; False when events after it were taken already."""
        if self.sequence is not None and listing.sequence < self.sequence:
            return False
        self.sequence = listing.sequence
        self.wants_listing = False
        return True


@dataclasses.dataclass(slots=True)
class Holder:
    """What the directory knows of one target.

    Attributes:
        number: Small integer that stands for it in the blocks' sets.
        identity: The target.
        incarnation: Incarnation that the blocks belong to.
        keys: The block keys that it holds.
    """

    number: int
    identity: str
    incarnation: int
    keys: set[str] = dataclasses.field(default_factory=set)


class Directory:
    """Blocks by key and holder.

    Rules: a block is listed under a holder exactly while the holder's own
    set has it; a new incarnation holds nothing; a gap in events makes the
    holder doubtful until its listing is taken.

    Attributes:
        holders: Holders by identity.
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
        """Returns a target's holder, emptied when the incarnation is new."""
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
        """Takes events in the order of their arrival.

        Args:
            identity: The target.
            incarnation: Its incarnation; an older one is ignored.
            events: Events of this shard's prompts.
        """
        holder = self.holder(identity, incarnation)
        if holder.incarnation != incarnation:
            return
        for event in events:
            if event.kind == "stored":
                self._add(holder, event.keys)
            else:
                self._drop(holder, event.keys)

    def take_listing(
        self, identity: str, incarnation: int, keys: Iterable[str]
    ) -> None:
        """Replaces all that a target holds in this shard."""
        holder = self.holder(identity, incarnation)
        if holder.incarnation != incarnation:
            return
        listed = set(keys)
        self._drop(holder, holder.keys - listed)
        self._add(holder, listed - holder.keys)

    def forget(self, identity: str) -> None:
        """Drops a target and all its blocks."""
        holder = self.holders.pop(identity, None)
        if holder is not None:
            self._drop(holder, set(holder.keys))
            del self._by_number[holder.number]

    def lookup(self, keys: list[str]) -> dict[str, int]:
        """Returns how many leading blocks each target seems to hold.

        A block's key stands for the whole chain before it, so the deepest
        block that a target holds tells its prefix; blocks that it dropped
        before that one cost time and never an answer.

        Args:
            keys: The keys of a prompt's blocks, in order.

        Returns:
            Lengths of the held prefixes in blocks, by identity.
        """
        lengths: dict[str, int] = {}
        for position in range(len(keys), 0, -1):
            for number in self.blocks.get(keys[position - 1], ()):
                identity = self._by_number[number].identity
                lengths.setdefault(identity, position)
        return lengths

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
            left = tuple(
                number for number in self.blocks[key] if number != holder.number
            )
            if left:
                self.blocks[key] = left
            else:
                del self.blocks[key]

    def check_invariants(self) -> None:
        """Asserts the rules of the class."""
        for identity, holder in self.holders.items():
            assert holder.identity == identity
            assert self._by_number[holder.number] is holder
            for key in holder.keys:
                assert holder.number in self.blocks[key], key
        listed = sum(len(numbers) for numbers in self.blocks.values())
        held = sum(len(holder.keys) for holder in self.holders.values())
        assert listed == held, "a block is listed under no holder"
