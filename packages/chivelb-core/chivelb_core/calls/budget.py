"""Retry budgets: further attempts are a bounded share of requests."""

import collections
import dataclasses
import math


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


class BudgetTerms:
    """What all instances together may spend on further attempts.

    Attributes:
        ratio: Further attempts for each request in a window.
        slack: Further attempts that are always allowed in a window.
        window_s: Length of the sliding window, in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Creates terms."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


@dataclasses.dataclass(slots=True)
class Slot:
    """A stretch of the window.

    Attributes:
        number: Position of the stretch in time.
        first: Requests in it.
        further: Further attempts in it.
    """

    number: int
    first: int = 0
    further: int = 0


class WindowBudget:
    """This instance's share of the further attempts at one service.

    Rule: in each window, further attempts stay within the ratio of this
    instance's own requests and an equal share of the slack, so that all
    instances together stay within the terms without talking.

    Attributes:
        terms: What all may spend together.
        slots: Stretches of the window, oldest first.
    """

    __slots__ = ("terms", "slots")

    SLOTS_PER_WINDOW = 20

    def __init__(self, terms: BudgetTerms) -> None:
        """Creates a budget of which nothing is spent."""
        self.terms = terms
        self.slots: collections.deque[Slot] = collections.deque()

    def note_first(self, now: float) -> None:
        """Counts a caller's request."""
        self._slot(now).first += 1

    def may_spend(self, now: float, instances: int) -> bool:
        """Tells whether a further attempt may be made now.

        Args:
            now: Monotonic time in seconds.
            instances: Number of instances that share the terms.
        """
        self._slot(now)
        first = sum(slot.first for slot in self.slots)
        further = sum(slot.further for slot in self.slots)
        share = math.floor(self.terms.slack / max(1, instances))
        return further + 1 <= self.terms.ratio * first + share

    def spend(self, now: float, instances: int) -> bool:
        """Takes one further attempt; False when there is none left."""
        if not self.may_spend(now, instances):
            return False
        self._slot(now).further += 1
        return True

    def _slot(self, now: float) -> Slot:
        number = math.floor(now / self.terms.window_s * self.SLOTS_PER_WINDOW)
        # One stretch more than the window holds: the oldest is partly in it.
        oldest = number - self.SLOTS_PER_WINDOW
        while self.slots and self.slots[0].number < oldest:
            self.slots.popleft()
        if not self.slots or self.slots[-1].number != number:
            self.slots.append(Slot(number))
        return self.slots[-1]
