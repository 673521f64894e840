"""Retry budget: retries are a bounded share of first attempts."""


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Attributes:
        tokens: Retries that may be spent now.
    """

    __slots__ = ("tokens", "ratio", "max_tokens")

    def __init__(self, ratio: float = 0.1, max_tokens: float = 20.0) -> None:
        """Creates a full budget.

        Args:
            ratio: Retries that each first attempt allows.
            max_tokens: Most retries that can be saved up.
        """
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def note_first(self) -> None:
        """Counts a first attempt."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes one retry from the budget; False when it is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
