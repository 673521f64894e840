"""Subset of a service's targets that an instance prefers.

If every instance sent its calls to every target, the connections of an
instance would be too many to be used again before they time out, and each
target would be shared by instances that seldom hear of each other. An instance
therefore prefers the targets of its zone that rank first for it by rendezvous
hashing: no coordination is needed, and a target that comes or goes changes at
most one place in each subset.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import math

from chivelb_core import targets

MIN_SUBSET_SIZE = 12
# With fewer instances to a target, chance would leave some targets with far
# fewer instances than others.
INSTANCES_PER_TARGET = 8


def subset_size(target_count: int, instance_count: int) -> int:
    """Returns how many targets an instance prefers.

    Args:
        target_count: Number of targets to choose from.
        instance_count: Number of instances that choose from them.
    """
    balanced = INSTANCES_PER_TARGET * target_count / max(1, instance_count)
    return max(MIN_SUBSET_SIZE, math.ceil(balanced))


def preferred_targets(
    records: Sequence[targets.TargetRecord],
    *,
    instance: str,
    zone: str,
    instance_count: int,
) -> frozenset[str]:
    """Returns the identities of the targets that an instance prefers.

    Targets of other zones are included only if its own zone has too few.

    Args:
        records: The targets of a service.
        instance: Name of the instance.
        zone: Availability zone of the instance.
        instance_count: Number of entry instances of that zone.
    """
    in_zone = [record for record in records if record.zone == zone]
    size = subset_size(len(in_zone), instance_count)
    if len(in_zone) >= size:
        return frozenset(_first_ranked(in_zone, instance, size))
    others = [record for record in records if record.zone != zone]
    missing = size - len(in_zone)
    return frozenset(
        [record.identity for record in in_zone]
        + _first_ranked(others, instance, missing)
    )


def _first_ranked(
    records: Iterable[targets.TargetRecord], instance: str, size: int
) -> list[str]:
    identities = [record.identity for record in records]
    identities.sort(key=lambda identity: _rank(instance, identity))
    return identities[:size]


def _rank(instance: str, identity: str) -> bytes:
    text = f"{instance}/{identity}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
