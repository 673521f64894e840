"""Budget in bytes for all that a process buffers for its clients and peers."""

from collections.abc import Callable
import types

# Share of the budget that requests above ``SMALL_BYTES`` may use together. The
# rest is left to small ones, so that a few large bodies don't have all others
# refused.
LARGE_SHARE = 0.75
SMALL_BYTES = 65_536
# A body makes progress with each such number of bytes. Single bytes would let
# a client keep its share by sending one now and then.
PROGRESS_BYTES = 16_384


class ByteBudget:
    """Bytes that are buffered, and how many may be.

    Attributes:
        limit_bytes: Bytes from which on new requests are refused.
        stalled_s: Time without progress after which a body that is still being
            received gives way to others, in seconds.
        used_bytes: Bytes that are buffered. More than the limit are possible:
            a request that runs is not ended.
    """

    __slots__ = ("limit_bytes", "stalled_s", "used_bytes", "_receiving")

    def __init__(self, limit_bytes: int, *, stalled_s: float) -> None:
        """Creates an unused budget."""
        self.limit_bytes = limit_bytes
        self.stalled_s = stalled_s
        self.used_bytes = 0
        # Charges of bodies in reception, the longest without progress first.
        self._receiving: dict[Charge, None] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether more is buffered than may be."""
        return self.used_bytes > self.limit_bytes

    def open(self) -> "Charge":
        """Returns the charge of a new request, which holds nothing yet."""
        return Charge(self)

    def add(self, size: int) -> None:
        """Counts bytes that are buffered already."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Counts bytes that are buffered no more."""
        self.used_bytes -= size

    def has_room(self, charge: "Charge", size: int) -> bool:
        """Returns whether a request may buffer more.

        A request of any size has room while others use little, so that the
        limit refuses none that is alone.
        """
        others = self.used_bytes - charge.used_bytes
        own = charge.used_bytes + size
        limit = self.limit_bytes
        large_limit = limit * LARGE_SHARE
        if others <= limit - large_limit:
            return True
        return others + own <= (limit if own <= SMALL_BYTES else large_limit)

    def reclaim(self, charge: "Charge", size: int, now: float) -> None:
        """Revokes charges of bodies without progress until there is room.

        Args:
            charge: Charge of the request that needs room; it is kept.
            size: Bytes that it needs.
            now: Monotonic time in seconds.
        """
        for other in list(self._receiving):
            if self.has_room(charge, size):
                return
            if now - other.progressed_at < self.stalled_s:
                return
            if other is not charge:
                other.revoke()


class Charge:
    """Bytes that are buffered for one request; a context manager.

    Attributes:
        budget: The budget.
        used_bytes: Bytes of this request.
        progressed_at: Monotonic time at which its body last made progress, in
            seconds.
        is_revoked: Whether its body had to give way to others.
    """

    __slots__ = (
        "budget",
        "used_bytes",
        "progressed_at",
        "is_revoked",
        "_progress_bytes",
        "_on_revoke",
    )

    def __init__(self, budget: ByteBudget) -> None:
        """Creates a charge of nothing."""
        self.budget = budget
        self.used_bytes = 0
        self.progressed_at = 0.0
        self.is_revoked = False
        self._progress_bytes = 0
        self._on_revoke: Callable[[], None] | None = None

    def __enter__(self) -> "Charge":
        """Returns the charge."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Releases all bytes."""
        self.close()

    def try_add(self, size: int, now: float) -> bool:
        """Adds bytes if there is room; returns whether there is.

        Args:
            size: Bytes to add.
            now: Monotonic time in seconds.
        """
        if self.is_revoked:
            return False
        budget = self.budget
        if not budget.has_room(self, size):
            budget.reclaim(self, size, now)
            if not budget.has_room(self, size):
                return False
        self.add(size)
        if self._on_revoke is not None:
            self._record_progress(size, now)
        return True

    def _record_progress(self, size: int, now: float) -> None:
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_at = now
            receiving = self.budget._receiving
            del receiving[self]
            receiving[self] = None

    def add(self, size: int) -> None:
        """Adds bytes that are buffered for a request that runs."""
        self.used_bytes += size
        self.budget.used_bytes += size

    def release(self, size: int) -> None:
        """Removes bytes that are buffered no more."""
        self.used_bytes -= size
        self.budget.used_bytes -= size

    def begin_receiving(
        self, on_revoke: Callable[[], None], now: float
    ) -> None:
        """Lets the body, which is being received, give way to others.

        Args:
            on_revoke: Called when it has to; it must end the reception.
            now: Monotonic time in seconds.
        """
        self._on_revoke = on_revoke
        self.progressed_at = now
        self.budget._receiving[self] = None

    def end_receiving(self) -> None:
        """Keeps what was received until the end of the request."""
        if self._on_revoke is not None:
            self._on_revoke = None
            self.budget._receiving.pop(self, None)

    def revoke(self) -> None:
        """Releases all bytes and ends the reception of the body."""
        on_revoke = self._on_revoke
        self.is_revoked = True
        self.close()
        if on_revoke is not None:
            on_revoke()

    def close(self) -> None:
        """Releases all bytes."""
        self.end_receiving()
        self.release(self.used_bytes)
