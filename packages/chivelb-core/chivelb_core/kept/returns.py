"""Chance that a prompt returns, learned from the gaps of its workspace."""

import collections
import dataclasses
import math

FIRST_BUCKET_S = 1.0
BUCKETS = 24
PRIOR_RETURNS = 0.3
PRIOR_PROMPTS = 1.0
HALVE_ABOVE = 4_000.0
MAX_PROMPTS = 50_000


def gap_bucket(gap_s: float) -> int:
    """Returns the bucket of a gap; each bucket doubles the one before."""
    if gap_s < FIRST_BUCKET_S:
        return 0
    return min(BUCKETS - 1, 1 + int(math.log2(gap_s / FIRST_BUCKET_S)))


@dataclasses.dataclass(slots=True)
class GapHistogram:
    """Gaps of one workspace.

    Attributes:
        prompts: Prompts that could have returned, returned or not.
        gaps: Returns by the bucket of their gap.
    """

    prompts: float = 0.0
    gaps: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKETS
    )

    def note(self, gap_s: float | None) -> None:
        """Counts a visit, and its gap if the prompt came before."""
        self.prompts += 1
        if gap_s is not None:
            self.gaps[gap_bucket(gap_s)] += 1
        if self.prompts > HALVE_ABOVE:
            self.prompts /= 2
            self.gaps = [count / 2 for count in self.gaps]

    def chance(
        self, elapsed_s: float = 0.0, horizon_s: float = math.inf
    ) -> float:
        """Returns the chance that a prompt returns within a horizon.

        Args:
            elapsed_s: Time since its last visit.
            horizon_s: Time from now within which a return counts.

        Returns:
            A share from 0 to 1; a prior counts while little is known.
        """
        before = self._count_below(elapsed_s)
        within = self._count_below(elapsed_s + horizon_s) - before
        left = max(self.prompts - before, within)
        return (within + PRIOR_RETURNS) / (left + PRIOR_PROMPTS)

    def _count_below(self, gap_s: float) -> float:
        """Returns how many gaps are shorter, within a bucket by its share."""
        if gap_s == math.inf:
            return sum(self.gaps)
        bucket = gap_bucket(gap_s)
        start = FIRST_BUCKET_S * 2 ** (bucket - 1) if bucket else 0.0
        width = max(start, FIRST_BUCKET_S)
        share = min(1.0, (gap_s - start) / width)
        return sum(self.gaps[:bucket]) + self.gaps[bucket] * share


class ReturnModel:
    """Visits of prompts by workspace.

    Attributes:
        workspaces: Gaps by workspace tag.
        last_seen: Time of the last visit by the key of a prompt's last
            block, oldest first.
    """

    __slots__ = ("workspaces", "last_seen", "max_prompts")

    def __init__(self, max_prompts: int = MAX_PROMPTS) -> None:
        """Creates a model that knows nothing.

        Args:
            max_prompts: Most prompts whose last visit is remembered.
        """
        self.workspaces: dict[str, GapHistogram] = {}
        self.last_seen: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.max_prompts = max_prompts

    def visit(
        self, workspace: str, keys: list[str], now: float
    ) -> float | None:
        """Counts a visit.

        A prompt that has grown since its last visit still has that visit's
        last block among its later half.

        Args:
            workspace: Tag of the workspace.
            keys: Keys of the prompt's blocks, in order; at least one.
            now: Time in seconds.

        Returns:
            The gap since the visit before in seconds, or None.
        """
        gap = None
        for position in range(len(keys) - 1, len(keys) // 2 - 1, -1):
            before = self.last_seen.pop(keys[position], None)
            if before is not None:
                gap = now - before
                break
        self.last_seen[keys[-1]] = now
        if len(self.last_seen) > self.max_prompts:
            self.last_seen.popitem(last=False)
        self.histogram(workspace).note(gap)
        return gap

    def histogram(self, workspace: str) -> GapHistogram:
        """Returns the gaps of a workspace, created when it is new."""
        found = self.workspaces.get(workspace)
        if found is None:
            found = self.workspaces[workspace] = GapHistogram()
        return found

    def chance(
        self,
        workspace: str,
        elapsed_s: float = 0.0,
        horizon_s: float = math.inf,
    ) -> float:
        """Returns the chance that a workspace's prompt still returns."""
        return self.histogram(workspace).chance(elapsed_s, horizon_s)
