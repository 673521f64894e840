"""Append-only file of checksummed records with group commit."""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import zlib

HEADER_BYTES = 8
# First byte of a record that holds a batch; never the first of MessagePack.
BATCH_MARK = b"\xc1"
MAX_RECORD_BYTES = 67_108_864
FILE_MODE = 0o666


class JournalError(Exception):
    """A file is damaged, beyond a torn write at its end."""


def sync_directory(directory: pathlib.Path) -> None:
    """Syncs a directory, so that files created in it survive a crash."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def encode_record(payload: bytes) -> bytes:
    """Returns a record with its length and checksum."""
    length = len(payload).to_bytes(4, "big")
    checksum = zlib.crc32(length + payload).to_bytes(4, "big")
    return length + checksum + payload


def encode_batch(payloads: list[bytes]) -> bytes:
    """Returns one record that holds several.

    What is written at once is valid as a whole or not at all: after a loss of
    power any part of the last write may be on the disk.
    """
    lengths = (len(payload).to_bytes(4, "big") for payload in payloads)
    parts = zip(lengths, payloads, strict=True)
    return encode_record(
        BATCH_MARK + b"".join(itertools.chain.from_iterable(parts))
    )


def _split_batch(record: bytes) -> Iterator[bytes]:
    """Yields the payloads of a record, which may hold a batch."""
    if not record.startswith(BATCH_MARK):
        yield record
        return
    offset = len(BATCH_MARK)
    while offset < len(record):
        start = offset + 4
        offset = start + int.from_bytes(record[offset:start], "big")
        yield record[start:offset]


def iterate_records(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the end offset and payload of each valid record.

    Stops at the first torn or damaged record.
    """
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        length = data[offset : offset + 4]
        size = int.from_bytes(length, "big")
        end = offset + HEADER_BYTES + size
        payload = data[offset + HEADER_BYTES : end]
        if size > MAX_RECORD_BYTES or len(payload) < size:
            return
        checksum = int.from_bytes(data[offset + 4 : offset + 8], "big")
        if zlib.crc32(length + payload) != checksum:
            return
        yield end, payload
        offset = end


def _has_valid_record_after(data: bytes, start: int) -> bool:
    """Returns whether a valid record follows the given offset."""
    for offset in range(start + 1, len(data) - HEADER_BYTES):
        size = int.from_bytes(data[offset : offset + 4], "big")
        if 0 < size <= len(data) - offset - HEADER_BYTES:
            if next(
                iterate_records(data[offset : offset + HEADER_BYTES + size]),
                None,
            ):
                return True
    return False


