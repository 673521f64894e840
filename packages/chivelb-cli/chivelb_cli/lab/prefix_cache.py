"""A limited prefix cache with events, as a model engine keeps it."""

import collections
import random
import time

from chivelb_core.kept import directory as directory_lib

from chivelb_cli.lab import answers


class PrefixCache:
    """Blocks by key; the least recently used go first.

    Attributes:
        capacity: Most blocks.
        blocks: Content and anchor by key, least recently used first.
    """

    def __init__(
        self, capacity: int, *, event_lag_s: float, rng: random.Random
    ) -> None:
        """Creates an empty cache.

        Args:
            capacity: Most blocks.
            event_lag_s: Seconds until an event may be published.
            rng: Source of randomness for lost events.
        """
        self.capacity = capacity
        self.blocks: collections.OrderedDict[str, tuple[bytes, str]] = (
            collections.OrderedDict()
        )
        self._event_lag_s = event_lag_s
        self._rng = rng
        self._sequence = 0
        self._events: list[tuple[float, directory_lib.CacheEvent]] = []

    def held(self, keys: list[str]) -> int:
        """Returns how many leading blocks are held."""
        for position, key in enumerate(keys):
            if key not in self.blocks:
                return position
        return len(keys)

    def is_whole(self, keys: list[str]) -> bool:
        """Tells whether blocks have the content that their keys demand."""
        return all(
            self.blocks[key][0] == answers.block_content(key) for key in keys
        )

    def use(self, keys: list[str]) -> None:
        """Marks blocks as recently used."""
        for key in keys:
            if key in self.blocks:
                self.blocks.move_to_end(key)

    def insert(self, anchor: str, contents: list[tuple[str, bytes]]) -> None:
        """Adds blocks of one prompt, evicting others."""
        new = [item for item in contents if item[0] not in self.blocks]
        for key, content in new:
            self.blocks[key] = (content, anchor)
        self.use([key for key, _ in contents])
        if new:
            self._publish("stored", anchor, [key for key, _ in new])
        dropped: dict[str, list[str]] = {}
        while len(self.blocks) > self.capacity:
            key, (_, owner) = self.blocks.popitem(last=False)
            dropped.setdefault(owner, []).append(key)
        for owner, keys in dropped.items():
            self._publish("dropped", owner, keys)

    def drop(self, keys: list[str]) -> None:
        """Drops blocks."""
        for key in keys:
            found = self.blocks.pop(key, None)
            if found is not None:
                self._publish("dropped", found[1], [key])

    def clear(self) -> None:
        """Drops everything, as a change of weights does."""
        self.drop(list(self.blocks))

    def _publish(self, kind: str, anchor: str, keys: list[str]) -> None:
        self._sequence += 1
        event = directory_lib.CacheEvent(self._sequence, kind, anchor, keys)
        due = time.monotonic() + self._event_lag_s
        self._events.append((due, event))

    def take_events(self, drop_share: float) -> list[directory_lib.CacheEvent]:
        """Returns the events that are due; some may be lost."""
        now = time.monotonic()
        due = [event for at, event in self._events if at <= now]
        self._events = [item for item in self._events if item[0] > now]
        return [e for e in due if self._rng.random() >= drop_share]

    def listing(self) -> directory_lib.Listing:
        """Returns all that is held, as of the newest event."""
        prompts: dict[str, list[str]] = {}
        for key, (_, anchor) in self.blocks.items():
            prompts.setdefault(anchor, []).append(key)
        self._events.clear()
        return directory_lib.Listing(
            self._sequence,
            [
                directory_lib.ListedBlocks(anchor, keys)
                for anchor, keys in prompts.items()
            ],
        )
