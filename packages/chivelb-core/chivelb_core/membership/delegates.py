"""Choice of the delegates, which the other regions know."""

import hashlib

DELEGATES_PER_REGION = 2


def choose_delegates(region: str, names: list[str]) -> list[str]:
    """Returns the delegates of a region.

    Delegates are the ``DELEGATES_PER_REGION`` candidates with the lowest hash
    of region and name, so that all instances that know the same candidates
    choose the same ones.

    Args:
        region: Name of the region.
        names: Names of the candidates.
    """
    ordered = sorted(names, key=lambda name: _digest(f"{region}/{name}"))
    return ordered[:DELEGATES_PER_REGION]


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
