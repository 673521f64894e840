"""Files of a voter: identity, journal of the log, snapshot, seen voters.

The file ``witnessed`` has the names of the instances from which this voter has
received consensus messages of any kind. They include learners.
"""

import asyncio
import dataclasses
import pathlib
import zlib

from chivelb_core import consensus
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import states
import msgspec

from chivelb_node.storage import journal as journal_lib


class HardRecord(msgspec.Struct, array_like=True, tag="hard"):
    """The hard state that applies from this record on."""

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, array_like=True, tag="entry"):
    """A log entry; replaces stored entries from its index on."""

    index: int
    term: int
    kind: str
    data: bytes


class TruncateRecord(msgspec.Struct, array_like=True, tag="truncate"):
    """Removes stored entries from an index on."""

    start: int


Record = HardRecord | EntryRecord | TruncateRecord
_decoder = msgspec.msgpack.Decoder(Record)


@dataclasses.dataclass(slots=True)
class RecoveredState:
    """State of a voter as read from its files.

    Attributes:
        member_id: Member id of the voter.
        hard_state: Hard state.
        log: Log entries after the snapshot.
        snapshot: The newest snapshot, or empty.
    """

    member_id: str
    hard_state: states.HardState
    log: log_lib.Log
    snapshot: bytes


class VoterFiles:
    """Reads and writes the files of a voter.

    Attributes:
        folder: Directory of the files.
        journal: Journal of the log.
    """

    __slots__ = ("folder", "journal")

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates the object without reading any file."""
        self.folder = folder
        self.journal = journal_lib.Journal(folder / "log.journal")

    def read_identity(self) -> str:
        """Returns the member id, or empty if there is no state."""
        path = self.folder / "identity"
        return path.read_text().strip() if path.exists() else ""

    def create(
        self, member_id: str, snapshot: tuple[int, int, bytes] | None = None
    ) -> None:
        """Creates the files of a new member with an empty log.

        The identity file is written last, so that a crash before it leaves
        no state.

        Args:
            member_id: Id of the member.
            snapshot: Index, term and data of the snapshot that it starts with.

        Raises:
            OSError: The files can't be written. There may be no state left;
                the instance must not take its earlier member id again.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in ("identity", "log.journal", "snapshot", "witnessed"):
            (self.folder / name).unlink(missing_ok=True)
        self.journal = journal_lib.Journal(self.folder / "log.journal")
        self.journal.open()
        if snapshot is not None:
            self.write_snapshot(*snapshot)
        journal_lib.replace_file(
            self.folder / "identity", member_id.encode() + b"\n"
        )

    def read_seen_voters(self) -> set[str]:
        """Returns the names of instances that sent consensus messages."""
        path = self.folder / "witnessed"
        return set(path.read_text().split()) if path.exists() else set()

    def write_seen_voters(self, names: set[str]) -> None:
        """Replaces the names of instances that sent consensus messages."""
        data = "".join(f"{name}\n" for name in sorted(names)).encode()
        journal_lib.replace_file(self.folder / "witnessed", data)

    def recover(self) -> RecoveredState:
        """Reads the state of the voter from its files.

        Raises:
            journal_lib.JournalError: A file is damaged.
        """
        snapshot = self._read_snapshot()
        log = log_lib.Log()
        data = b""
        if snapshot is not None:
            index, term, data = snapshot
            log = log_lib.Log(index, term)
        hard_state = states.HardState()
        for payload in self.journal.open():
            record = _decoder.decode(payload)
            match record:
                case HardRecord(term, voted_for):
                    hard_state = states.HardState(term, voted_for)
                case TruncateRecord(start):
                    _truncate(log, start)
                case EntryRecord(index, term, kind, entry_data):
                    entry = log_lib.Entry(index, term, kind, entry_data)
                    _restore_entry(log, entry)
        return RecoveredState(self.read_identity(), hard_state, log, data)

    def close(self) -> None:
        """Closes the journal; it can be recovered again."""
        self.journal.close()

    async def store(self, effects: consensus.Effects) -> None:
        """Writes and syncs the durable effects of a step.

        Raises:
            OSError: The write or sync failed; the voter must stop.
        """
        if effects.snapshot is not None:
            await asyncio.to_thread(self.write_snapshot, *effects.snapshot)
            await self._drop_entries()
        records: list[Record] = []
        if effects.hard_state is not None:
            hard_state = effects.hard_state
            records.append(HardRecord(hard_state.term, hard_state.voted_for))
        if effects.truncate_from is not None:
            records.append(TruncateRecord(effects.truncate_from))
        records += [_entry_record(entry) for entry in effects.entries]
        await self.journal.append([msgspec.msgpack.encode(r) for r in records])

    async def _drop_entries(self) -> None:
        """Removes all entries; the newest hard state stays."""
        hard_records = [
            payload
            for payload in self.journal.read()
            if isinstance(_decoder.decode(payload), HardRecord)
        ]
        await self.journal.rewrite(hard_records[-1:])

    async def compact(
        self, voter: consensus.Voter, index: int, data: bytes
    ) -> None:
        """Writes a snapshot, then removes the records that it covers."""
        term = voter.log.term_at(index)
        await asyncio.to_thread(self.write_snapshot, index, term, data)
        hard_state = voter.hard_state
        records: list[Record] = [
            HardRecord(hard_state.term, hard_state.voted_for)
        ]
        if index < voter.log.last_index:
            kept = voter.log.slice(index + 1, voter.log.last_index)
            records += [_entry_record(entry) for entry in kept]
        await self.journal.rewrite(
            [msgspec.msgpack.encode(record) for record in records]
        )

    def write_snapshot(self, index: int, term: int, data: bytes) -> None:
        """Replaces the snapshot file."""
        body = msgspec.msgpack.encode((index, term, data))
        checksum = zlib.crc32(body).to_bytes(4, "big")
        journal_lib.replace_file(self.folder / "snapshot", checksum + body)

    def _read_snapshot(self) -> tuple[int, int, bytes] | None:
        path = self.folder / "snapshot"
        if not path.exists():
            return None
        return decode_snapshot_file(path.read_bytes(), str(path))


def decode_snapshot_file(
    raw: bytes, source: str = "snapshot"
) -> tuple[int, int, bytes]:
    """Decodes a snapshot file.

    Args:
        raw: Contents of the file.
        source: Name of the file, for error messages.

    Returns:
        Index and term of the last entry that it covers, and its data.

    Raises:
        journal_lib.JournalError: The file is damaged.
    """
    body = memoryview(raw)[4:]
    if zlib.crc32(body).to_bytes(4, "big") != raw[:4]:
        raise journal_lib.JournalError(
            f"{source}: snapshot is damaged: checksum mismatch"
        )
    try:
        return msgspec.msgpack.decode(body, type=tuple[int, int, bytes])
    except msgspec.MsgspecError as error:
        raise journal_lib.JournalError(f"{source}: {error}") from None


def _restore_entry(log: log_lib.Log, entry: log_lib.Entry) -> None:
    """Adds an entry unless the snapshot covers or replaces it."""
    if entry.index <= log.base_index:
        return
    _truncate(log, entry.index)
    follows = entry.index == log.last_index + 1
    if follows and entry.term >= log.last_term:
        log.append(entry)


def _truncate(log: log_lib.Log, start: int) -> None:
    if log.base_index < start <= log.last_index:
        log.truncate(start)


def _entry_record(entry: log_lib.Entry) -> EntryRecord:
    return EntryRecord(entry.index, entry.term, entry.kind, entry.data)
