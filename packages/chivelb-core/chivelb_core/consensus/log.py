"""Log of one voter: entries after the newest snapshot."""

import msgspec


class Entry(msgspec.Struct, rename="camel", frozen=True):
    """One entry of the log.

    Attributes:
        index: Position, counted from 1.
        term: Term of the leader that made it.
        kind: ``noop``, ``members``, ``change`` or ``lease``.
        data: Encoded command.
    """

    index: int
    term: int
    kind: str
    data: bytes


class Log:
    """Entries above a snapshot.

    Rules: indexes have no gaps; terms never decrease; what the snapshot
    covers is gone.

    Attributes:
        base_index: Last index that the snapshot covers.
        base_term: Term of that entry.
        entries: Entries after it.
    """

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        """Creates a log that holds nothing above a snapshot."""
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, or None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, start: int, end: int) -> list[Entry]:
        """Returns the entries from ``start`` to ``end``, both included."""
        assert start > self.base_index, "asked for compacted entries"
        first = start - self.base_index - 1
        return self.entries[first : end - self.base_index]

    def append(self, entry: Entry) -> None:
        """Adds the next entry."""
        assert entry.index == self.last_index + 1, "gap in the log"
        assert entry.term >= self.last_term, "term went back"
        self.entries.append(entry)

    def truncate(self, start: int) -> None:
        """Drops the entries from ``start`` on."""
        assert start > self.base_index, "can't truncate a snapshot"
        del self.entries[start - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drops the entries that a snapshot up to ``index`` covers."""
        term = self.term_at(index)
        assert term is not None, "snapshot beyond the log"
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drops everything for a snapshot from the leader."""
        self.base_index = index
        self.base_term = term
        self.entries = []
