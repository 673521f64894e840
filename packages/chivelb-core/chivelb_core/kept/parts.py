"""Which source holds which part of a prompt, from events late and with gaps.

A part is a stretch of a prompt that sources keep whole or in part; its key
joins the scope of sharing and the part's id.
"""

from collections.abc import Iterable
import dataclasses

import msgspec

from chivelb_core.forwarding import call as call_lib


class PartEvent(msgspec.Struct, rename="camel", frozen=True):
    """A source's word on one part.

    Attributes:
        key: Key of the part.
        tokens: Tokens of it that the source holds now.
    """

    key: str
    tokens: int


MAX_EXPECTED = 2_000


def part_key(salt: str, part_id: str) -> str:
    """Returns the key of a part within a scope of sharing."""
    return f"{salt}/{part_id}"


@dataclasses.dataclass(slots=True)
class Source:
    """What one runner or store is known to hold.

    Attributes:
        address: ``host:port`` of the source.
        epoch: Life of the source that the parts belong to.
        next: Number after the newest event taken.
        parts: Tokens held by key.
        total: Sum of them.
        heard_at: Monotonic time of its newest word, in seconds.
    """

    address: str
    epoch: int = 0
    next: int = 0
    parts: dict[str, int] = dataclasses.field(default_factory=dict)
    total: int = 0
    heard_at: float = float("-inf")


class PartDirectory:
    """Parts by key and source.

    Rules: a key lists a source exactly while the source's own table has it;
    a new epoch holds nothing; events are taken once and in order.

    Attributes:
        sources: Sources by address.
        holders: Tokens by source address, for each key.
        expected: Parts that sources are about to hold: until when that is
            believed without their own word, by address and key.
    """

    __slots__ = ("sources", "holders", "expected")

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.sources: dict[str, Source] = {}
        self.holders: dict[str, dict[str, int]] = {}
        self.expected: dict[str, dict[str, float]] = {}

    def source(self, address: str) -> Source:
        """Returns a source, created when it is new."""
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
        events: Iterable[PartEvent],
        now: float,
    ) -> bool:
        """Takes events of a source.

        Args:
            address: The source.
            epoch: Its life.
            since: Number of the first event.
            until: Number after the last one.
            events: The events, in order.
            now: Monotonic time in seconds.

        Returns:
            False when events before them are missing; they were taken, but
            a listing must repair what is unknown.
        """
        source = self.source(address)
        source.heard_at = now
        if epoch != source.epoch:
            self._clear(source)
            source.epoch = epoch
            source.next = 0
        if until <= source.next:
            return True
        whole = since <= source.next
        for event in events:
            self._set(source, event.key, event.tokens)
        source.next = until
        return whole

    def take_listing(
        self,
        address: str,
        *,
        epoch: int,
        until: int,
        held: Iterable[PartEvent],
        now: float,
    ) -> None:
        """Replaces all that is known of a source.

        Args:
            address: The source.
            epoch: Its life.
            until: Number after the newest event that the listing covers.
            held: All that it holds.
            now: Monotonic time in seconds.
        """
        source = self.source(address)
        if epoch == source.epoch and until < source.next:
            return
        self._clear(source)
        source.epoch = epoch
        source.next = until
        source.heard_at = now
        for part in held:
            self._set(source, part.key, part.tokens)

    def note_expected(self, address: str, key: str, until: float) -> None:
        """Notes that a source is about to hold a whole part.

        Args:
            address: The source.
            key: Key of the part.
            until: Monotonic time until which that is believed, in seconds.
        """
        known = self.expected.setdefault(address, {})
        known.pop(key, None)
        known[key] = until
        if len(known) > MAX_EXPECTED:
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
        """Drops a source and all that it holds."""
        self.expected.pop(address, None)
        source = self.sources.pop(address, None)
        if source is not None:
            self._clear(source)

    def held_prefix(
        self, address: str, salt: str, prompt: call_lib.Prompt, now: float
    ) -> tuple[int, int]:
        """Returns what a source holds of a prompt from its start.

        Returns:
            The number of leading whole parts, and the leading tokens with
            those of a part that is held in part.
        """
        source = self.sources.get(address)
        held = source.parts if source is not None else {}
        tokens = 0
        for number, part in enumerate(prompt.parts):
            key = part_key(salt, part.key)
            here = held.get(key, 0)
            if here < part.tokens and not self._is_expected(address, key, now):
                return number, tokens + min(here, part.tokens)
            tokens += part.tokens
        return len(prompt.parts), tokens

    def whole_holders(self, key: str, tokens: int) -> list[str]:
        """Returns the sources that hold a whole part."""
        holders = self.holders.get(key)
        if not holders:
            return []
        return [address for address, held in holders.items() if held >= tokens]

    def _clear(self, source: Source) -> None:
        for key in list(source.parts):
            self._set(source, key, 0)
        assert source.total == 0, "a cleared source holds tokens"

    def _set(self, source: Source, key: str, tokens: int) -> None:
        before = source.parts.get(key, 0)
        source.total += tokens - before
        if tokens > 0:
            source.parts[key] = tokens
            self.holders.setdefault(key, {})[source.address] = tokens
            return
        if before:
            del source.parts[key]
            holders = self.holders[key]
            del holders[source.address]
            if not holders:
                del self.holders[key]

    def check_invariants(self) -> None:
        """Asserts the rules of the class."""
        for address, source in self.sources.items():
            assert source.address == address
            assert source.total == sum(source.parts.values())
            for key, tokens in source.parts.items():
                assert tokens > 0
                assert self.holders[key][address] == tokens
        listed = sum(len(holders) for holders in self.holders.values())
        held = sum(len(source.parts) for source in self.sources.values())
        assert listed == held, "a part is listed under no source"
