"""Who sends a new document version to whom.

Control instances learn a version from the replicated log and send it to the
entry instances, each of which has two of them as providers. Every instance
that puts a version in force announces its number to a few random peers, and
one that lacks the version pulls it. So the copies that an instance sends and
receives do not grow with the group, and an instance that the providers can't
reach learns of the version all the same.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib
import random

# Peers that an instance announces a version to. With 4, about 1 in 50 instances
# gets no announcement in a round, and each of those that do adds a round.
ANNOUNCEMENTS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """An instance that versions are sent to or pulled from.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        version: Document version that it is known to have.
        is_alive: Whether it is not known to be dead or to have left.
    """

    name: str
    zone: str
    version: int = 0
    is_alive: bool = True


def receivers(
    sender: str, control_instances: Sequence[Peer], entries: Iterable[Peer]
) -> list[str]:
    """Returns the entry instances that a control instance sends versions to.

    Args:
        sender: Name of the control instance.
        control_instances: Live control instances, including the sender.
        entries: Live entry instances.
    """
    return [
        entry.name
        for entry in entries
        if sender in _providers(control_instances, entry)
    ]


def _providers(
    control_instances: Sequence[Peer], entry: Peer
) -> tuple[str, ...]:
    """Returns the providers of an entry instance.

    One is of its zone and one of another, so that the loss of a zone's control
    instances, or of its links to other zones, leaves it one.
    """
    in_zone = [peer for peer in control_instances if peer.zone == entry.zone]
    others = [peer for peer in control_instances if peer.zone != entry.zone]
    return (
        *_first_ranked(in_zone, entry.name),
        *_first_ranked(others, entry.name),
    )


def _first_ranked(peers: Sequence[Peer], entry: str) -> list[str]:
    """Returns the name of the peer that ranks first, if there is one."""
    names = [peer.name for peer in peers]
    return [min(names, key=lambda name: _rank(entry, name))] if names else []


def choose_announced(
    peers: Sequence[str], rng: random.Random, *, except_for: str = ""
) -> list[str]:
    """Returns the peers that a version in force is announced to.

    Args:
        peers: Names of all live peers.
        rng: Source of randomness.
        except_for: Peer that the version came from.
    """
    others = [name for name in peers if name != except_for]
    return rng.sample(others, min(ANNOUNCEMENTS, len(others)))


def pull_order(
    peers: Iterable[Peer], version: int, zone: str, rng: random.Random
) -> list[str]:
    """Returns the peers to pull a newer version from, the best one first.

    Live peers come before others, then those of the same zone. Peers that are
    not alive are left out unless no other is ahead.

    Args:
        peers: All peers.
        version: Version of the instance that pulls.
        zone: Its availability zone.
        rng: Source of randomness, which spreads the pulls of many instances.
    """
    ahead = [peer for peer in peers if peer.version > version]
    alive = [peer for peer in ahead if peer.is_alive]
    ordered = sorted(
        alive or ahead, key=lambda peer: (peer.zone != zone, rng.random())
    )
    return [peer.name for peer in ordered]


def _rank(entry: str, control_instance: str) -> bytes:
    text = f"{entry}/{control_instance}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
