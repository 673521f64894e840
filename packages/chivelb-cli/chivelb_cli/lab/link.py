"""A limited link: transfers wait for each other."""

import asyncio
import time


class Link:
    """A link with a rate and two priorities.

    Attributes:
        rate: Bytes a second.
        moved: Bytes moved so far.
    """

    def __init__(self, rate: float) -> None:
        """Creates an idle link."""
        self.rate = rate
        self.moved = 0
        self._free_at = 0.0

    def pending_bytes(self) -> int:
        """Returns the bytes that wait for the link."""
        return int(max(0.0, self._free_at - time.monotonic()) * self.rate)

    async def transfer(self, size: int, factor: float = 1.0) -> None:
        """Waits until a transfer is through.

        Args:
            size: Bytes.
            factor: Factor on the rate, for a slow link.
        """
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + size / (self.rate * factor)
        self.moved += size
        await asyncio.sleep(self._free_at - now)
