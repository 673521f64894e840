"""Since when newer weight versions are requested."""

import math

# Older ones of a model are forgotten.
MAX_VERSIONS_PER_MODEL = 64


class RequestedVersions:
    """Requested weight version numbers and when this instance learned of them.

    Attributes:
        learned_at: Monotonic time in seconds, by version and by model.
    """

    __slots__ = ("learned_at",)

    def __init__(self) -> None:
        """Creates an object without requested versions."""
        self.learned_at: dict[str, dict[int, float]] = {}

    def update(self, weights: dict[str, int], now: float) -> None:
        """Records the newest requested version of each model.

        Args:
            weights: Version numbers by model.
            now: Monotonic time in seconds.
        """
        for model, version in weights.items():
            learned_at = self.learned_at.setdefault(model, {})
            learned_at.setdefault(version, now)
            if len(learned_at) > MAX_VERSIONS_PER_MODEL:
                del learned_at[min(learned_at)]

    def newer_since(self, model: str, version: int) -> float:
        """Returns since when a version newer than the given one is requested.

        Returns:
            Monotonic time in seconds; infinite if none is.
        """
        return min(
            (
                learned_at
                for newer, learned_at in self.learned_at.get(model, {}).items()
                if newer > version
            ),
            default=math.inf,
        )
