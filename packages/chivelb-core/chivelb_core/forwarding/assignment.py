"""Assignment of sources and reports to instances."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from chivelb_core.forwarding import choice

# In a smaller zone each instance reports its own load to the other zones.
MIN_REPORTED_ZONE_SIZE = 8
# Two, so that the reports go on while one of them is silent.
ZONE_REPORTERS = 2


def zone_reporters(zone: str, instances: Sequence[str]) -> list[str]:
    """Returns the instances that report the load of a whole zone.

    All instances that know the same members choose the same ones.

    Args:
        zone: Name of the availability zone.
        instances: Names of its live instances that place calls.

    Returns:
        Their names; empty if each instance reports its own load.
    """
    if len(instances) < MIN_REPORTED_ZONE_SIZE:
        return []
    return choice.rank_by_rendezvous(zone, instances)[:ZONE_REPORTERS]


def load_owners(
    identity: str, zone: str, instances_by_zone: Mapping[str, Sequence[str]]
) -> list[str]:
    """Ranks the instances that may own the load of a target.

    The owner is told of all requests to the target, and tells the others. It
    is in the zone of the target, where most requests to it come from; a zone
    without instances leaves this to all others.

    Args:
        identity: Identity of the target.
        zone: Availability zone of the target.
        instances_by_zone: Live instances that place calls, by zone.

    Returns:
        Their names, the owner first. All instances that know the same members
        compute the same order.

    Example:
        >>> load_owners("t", "z1", {"z1": ["a"], "z2": ["b", "c"]})
        ['a']
    """
    names = instances_by_zone.get(zone) or [
        name for names in instances_by_zone.values() for name in names
    ]
    return choice.rank_by_rendezvous(identity, names)


def assign_evenly(
    keys: Iterable[str], instances: Sequence[str]
) -> dict[str, str]:
    """Assigns each key to an instance, to each about the same number.

    A key goes to the instance that ranks first for it by rendezvous hashing
    and has fewer keys than its even share. All instances that know the same
    keys and instances compute the same assignment, and a change of either
    moves few keys.

    Args:
        keys: Keys to assign, such as the addresses of sources.
        instances: Names of the instances.

    Returns:
        The instance of each key; empty without instances.

    Example:
        >>> sorted(assign_evenly(["a", "b"], ["i1", "i2"]).values())
        ['i1', 'i2']
    """
    ordered = sorted(keys)
    if not instances:
        return {}
    share = math.ceil(len(ordered) / len(instances))
    counts = dict.fromkeys(instances, 0)
    assigned = {}
    for key in ordered:
        ranking = choice.rank_by_rendezvous(key, instances)
        chosen = next(name for name in ranking if counts[name] < share)
        counts[chosen] += 1
        assigned[key] = chosen
    return assigned
