"""Prefix cache of bounded size that publishes cache events."""

import collections
import random
import time

from chivelb_core.kv_cache import directory as directory_lib

from chivelb_cli.lab import expected_output


class PrefixCache:
    """KV cache blocks with least-recently-used eviction.

    Evicted blocks and blocks removed by ``remove`` are both published as cache
    events of kind ``dropped``. An event itself can be lost, which
    ``pop_due_events`` simulates.

    Attributes:
        capacity: Maximum number of blocks.
        blocks: Content and anchor by key, least recently used first.
    """

    def __init__(
        self, capacity: int, *, event_lag_s: float, rng: random.Random
    ) -> None:
        """Creates an empty cache.

        Args:
            capacity: Maximum number of blocks.
            event_lag_s: Delay of events before publication, in seconds.
            rng: Random generator that selects lost events.
        """
        self.capacity = capacity
        self.blocks: collections.OrderedDict[str, tuple[bytes, str]] = (
            collections.OrderedDict()
        )
        self._event_lag_s = event_lag_s
        self._rng = rng
        self._sequence = 0
        self._events: list[tuple[float, directory_lib.CacheEvent]] = []

    def count_cached_prefix(self, keys: list[str]) -> int:
        """Returns the number of leading blocks that are cached."""
        for position, key in enumerate(keys):
            if key not in self.blocks:
                return position
        return len(keys)

    def has_valid_content(self, keys: list[str]) -> bool:
        """Returns whether cached blocks have the content expected by key."""
        return all(
            self.blocks[key][0] == expected_output.block_content(key)
            for key in keys
        )

    def touch(self, keys: list[str]) -> None:
        """Marks blocks as recently used."""
        for key in keys:
            if key in self.blocks:
                self.blocks.move_to_end(key)

    def insert(self, anchor: str, contents: list[tuple[str, bytes]]) -> None:
        """Adds the blocks of one prompt and evicts blocks over capacity.

        Args:
            anchor: Key that selects the directory shard of the prompt.
            contents: Key and content of each block, in order.
        """
        new = [item for item in contents if item[0] not in self.blocks]
        for key, content in new:
            self.blocks[key] = (content, anchor)
        self.touch([key for key, _ in contents])
        if new:
            self._record_event("stored", anchor, [key for key, _ in new])
        evicted: dict[str, list[str]] = {}
        while len(self.blocks) > self.capacity:
            key, (_, evicted_anchor) = self.blocks.popitem(last=False)
            evicted.setdefault(evicted_anchor, []).append(key)
        for evicted_anchor, keys in evicted.items():
            self._record_event("dropped", evicted_anchor, keys)

    def remove(self, keys: list[str]) -> None:
        """Removes blocks from the cache."""
        for key in keys:
            removed = self.blocks.pop(key, None)
            if removed is not None:
                self._record_event("dropped", removed[1], [key])

    def clear(self) -> None:
        """Removes all blocks; cached KV is invalid after a weight swap."""
        self.remove(list(self.blocks))

    def _record_event(self, kind: str, anchor: str, keys: list[str]) -> None:
        self._sequence += 1
        event = directory_lib.CacheEvent(self._sequence, kind, anchor, keys)
        publish_at = time.monotonic() + self._event_lag_s
        self._events.append((publish_at, event))

    def pop_due_events(
        self, loss_rate: float
    ) -> list[directory_lib.CacheEvent]:
        """Removes the events that are due and returns those not lost.

        Args:
            loss_rate: Fraction of events to lose.
        """
        now = time.monotonic()
        due = [event for publish_at, event in self._events if publish_at <= now]
        self._events = [item for item in self._events if item[0] > now]
        return [e for e in due if self._rng.random() >= loss_rate]

    def build_listing(self) -> directory_lib.Listing:
        """Returns all cached blocks, as of the newest event.

        The listing replaces all events not yet published.
        """
        keys_by_anchor: dict[str, list[str]] = {}
        for key, (_, anchor) in self.blocks.items():
            keys_by_anchor.setdefault(anchor, []).append(key)
        self._events.clear()
        return directory_lib.Listing(
            self._sequence,
            [
                directory_lib.ListedBlocks(anchor, keys)
                for anchor, keys in keys_by_anchor.items()
            ],
        )
