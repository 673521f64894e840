"""Directory of the prompt parts that sources (runners and stores) hold.

It serves calls that are proxied unchanged (see ``forwarding``) and is built
from events that arrive late and with gaps. A part is a section of a prompt, of
any length, that the client declares; a source holds it completely or up to some
token. Its key combines the sharing scope and the part's identifier. Parts are
unrelated to the blocks of ``kv_cache.directory``, which have a fixed size and
hashed keys.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import typing

import msgspec

from chivelb_core.forwarding import call as call_lib


class PartUpdate(msgspec.Struct, rename="camel", frozen=True):
    """Event or listing entry: how much of a part a source holds.

    An event reports a change; a listing has one entry for each held part.

    Attributes:
        key: Key of the part.
        tokens: Tokens of the part that the source now holds; 0 for none.
    """

    # Name in the wire schema, where it differs from the name of the class.
    SCHEMA_NAME: typing.ClassVar[str] = "PartEvent"

    key: str
    tokens: int


# Maximum number of parts that one source is expected to hold but has not
# reported; beyond it the oldest expectation is dropped.
MAX_EXPECTED_PARTS_PER_SOURCE = 2_000
# Limit for the parts of all sources together, where no other is given.
DEFAULT_DIRECTORY_BYTES = 16_777_216
# Memory of one part of one source, besides the characters of its key.
PART_BYTES = 288
# Share of its parts that a source loses at a time.
EVICTED_SHARE = 0.1
# Longest key of a part: a scope, a slash and a part id.
MAX_KEY_LENGTH = 512


def part_key(sharing_scope: str, part_id: str) -> str:
    """Returns the key of a part within a sharing scope."""
    return f"{sharing_scope}/{part_id}"


@dataclasses.dataclass(slots=True)
class Source:
    """Directory entry of one runner or store.

    Attributes:
        address: ``host:port`` of the source.
        epoch: Incarnation of the source as its events report it; it changes
            when the source restarts.
        next: Sequence number of the next expected event.
        parts: Tokens held of each part, by key.
        total_tokens: Sum of the tokens held.
        last_message_at: Monotonic time of its newest message, in seconds.
    """

    address: str
    epoch: int = 0
    next: int = 0
    parts: dict[str, int] = dataclasses.field(default_factory=dict)
    total_tokens: int = 0
    last_message_at: float = float("-inf")


class PartDirectory:
    """Index of parts by key and by source.

    Invariants: a key lists a source if and only if the source's entry
    contains the key; a new epoch starts without parts; events are applied
    once and in order.

    Attributes:
        sources: Sources by address.
        tokens_by_source: Tokens of a part held, by part key and source
            address.
        expected: Monotonic time, by address and key, until which a source is
            assumed to hold a part that it has not reported yet, in seconds.
        size_bytes: Memory of the parts.
        max_bytes: Limit for the memory of the parts. Beyond it the source with
            the most parts loses those that it has reported first.
    """

    __slots__ = (
        "sources",
        "tokens_by_source",
        "expected",
        "size_bytes",
        "max_bytes",
    )

    def __init__(self, max_bytes: int = DEFAULT_DIRECTORY_BYTES) -> None:
        """Creates an empty directory."""
        self.max_bytes = max_bytes
        self.sources: dict[str, Source] = {}
        self.tokens_by_source: dict[str, dict[str, int]] = {}
        self.expected: dict[str, dict[str, float]] = {}
        self.size_bytes = 0

    def source(self, address: str) -> Source:
        """Returns the entry of a source, creating it if needed."""
        source = self.sources.get(address)
        if source is None:
            source = self.sources[address] = Source(address)
        return source

    def apply_events(
        self,
        address: str,
        *,
        epoch: int,
        since: int,
        until: int,
        events: Iterable[PartUpdate],
        now: float,
    ) -> bool:
        """Applies events of a source.

        Args:
            address: Address of the source.
            epoch: Incarnation of the source.
            since: Sequence number of the first event.
            until: Sequence number after the last event.
            events: The events, in order.
            now: Monotonic time in seconds.

        Returns:
            False if earlier events are missing. The given events are applied
            all the same, but a listing is needed to recover the missing ones.
        """
        source = self.source(address)
        source.last_message_at = now
        if epoch != source.epoch:
            self._clear(source)
            source.epoch = epoch
            source.next = 0
        if until <= source.next:
            return True
        is_contiguous = since <= source.next
        for event in events:
            self._set(source, event.key, event.tokens)
        self._evict()
        source.next = until
        return is_contiguous

    def apply_listing(
        self,
        address: str,
        *,
        epoch: int,
        until: int,
        held: Iterable[PartUpdate],
        now: float,
    ) -> None:
        """Replaces the entry of a source by a listing.

        A listing older than the events applied is ignored.

        Args:
            address: Address of the source.
            epoch: Incarnation of the source.
            until: Sequence number after the newest event that the listing
                includes.
            held: All parts that the source holds.
            now: Monotonic time in seconds.
        """
        source = self.source(address)
        if epoch == source.epoch and until < source.next:
            return
        self._clear(source)
        source.epoch = epoch
        source.next = until
        source.last_message_at = now
        for part in held:
            self._set(source, part.key, part.tokens)
        self._evict()

    def add_expected(self, address: str, key: str, expires_at: float) -> None:
        """Records that a source is expected to hold a complete part soon.

        Args:
            address: Address of the source.
            key: Key of the part.
            expires_at: Monotonic time at which the expectation lapses, in
                seconds.
        """
        known = self.expected.setdefault(address, {})
        known.pop(key, None)
        known[key] = expires_at
        if len(known) > MAX_EXPECTED_PARTS_PER_SOURCE:
            del known[next(iter(known))]

    def _is_expected(self, address: str, key: str, now: float) -> bool:
        known = self.expected.get(address)
        if known is None:
            return False
        expires_at = known.get(key)
        if expires_at is None:
            return False
        if expires_at <= now:
            del known[key]
            return False
        return True

    def forget(self, address: str) -> None:
        """Removes a source and all its parts."""
        self.expected.pop(address, None)
        source = self.sources.pop(address, None)
        if source is not None:
            self._clear(source)

    def held_prefix(
        self,
        address: str,
        sharing_scope: str,
        prompt: call_lib.Prompt,
        now: float,
    ) -> tuple[int, int]:
        """Returns the prefix of a prompt that a source holds.

        Returns:
            The number of complete leading parts, and the number of leading
            tokens including those of a partially held part.
        """
        source = self.sources.get(address)
        held = source.parts if source is not None else {}
        tokens = 0
        for index, part in enumerate(prompt.parts):
            key = part_key(sharing_scope, part.part_id)
            held_tokens = held.get(key, 0)
            if held_tokens < part.tokens and not self._is_expected(
                address, key, now
            ):
                return index, tokens + min(held_tokens, part.tokens)
            tokens += part.tokens
        return len(prompt.parts), tokens

    def complete_sources(self, key: str, tokens: int) -> list[str]:
        """Returns the addresses of the sources that hold a complete part."""
        tokens_by_source = self.tokens_by_source.get(key)
        if not tokens_by_source:
            return []
        return [
            address
            for address, held in tokens_by_source.items()
            if held >= tokens
        ]

    def _clear(self, source: Source) -> None:
        for key in list(source.parts):
            self._set(source, key, 0)
        assert source.total_tokens == 0, (
            f"source {source.address} holds {source.total_tokens} tokens "
            "after it was cleared"
        )

    def _evict(self) -> None:
        """Forgets parts of the largest sources until there is room."""
        while self.size_bytes > self.max_bytes:
            source = max(self.sources.values(), key=lambda s: len(s.parts))
            count = max(1, int(len(source.parts) * EVICTED_SHARE))
            for key in list(itertools.islice(source.parts, count)):
                self._set(source, key, 0)

    def _set(self, source: Source, key: str, tokens: int) -> None:
        previous_tokens = source.parts.get(key, 0)
        source.total_tokens += tokens - previous_tokens
        if tokens > 0:
            if not previous_tokens:
                self.size_bytes += PART_BYTES + len(key)
            source.parts[key] = tokens
            self.tokens_by_source.setdefault(key, {})[source.address] = tokens
            return
        if previous_tokens:
            del source.parts[key]
            self.size_bytes -= PART_BYTES + len(key)
            tokens_by_source = self.tokens_by_source[key]
            del tokens_by_source[source.address]
            if not tokens_by_source:
                del self.tokens_by_source[key]

    def check_invariants(self) -> None:
        """Asserts the class invariants."""
        for address, source in self.sources.items():
            assert source.address == address
            assert source.total_tokens == sum(source.parts.values())
            for key, tokens in source.parts.items():
                assert tokens > 0
                assert self.tokens_by_source[key][address] == tokens
        listed = sum(
            len(tokens_by_source)
            for tokens_by_source in self.tokens_by_source.values()
        )
        held = sum(len(source.parts) for source in self.sources.values())
        assert self.size_bytes == sum(
            PART_BYTES + len(key)
            for source in self.sources.values()
            for key in source.parts
        )
        assert listed == held, (
            f"parts list {listed} sources, but sources list {held} parts"
        )
