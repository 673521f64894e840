"""Disks that take no more bytes, or fail, beneath the files of a test."""

import asyncio
import contextlib
import errno
import os
import pathlib

FILL_PERIOD_S = 0.005


def open_files(folder):
    """Yields the descriptors of the open files in a folder."""
    for entry in pathlib.Path("/proc/self/fd").iterdir():
        with contextlib.suppress(OSError):
            if pathlib.Path(os.readlink(entry)).is_relative_to(folder):
                yield int(entry.name)


def fill(folder):
    """Makes each write to the open files of a folder fail with ENOSPC."""
    full = os.open("/dev/full", os.O_WRONLY)
    for descriptor in list(open_files(folder)):
        os.dup2(full, descriptor)
    os.close(full)


@contextlib.asynccontextmanager
async def full(folder):
    """Keeps the disk of a folder full; files opened meanwhile fill up too."""

    async def keep_full():
        while True:
            fill(folder)
            await asyncio.sleep(FILL_PERIOD_S)

    task = asyncio.create_task(keep_full())
    try:
        yield
    finally:
        task.cancel()


class Disk:
    """A disk with some room left, for all writes through ``os.write``.

    Attributes:
        room: Bytes that it still takes; a write may be taken in part.
        failing_sync: Whether each sync fails, after the bytes were taken.
    """

    def __init__(self, monkeypatch):
        """Takes the place of the functions that write and sync files."""
        self.room = 2**40
        self.failing_sync = False
        self._write = os.write
        monkeypatch.setattr(os, "write", self.write)
        for name in ("fsync", "fdatasync"):
            sync = getattr(os, name)
            monkeypatch.setattr(
                os,
                name,
                lambda descriptor, sync=sync: self.sync(sync, descriptor),
            )

    def write(self, descriptor, data):
        taken = min(len(data), self.room)
        if data and not taken:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.room -= taken
        return self._write(descriptor, bytes(data[:taken]))

    def sync(self, sync, descriptor):
        if self.failing_sync:
            raise OSError(errno.EIO, "Input/output error")
        sync(descriptor)
