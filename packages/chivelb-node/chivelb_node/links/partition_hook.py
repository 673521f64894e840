"""Test hook that simulates network partitions.

Links to the peers and zones that a file names are refused.
"""

import pathlib

RELOAD_PERIOD_S = 0.05


class PartitionHook:
    """Peers and zones to which this instance refuses links.

    Attributes:
        names: Names that were last read from the file.
    """

    __slots__ = ("names", "_path", "_loaded_at")

    def __init__(self, path: str) -> None:
        """Creates a hook that reads a file; an empty path disables it."""
        self.names: frozenset[str] = frozenset()
        self._path = pathlib.Path(path) if path else None
        self._loaded_at = float("-inf")

    def is_partitioned(self, now: float, *names: str) -> bool:
        """Returns whether the file currently contains any of the names."""
        if self._path is None:
            return False
        if now - self._loaded_at >= RELOAD_PERIOD_S:
            self._loaded_at = now
            try:
                text = self._path.read_text(encoding="utf-8")
            except OSError:
                text = ""
            self.names = frozenset(text.split())
        return not self.names.isdisjoint(names)
