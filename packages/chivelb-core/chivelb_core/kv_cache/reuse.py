"""Probability that a prompt is requested again.

A visit is a request for a prompt, including the first one. The estimate is
based on the intervals between visits of the same prompt in the same workspace.
"""

import collections
import dataclasses
import math

FIRST_BUCKET_WIDTH_S = 1.0
BUCKET_COUNT = 24
# Prior of the probability, as a number of repeated visits among a number of
# visits. It is added to the counts.
PRIOR_REPEATS = 0.3
PRIOR_VISITS = 1.0
# Number of visits at which the counts are halved.
DECAY_THRESHOLD_VISITS = 4_000.0
MAX_PROMPTS = 50_000


def interval_bucket(interval_s: float) -> int:
    """Returns the bucket of an interval; bucket bounds double each time."""
    if interval_s < FIRST_BUCKET_WIDTH_S:
        return 0
    return min(
        BUCKET_COUNT - 1, 1 + int(math.log2(interval_s / FIRST_BUCKET_WIDTH_S))
    )


@dataclasses.dataclass(slots=True)
class IntervalHistogram:
    """Histogram of the intervals between visits in a workspace.

    Attributes:
        visits: Number of visits, both first and repeated ones. It and the
            buckets are halved at ``DECAY_THRESHOLD_VISITS``, so that recent
            visits weigh more.
        interval_counts: Number of repeated visits by bucket of the interval
            since the previous visit.
    """

    visits: float = 0.0
    interval_counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKET_COUNT
    )

    def add_visit(self, interval_s: float | None) -> None:
        """Counts a visit, with its interval if the prompt is known."""
        self.visits += 1
        if interval_s is not None:
            self.interval_counts[interval_bucket(interval_s)] += 1
        if self.visits > DECAY_THRESHOLD_VISITS:
            self.visits /= 2
            self.interval_counts = [count / 2 for count in self.interval_counts]

    def reuse_probability(
        self, elapsed_s: float = 0.0, horizon_s: float = math.inf
    ) -> float:
        """Returns the probability of another visit within a horizon.

        Args:
            elapsed_s: Time since the last visit, in seconds.
            horizon_s: Time from now within which a visit counts, in seconds.

        Returns:
            Probability from 0 to 1; a prior dominates while data is scarce.
        """
        shorter = self._count_shorter(elapsed_s)
        repeats = self._count_shorter(elapsed_s + horizon_s) - shorter
        remaining = max(self.visits - shorter, repeats)
        return (repeats + PRIOR_REPEATS) / (remaining + PRIOR_VISITS)

    def _count_shorter(self, interval_s: float) -> float:
        """Returns the number of shorter intervals, interpolating linearly."""
        if interval_s == math.inf:
            return sum(self.interval_counts)
        bucket = interval_bucket(interval_s)
        start = FIRST_BUCKET_WIDTH_S * 2 ** (bucket - 1) if bucket else 0.0
        width = max(start, FIRST_BUCKET_WIDTH_S)
        fraction = min(1.0, (interval_s - start) / width)
        return (
            sum(self.interval_counts[:bucket])
            + self.interval_counts[bucket] * fraction
        )


class ReuseModel:
    """Model of repeated visits of prompts, by workspace.

    Attributes:
        workspaces: Histogram of the intervals by workspace tag; see
            ``kv_cache.messages.Lookup``.
        last_visits: Monotonic time of the last visit in seconds, by the key of
            the prompt's last block; oldest first.
    """

    __slots__ = ("workspaces", "last_visits", "max_prompts")

    def __init__(self, max_prompts: int = MAX_PROMPTS) -> None:
        """Creates a model without data.

        Args:
            max_prompts: Maximum number of prompts whose last visit is stored.
        """
        self.workspaces: dict[str, IntervalHistogram] = {}
        self.last_visits: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.max_prompts = max_prompts

    def visit(
        self, workspace: str, keys: list[str], now: float
    ) -> float | None:
        """Counts a visit.

        A prompt may have grown since its previous visit, so the last block
        of that visit is searched for in the second half of the prompt.

        Args:
            workspace: Tag of the workspace.
            keys: Keys of the prompt's blocks, in order; at least one.
            now: Monotonic time in seconds.

        Returns:
            Seconds since the previous visit, or None.
        """
        interval_s = None
        for position in range(len(keys) - 1, len(keys) // 2 - 1, -1):
            previous_visit_at = self.last_visits.pop(keys[position], None)
            if previous_visit_at is not None:
                interval_s = now - previous_visit_at
                break
        self.last_visits[keys[-1]] = now
        if len(self.last_visits) > self.max_prompts:
            self.last_visits.popitem(last=False)
        self.histogram(workspace).add_visit(interval_s)
        return interval_s

    def histogram(self, workspace: str) -> IntervalHistogram:
        """Returns the histogram of a workspace, creating it if needed."""
        known = self.workspaces.get(workspace)
        if known is None:
            known = self.workspaces[workspace] = IntervalHistogram()
        return known

    def reuse_probability(
        self,
        workspace: str,
        elapsed_s: float = 0.0,
        horizon_s: float = math.inf,
    ) -> float:
        """Returns the probability of another visit of a workspace's prompt.

        Args:
            workspace: Tag of the workspace.
            elapsed_s: Time since the last visit, in seconds.
            horizon_s: Time from now within which a visit counts, in seconds.
        """
        return self.histogram(workspace).reuse_probability(elapsed_s, horizon_s)
