"""Budget in bytes for what the responses of targets buffer together.

Each response has limits of its own. While the others use little, a response may
buffer as much as these allow; otherwise it has an even share. So a single large
one always has room.
"""

# Share of the budget that the others may use before a response gets an even
# share.
UNSHARED_PART = 0.5
DEFAULT_LIMIT_BYTES = 16_777_216


class ResponseBudget:
    """Bytes that responses buffer, and how many one of them may.

    Attributes:
        limit_bytes: Bytes that the responses may buffer together. More are
            possible: the largest one, and the few that each may buffer however
            many there are.
        used_bytes: Bytes that they buffer.
        in_progress: Number of responses that are awaited or received.
    """

    __slots__ = ("limit_bytes", "used_bytes", "in_progress")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Creates an unused budget."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.in_progress = 0


class BufferedBytes:
    """Bytes that one response buffers in one place.

    Attributes:
        budget: The budget that they count towards.
        size: Number of bytes.
    """

    __slots__ = ("budget", "size")

    def __init__(self, budget: ResponseBudget) -> None:
        """Creates a record of no bytes."""
        self.budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Records how many bytes are buffered now."""
        self.budget.used_bytes += size - self.size
        self.size = size

    def allowance(self, most: int, least: int) -> int:
        """Returns how many bytes may be buffered.

        Args:
            most: Bytes that may be while the others use little.
            least: Bytes that may be in any case.
        """
        budget = self.budget
        others = budget.used_bytes - self.size
        if others <= budget.limit_bytes * UNSHARED_PART:
            return most
        even_share = budget.limit_bytes // max(1, budget.in_progress)
        return max(least, min(most, even_share))

    def exceeds(self, most: int, least: int) -> bool:
        """Returns whether more is buffered than may be."""
        return self.size > least and self.size > self.allowance(most, least)
