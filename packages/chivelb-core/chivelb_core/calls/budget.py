"""Retry budgets: bounds on retries relative to the number of requests.

``TokenBucketBudget`` bounds the retries of one instance, over all services,
for requests that name a service. ``WindowBudget`` bounds the retries of one
service, over all instances, for requests matched by a route.
"""

import collections
import dataclasses
import math


class TokenBucketBudget:
    """Token bucket that first attempts fill and retries drain.

    Attributes:
        tokens: Available tokens; a retry costs one.
        ratio: Tokens that each first attempt adds.
        max_tokens: Capacity of the bucket.
    """

    __slots__ = ("tokens", "ratio", "max_tokens")

    def __init__(self, ratio: float = 0.1, max_tokens: float = 20.0) -> None:
        """Creates a full budget.

        Args:
            ratio: Tokens that each first attempt adds.
            max_tokens: Capacity of the bucket.
        """
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = max_tokens

    def record_request(self) -> None:
        """Records a first attempt."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spends a token on a retry; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryLimits:
    """Limits on the retries of all instances together.

    Retries are all attempts of a call after its first.

    Attributes:
        ratio: Retries per request in a window.
        slack: Retries that are allowed in each window in addition.
        window_s: Length of the sliding window, in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Creates the limits."""
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


@dataclasses.dataclass(slots=True)
class WindowBucket:
    """Counts of one subinterval of the sliding window.

    Attributes:
        index: Index of the subinterval since time 0.
        requests: Number of requests.
        retries: Number of retries.
    """

    index: int
    requests: int = 0
    retries: int = 0


class WindowBudget:
    """This instance's retry budget for one service.

    Invariant: in each window, the retries stay within the ratio of this
    instance's own requests plus an equal share of the slack, so that all
    instances together stay within the limit without coordination.

    Attributes:
        limits: Limits for all instances together.
        buckets: Counts of the window's subintervals, oldest first.
    """

    __slots__ = ("limits", "buckets")

    BUCKETS_PER_WINDOW = 20

    def __init__(self, limits: RetryLimits) -> None:
        """Creates an unspent budget."""
        self.limits = limits
        self.buckets: collections.deque[WindowBucket] = collections.deque()

    def record_request(self, now: float) -> None:
        """Records a request."""
        self._current_bucket(now).requests += 1

    def may_spend(self, now: float, instances: int) -> bool:
        """Returns whether the budget allows another retry now.

        Args:
            now: Monotonic time in seconds.
            instances: Number of instances that share the limit.
        """
        self._current_bucket(now)
        requests = sum(bucket.requests for bucket in self.buckets)
        retries = sum(bucket.retries for bucket in self.buckets)
        slack_share = math.floor(self.limits.slack / max(1, instances))
        return retries + 1 <= self.limits.ratio * requests + slack_share

    def spend(self, now: float, instances: int) -> bool:
        """Records a retry; returns False if the budget does not allow it."""
        if not self.may_spend(now, instances):
            return False
        self._current_bucket(now).retries += 1
        return True

    def _current_bucket(self, now: float) -> WindowBucket:
        index = math.floor(now / self.limits.window_s * self.BUCKETS_PER_WINDOW)
        # One bucket more than a window: the oldest is only partly in it.
        oldest_index = index - self.BUCKETS_PER_WINDOW
        while self.buckets and self.buckets[0].index < oldest_index:
            self.buckets.popleft()
        if not self.buckets or self.buckets[-1].index != index:
            self.buckets.append(WindowBucket(index))
        return self.buckets[-1]