class Journal:
    """An append-only file of records.

    A torn last record, as left by a crash, is truncated when the file is
    opened. Damage before valid records is an error, because truncating
    there would silently lose synced records.

    After a write or a sync has failed, the journal takes nothing until it is
    closed and opened again. What was not synced is discarded then: the kernel
    may show bytes that never reached the disk.

    Attributes:
        path: Path of the file.
        size: Size of the synced records in bytes.
        failure: Error that ended its use, or None.
    """

    __slots__ = (
        "path",
        "size",
        "failure",
        "_descriptor",
        "_queue",
        "_flushing",
        "_has_unsynced_tail",
    )

    def __init__(self, path: pathlib.Path) -> None:
        """Creates a journal without opening its file."""
        self.path = path
        self.size = 0
        self.failure: OSError | None = None
        self._descriptor: int | None = None
        self._queue: list[tuple[list[bytes], asyncio.Future]] = []
        self._flushing: asyncio.Task | None = None
        # Whether the file may have bytes behind the synced records.
        self._has_unsynced_tail = False

    def open(self) -> list[bytes]:
        """Opens the file, truncates a torn tail and returns all payloads.

        Raises:
            JournalError: A record before the tail is damaged.
            OSError: The file can't be read or synced.
        """
        payloads, end = self._read()
        descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            os.ftruncate(descriptor, end)
            os.lseek(descriptor, end, os.SEEK_SET)
            os.fsync(descriptor)
            sync_directory(self.path.parent)
        except OSError:
            os.close(descriptor)
            raise
        self.close()
        self._descriptor = descriptor
        self.size = end
        self.failure = None
        self._has_unsynced_tail = False
        return payloads

    def read(self) -> list[bytes]:
        """Returns all payloads.

        Raises:
            JournalError: A record before the tail is damaged.
        """
        return self._read()[0]

    def _read(self) -> tuple[list[bytes], int]:
        """Returns all payloads, and the size of the valid records in bytes."""
        data = self.path.read_bytes() if self.path.exists() else b""
        if self._has_unsynced_tail:
            data = data[: self.size]
        payloads = []
        end = 0
        for end, payload in iterate_records(data):  # noqa: B007
            payloads += _split_batch(payload)
        if end < len(data) and _has_valid_record_after(data, end):
            raise JournalError(
                f"{self.path}: damaged at byte {end} before valid records; "
                "restart this instance with an empty data directory"
            )
        return payloads, end

    async def append(self, payloads: list[bytes]) -> None:
        """Appends records and returns when they are synced.

        Calls that arrive during a sync share the next one.

        Args:
            payloads: Records, in order; if empty, waits until the records
                of earlier calls are synced.

        Raises:
            OSError: The records could not be written, or those of an earlier
                call; the journal must be closed and opened again.
        """
        if not payloads and not self._queue and not self._is_flushing():
            if self.failure is not None:
                raise self.failure
            return
        future = asyncio.get_running_loop().create_future()
        self._queue.append((payloads, future))
        if not self._is_flushing():
            self._flushing = asyncio.create_task(self._flush())
        await future

    def _is_flushing(self) -> bool:
        return self._flushing is not None and not self._flushing.done()

    async def _flush(self) -> None:
        while self._queue:
            batch, self._queue = self._queue, []
            records = [record for payloads, _ in batch for record in payloads]
            data = encode_batch(records) if records else b""
            try:
                # Behind records that were not written, none may follow.
                if self.failure is not None:
                    raise self.failure
                if data:
                    await asyncio.to_thread(self._write, data)
            except OSError as error:
                self.failure = error
                _end_all(batch, error)
                continue
            self.size += len(data)
            _end_all(batch, None)

    def _write(self, data: bytes) -> None:
        self._has_unsynced_tail = True
        write_all(self._descriptor, data)
        os.fdatasync(self._descriptor)
        self._has_unsynced_tail = False

    async def rewrite(self, payloads: list[bytes]) -> None:
        """Replaces all records atomically, for compaction.

        Must not run concurrently with ``append``.

        Raises:
            OSError: The records could not be written; the journal must be
                closed and opened again, with the old ones or the new ones.
        """
        data = b"".join(encode_batch([payload]) for payload in payloads)
        try:
            await asyncio.to_thread(replace_file, self.path, data)
            descriptor = os.open(self.path, os.O_RDWR)
        except OSError as error:
            self.failure = error
            raise
        self.close()
        self._descriptor = descriptor
        os.lseek(descriptor, len(data), os.SEEK_SET)
        self.size = len(data)

    def close(self) -> None:
        """Closes the file. Nothing is written, and no error is raised."""
        if self._descriptor is not None:
            with contextlib.suppress(OSError):
                os.close(self._descriptor)
            self._descriptor = None


def _end_all(
    batch: list[tuple[list[bytes], asyncio.Future]], error: OSError | None
) -> None:
    for _, future in batch:
        if future.done():
            continue
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all bytes; the kernel may take them in several parts.

    Raises:
        OSError: Not all bytes were taken, for instance as the disk is full.
    """
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replaces the contents of a file atomically and durably.

    Raises:
        OSError: The old contents are still there, unless the error came as
            the directory was synced. Nothing else takes room on the disk.
    """
    temporary = path.with_suffix(path.suffix + ".new")
    try:
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE
        )
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    sync_directory(path.parent)
