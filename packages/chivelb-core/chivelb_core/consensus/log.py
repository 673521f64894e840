"""Raft log of one member: entries after the newest snapshot."""

import msgspec


class Entry(msgspec.Struct, rename="camel", frozen=True):
    """Log entry.

    Attributes:
        index: Position in the log, starting at 1.
        term: Term of the leader that created the entry.
        kind: ``noop`` at the start of a leader's term, ``members`` for a
            membership change, or a command to the document state:
            ``change``, ``replace``, ``weights`` or ``lease``.
        data: Encoded command.
    """

    index: int
    term: int
    kind: str
    data: bytes


class Log:
    """Entries after a snapshot.

    Invariants: indexes are contiguous; terms never decrease; entries covered
    by the snapshot are not held.

    Attributes:
        base_index: Last index that the snapshot covers.
        base_term: Term of the entry at ``base_index``.
        entries: Entries after ``base_index``.
        command_bytes: Bytes of the commands in ``entries``.
    """

    __slots__ = ("base_index", "base_term", "entries", "command_bytes")

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        """Creates a log without entries after the snapshot."""
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[Entry] = []
        self.command_bytes = 0

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, start: int, end: int) -> list[Entry]:
        """Returns the entries from ``start`` to ``end``, both included."""
        assert start > self.base_index, (
            f"entry {start} is compacted: the log starts after "
            f"{self.base_index}"
        )
        first = start - self.base_index - 1
        return self.entries[first : end - self.base_index]

    def slice_within(
        self, start: int, *, max_entries: int, max_bytes: int
    ) -> list[Entry]:
        """Returns entries from ``start`` on, within limits.

        Args:
            start: Index of the first entry.
            max_entries: Most entries to return.
            max_bytes: Most bytes that their commands may have together; the
                first entry is returned whatever its size.
        """
        entries = self.slice(start, start + max_entries - 1)
        size = 0
        for position, entry in enumerate(entries):
            size += len(entry.data)
            if position > 0 and size > max_bytes:
                return entries[:position]
        return entries

    def append(self, entry: Entry) -> None:
        """Appends the next entry."""
        assert entry.index == self.last_index + 1, (
            f"entry index {entry.index} does not follow {self.last_index}"
        )
        assert entry.term >= self.last_term, (
            f"entry term {entry.term} is older than the last, {self.last_term}"
        )
        self.entries.append(entry)
        self.command_bytes += len(entry.data)

    def truncate(self, start: int) -> None:
        """Removes the entries from ``start`` on."""
        assert start > self.base_index, (
            f"cannot truncate from entry {start}: the log starts after "
            f"{self.base_index}"
        )
        self._remove(slice(start - self.base_index - 1, None))

    def compact(self, index: int) -> None:
        """Removes the entries covered by a snapshot up to ``index``."""
        term = self.term_at(index)
        assert term is not None, (
            f"snapshot index {index} is not in the log, which ends at "
            f"{self.last_index}"
        )
        self._remove(slice(0, index - self.base_index))
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Removes all entries; the log starts after a snapshot."""
        self.base_index = index
        self.base_term = term
        self._remove(slice(None))

    def _remove(self, positions: slice) -> None:
        removed = self.entries[positions]
        self.command_bytes -= sum(len(entry.data) for entry in removed)
        del self.entries[positions]
