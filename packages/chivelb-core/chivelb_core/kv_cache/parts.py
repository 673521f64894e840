"""Directory of the prompt parts that sources hold.

It is built from events that arrive late and with gaps. A part is a section of
a prompt that a source holds completely or up to some token; its key combines
the sharing scope and the part's identifier.
"""

from collections.abc import Iterable
import dataclasses
import typing

import msgspec

from chivelb_core.forwarding import call as call_lib


class PartUpdate(msgspec.Struct, rename="camel", frozen=True):
    """Notification of how much of a part a source holds.

    Attributes:
        key: Key of the part.
        tokens: Tokens of the part that the source now holds; 0 for none.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "PartEvent"

    key: str
    tokens: int


MAX_EXPECTED_PARTS = 2_000


def part_key(salt: str, part_id: str) -> str:
    """Returns the key of a part within a sharing scope."""
    return f"{salt}/{part_id}"


@dataclasses.dataclass(slots=True)
class Source:
    """Directory entry of one runner or store.

    Attributes:
        address: ``host:port`` of the source.
        epoch: Epoch of the source, which changes when it restarts.
        next: Sequence number of the next expected event.
        parts: Tokens held of each part, by key.
        total: Sum of the tokens held.
        last_message_at: Monotonic time of its newest message, in seconds.
    """

    address: str
    epoch: int = 0
    next: int = 0
    parts: dict[str, int] = dataclasses.field(default_factory=dict)
    total: int = 0
    last_message_at: float = float("-inf")


class PartDirectory:
    """Index of parts by key and by source.

    Invariants: a key lists a source if and only if the source's entry
    contains the key; a new epoch starts without parts; events are applied
    once and in order.

    Attributes:
        sources: Sources by address.
        holders: Tokens held by source address, for each key.
        expected: Monotonic time, by address and key, until which a source is
            assumed to hold a part that it has not reported yet, in seconds.
    """

    __slots__ = ("sources", "holders", "expected")

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.sources: dict[str, Source] = {}
        self.holders: dict[str, dict[str, int]] = {}
        self.expected: dict[str, dict[str, float]] = {}

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
            epoch: Epoch of the source.
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
            epoch: Epoch of the source.
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

    def add_expected(self, address: str, key: str, until: float) -> None:
        """Records that a source is expected to hold a complete part soon.

        Args:
            address: Address of the source.
            key: Key of the part.
            until: Monotonic time at which the expectation lapses, in
                seconds.
        """
        known = self.expected.setdefault(address, {})
        known.pop(key, None)
        known[key] = until
        if len(known) > MAX_EXPECTED_PARTS:
            del known[next(iter(known))]

    def _is_expected(self, address: str, key: str, now: float) -> bool:
        known = self.expected.get(address)
        if known is None:
            return False
        until = known.get(key)
        if until is None:
            return False
        if until <= now:
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
        self, address: str, salt: str, prompt: call_lib.Prompt, now: float
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
            key = part_key(salt, part.key)
            held_tokens = held.get(key, 0)
            if held_tokens < part.tokens and not self._is_expected(
                address, key, now
            ):
                return index, tokens + min(held_tokens, part.tokens)
            tokens += part.tokens
        return len(prompt.parts), tokens

    def complete_holders(self, key: str, tokens: int) -> list[str]:
        """Returns the addresses of the sources that hold a complete part."""
        holders = self.holders.get(key)
        if not holders:
            return []
        return [address for address, held in holders.items() if held >= tokens]

    def _clear(self, source: Source) -> None:
        for key in list(source.parts):
            self._set(source, key, 0)
        assert source.total == 0, "a cleared source holds tokens"

    def _set(self, source: Source, key: str, tokens: int) -> None:
        previous_tokens = source.parts.get(key, 0)
        source.total += tokens - previous_tokens
        if tokens > 0:
            source.parts[key] = tokens
            self.holders.setdefault(key, {})[source.address] = tokens
            return
        if previous_tokens:
            del source.parts[key]
            holders = self.holders[key]
            del holders[source.address]
            if not holders:
                del self.holders[key]

    def check_invariants(self) -> None:
        """Asserts the class invariants."""
        for address, source in self.sources.items():
            assert source.address == address
            assert source.total == sum(source.parts.values())
            for key, tokens in source.parts.items():
                assert tokens > 0
                assert self.holders[key][address] == tokens
        listed = sum(len(holders) for holders in self.holders.values())
        held = sum(len(source.parts) for source in self.sources.values())
        assert listed == held, "a part is listed under no source"
