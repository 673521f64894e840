"""Simulated network link with limited bandwidth."""

import asyncio
import time


class Link:
    """A link that carries one transfer at a time, in order of arrival.

    Attributes:
        bytes_per_s: Bandwidth in bytes per second.
        transferred_bytes: Bytes transferred so far, including transfers
            that still wait.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Creates an idle link."""
        self.bytes_per_s = bytes_per_s
        self.transferred_bytes = 0
        self._busy_until = 0.0

    def pending_bytes(self) -> int:
        """Returns the number of bytes not yet transferred."""
        return int(
            max(0.0, self._busy_until - time.monotonic()) * self.bytes_per_s
        )

    async def transfer(self, size: int, factor: float = 1.0) -> None:
        """Waits until a transfer is complete.

        Args:
            size: Size in bytes.
            factor: Multiplier of the bandwidth, to simulate a slow link.
        """
        now = time.monotonic()
        starts_at = max(now, self._busy_until)
        self._busy_until = starts_at + size / (self.bytes_per_s * factor)
        self.transferred_bytes += size
        await asyncio.sleep(self._busy_until - now)
