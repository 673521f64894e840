"""Test hook: refuses links to the peers or zones that a file names."""

import pathlib

CHECK_PERIOD_S = 0.05


class Cuts:
    """Names of peers and zones whose links are refused.

    Attributes:
        names: The names in force.
    """

    __slots__ = ("names", "_path", "_checked_at")

    def __init__(self, path: str) -> None:
        """Creates a hook over a file; an empty path cuts nothing."""
        self.names: frozenset[str] = frozenset()
        self._path = pathlib.Path(path) if path else None
        self._checked_at = float("-inf")

    def is_cut(self, now: float, *names: str) -> bool:
        """Tells whether any of the names is cut off at the moment."""
        if self._path is None:
            return False
        if now - self._checked_at >= CHECK_PERIOD_S:
            self._checked_at = now
            try:
                text = self._path.read_text(encoding="utf-8")
            except OSError:
                text = ""
            self.names = frozenset(text.split())
        return not self.names.isdisjoint(names)
