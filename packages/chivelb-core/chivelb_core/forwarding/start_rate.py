"""Rates of starts and arrivals, from which expected waits follow."""

import collections

# Sliding window over which rates are estimated.
RATE_WINDOW_S = 2.0
# With fewer starts in the window the rate counts as unknown.
MIN_STARTS = 5
# Calls must have waited this long without a break before the starts since
# then tell how much the targets can take.
MIN_BUSY_S = 0.1


class RateWindow:
    """Sum of amounts within the last ``RATE_WINDOW_S``.

    Attributes:
        entries: Times and amounts, oldest first.
        total: Sum of the amounts.
    """

    __slots__ = ("entries", "total")

    def __init__(self) -> None:
        """Creates an empty window."""
        self.entries: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self.total = 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds an amount at a monotonic time in seconds."""
        self.entries.append((now, amount))
        self.total += amount
        self.discard_old(now)

    def discard_old(self, now: float) -> None:
        """Removes the amounts before the window."""
        while self.entries and self.entries[0][0] < now - RATE_WINDOW_S:
            self.total -= self.entries.popleft()[1]
        if not self.entries:
            self.total = 0.0

    def per_s(self, now: float) -> float:
        """Returns the sum a second."""
        self.discard_old(now)
        return self.total / RATE_WINDOW_S


class StartRate:
    """Rate at which calls of a service start at this instance.

    While no call waits, the rate of starts only tells how many calls came. The
    starts since calls began to wait count too, so that the first calls of a
    burst are not expected to wait as if the targets could take no more.

    Attributes:
        starts: Starts within the window, each with the amount 1.
        costs: Costs of the starts within the window that are known.
        arrivals: Costs of arrivals within the window, by priority.
        busy_since: Monotonic time since which calls have waited without a
            break, in seconds; None while none waits.
        busy_starts: Starts since then.
        last_start_at: Monotonic time of the newest start, in seconds; None
            before the first one.
    """

    __slots__ = (
        "starts",
        "costs",
        "arrivals",
        "busy_since",
        "busy_starts",
        "last_start_at",
    )

    def __init__(self) -> None:
        """Creates a rate without starts."""
        self.starts = RateWindow()
        self.costs = RateWindow()
        self.arrivals: dict[int, RateWindow] = {}
        self.busy_since: float | None = None
        self.busy_starts = 0
        self.last_start_at: float | None = None

    def record_arrival(self, now: float, priority: int, cost: float) -> None:
        """Records a call that came, whether or not it has to wait."""
        self.arrivals.setdefault(priority, RateWindow()).add(now, cost)

    def record_start(self, now: float, cost: float | None = None) -> None:
        """Records a start; ``cost`` is None if it is not known."""
        self.starts.add(now, 1.0)
        if cost is not None:
            self.costs.add(now, cost)
        self.last_start_at = now
        if self.busy_since is not None and now >= self.busy_since:
            self.busy_starts += 1

    def set_busy(self, busy_since: float | None) -> None:
        """Records since when calls wait; None if none waits."""
        self.busy_since = busy_since
        self.busy_starts = 0

    def interval_s(self, now: float, *, is_limited: bool = False) -> float:
        """Returns the estimated interval between starts, in seconds.

        The estimate is zero while there are too few recent starts, so that
        no call is refused for an unknown rate.

        Args:
            now: Monotonic time in seconds.
            is_limited: Whether few starts mean a low rate, because all targets
                limit it.
        """
        self.starts.discard_old(now)
        recent_starts = len(self.starts.entries)
        if is_limited:
            return RATE_WINDOW_S / max(1, recent_starts)
        if recent_starts < MIN_STARTS:
            return 0.0
        return min(RATE_WINDOW_S / recent_starts, self._busy_interval_s(now))

    def _busy_interval_s(self, now: float) -> float:
        if self.busy_since is None or self.busy_starts < MIN_STARTS:
            return float("inf")
        busy_s = now - self.busy_since
        if busy_s < MIN_BUSY_S or busy_s > RATE_WINDOW_S:
            return float("inf")
        return busy_s / self.busy_starts

    def mean_cost(self, now: float) -> float | None:
        """Returns the mean cost of the starts; None if it is not known."""
        self.costs.discard_old(now)
        if not self.costs.entries:
            return None
        return self.costs.total / len(self.costs.entries)

    def arrivals_per_s(self, priority: int, now: float) -> float:
        """Returns the cost of calls of higher priorities that come a second.

        Args:
            priority: Calls of this priority, and of lower ones, do not count.
            now: Monotonic time in seconds.
        """
        return sum(
            window.per_s(now)
            for other, window in self.arrivals.items()
            if other < priority
        )

    def arrivals_of(self, priority: int, now: float) -> float:
        """Returns the cost of the calls of a priority that come a second."""
        window = self.arrivals.get(priority)
        return 0.0 if window is None else window.per_s(now)
