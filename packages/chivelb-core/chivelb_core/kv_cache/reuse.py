"""Probability that a prompt is requested again.

It is estimated from the intervals between visits, which are requests for the
same prompt in the same workspace.
"""

import collections
import dataclasses
import math

FIRST_BUCKET_S = 1.0
BUCKET_COUNT = 24
PRIOR_REPEATS = 0.3
PRIOR_PROMPTS = 1.0
DECAY_THRESHOLD = 4_000.0
MAX_PROMPTS = 50_000


def interval_bucket(interval_s: float) -> int:
    """Returns the bucket of an interval; bucket bounds double each time."""
    if interval_s < FIRST_BUCKET_S:
        return 0
    return min(
        BUCKET_COUNT - 1, 1 + int(math.log2(interval_s / FIRST_BUCKET_S))
    )


@dataclasses.dataclass(slots=True)
class IntervalHistogram:
    """Histogram of the request intervals of a workspace.

    Attributes:
        prompts: Number of visits, followed by another one or not. It and the
            buckets are halved at ``DECAY_THRESHOLD``, so that recent visits
            weigh more.
        interval_counts: Number of repeated visits by bucket of the interval.
    """

    prompts: float = 0.0
    interval_counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKET_COUNT
    )

    def add_visit(self, interval_s: float | None) -> None:
        """Counts a visit, with its interval if the prompt is known."""
        self.prompts += 1
        if interval_s is not None:
            self.interval_counts[interval_bucket(interval_s)] += 1
        if self.prompts > DECAY_THRESHOLD:
            self.prompts /= 2
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
        remaining = max(self.prompts - shorter, repeats)
        return (repeats + PRIOR_REPEATS) / (remaining + PRIOR_PROMPTS)

    def _count_shorter(self, interval_s: float) -> float:
        """Returns the number of shorter intervals, interpolating linearly."""
        if interval_s == math.inf:
            return sum(self.interval_counts)
        bucket = interval_bucket(interval_s)
        start = FIRST_BUCKET_S * 2 ** (bucket - 1) if bucket else 0.0
        width = max(start, FIRST_BUCKET_S)
        fraction = min(1.0, (interval_s - start) / width)
        return (
            sum(self.interval_counts[:bucket])
            + self.interval_counts[bucket] * fraction
        )


class ReuseModel:
    """Model of repeated visits of prompts, by workspace.

    Attributes:
        workspaces: Histogram of the intervals by workspace tag.
        last_seen: Time of the last visit in seconds, by the key of the
            prompt's last block; oldest first.
    """

    __slots__ = ("workspaces", "last_seen", "max_prompts")

    def __init__(self, max_prompts: int = MAX_PROMPTS) -> None:
        """Creates a model without data.

        Args:
            max_prompts: Maximum number of prompts whose last visit is stored.
        """
        self.workspaces: dict[str, IntervalHistogram] = {}
        self.last_seen: collections.OrderedDict[str, float] = (
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
            now: Time in seconds.

        Returns:
            Seconds since the previous visit, or None.
        """
        interval_s = None
        for position in range(len(keys) - 1, len(keys) // 2 - 1, -1):
            previous_visit_at = self.last_seen.pop(keys[position], None)
            if previous_visit_at is not None:
                interval_s = now - previous_visit_at
                break
        self.last_seen[keys[-1]] = now
        if len(self.last_seen) > self.max_prompts:
            self.last_seen.popitem(last=False)
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
