"""Append-only file of checksummed records with group commit."""

import asyncio
from collections.abc import Iterator
import itertools
import os
import pathlib
import zlib

HEADER_BYTES = 8
# First byte of a record that holds a batch; never the first of MessagePack.
BATCH_MARK = b"\xc1"
MAX_RECORD_BYTES = 67_108_864


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

    Attributes:
        path: Path of the file.
        size: Size of the valid records in bytes.
    """

    __slots__ = ("path", "size", "_file", "_queue", "_flushing")

    def __init__(self, path: pathlib.Path) -> None:
        """Creates a journal without opening its file."""
        self.path = path
        self.size = 0
        self._file = None
        self._queue: list[tuple[list[bytes], asyncio.Future]] = []
        self._flushing: asyncio.Task | None = None

    def open(self) -> list[bytes]:
        """Opens the file, truncates a torn tail and returns all payloads.

        Raises:
            JournalError: A record before the tail is damaged.
        """
        existed = self.path.exists()
        payloads, end = self._read()
        self._file = self.path.open("r+b" if existed else "w+b")
        self._file.truncate(end)
        self._file.seek(end)
        os.fsync(self._file.fileno())
        sync_directory(self.path.parent)
        self.size = end
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
            OSError: The records could not be written; the journal must not
                be used any further.
        """
        if not payloads and not self._queue and not self._is_flushing():
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
                if data:
                    await asyncio.to_thread(self._write, data)
            except OSError as error:
                for _, future in batch:
                    if not future.done():
                        future.set_exception(error)
                continue
            self.size += len(data)
            for _, future in batch:
                if not future.done():
                    future.set_result(None)

    def _write(self, data: bytes) -> None:
        self._file.write(data)
        self._file.flush()
        os.fdatasync(self._file.fileno())

    async def rewrite(self, payloads: list[bytes]) -> None:
        """Replaces all records atomically, for compaction.

        Must not run concurrently with ``append``.
        """
        data = b"".join(encode_batch([payload]) for payload in payloads)
        await asyncio.to_thread(replace_file, self.path, data)
        self._file.close()
        self._file = self.path.open("r+b")
        self._file.seek(len(data))
        self.size = len(data)

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replaces the contents of a file atomically and durably."""
    temporary = path.with_suffix(path.suffix + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_directory(path.parent)
