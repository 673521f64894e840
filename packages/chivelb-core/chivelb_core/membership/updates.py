"""Choice of the member states that a datagram carries (piggybacking).

Each change is sent a limited number of times. A datagram with space left
repeats members that have not changed, in a rotation over all of them.
"""

import math
import random

from chivelb_core.membership import members as members_lib
from chivelb_core.membership import messages

MAX_UPDATES_PER_DATAGRAM = 12
# A datagram with fewer updates also carries members that have not changed.
REFRESHED_PER_DATAGRAM = 5
RETRANSMIT_FACTOR = 6


class UpdateQueue:
    """Updates that are still to be sent, and the rotation over all members.

    Attributes:
        send_counts: How often the newest update of a member was sent, by name;
            members whose update was sent often enough are missing.
    """

    __slots__ = ("send_counts", "_members", "_rng", "_refresh_order")

    def __init__(
        self,
        local_name: str,
        members: dict[str, members_lib.MemberState],
        rng: random.Random,
    ) -> None:
        """Creates a queue with the update of the local member.

        Args:
            local_name: Name of the instance that sends the datagrams.
            members: States of the other instances by name, kept by the caller.
            rng: Source of randomness.
        """
        self.send_counts: dict[str, int] = {local_name: 0}
        self._members = members
        self._rng = rng
        self._refresh_order: list[str] = []

    def schedule(self, name: str) -> None:
        """Sends the state of a member again as often as a new update."""
        self.send_counts[name] = 0

    def remove(self, name: str) -> None:
        """Stops sending the update of a member, if there is one."""
        self.send_counts.pop(name, None)

    def pick(
        self, receiver: str, local_member: messages.Member
    ) -> list[messages.Member]:
        """Returns the updates of one datagram, and counts them as sent.

        Args:
            receiver: Name of the instance that gets the datagram.
            local_member: State of the instance that sends it.
        """

        def get_member(name: str) -> messages.Member:
            if name == local_member.name:
                return local_member
            return self._members[name].member

        max_sends = RETRANSMIT_FACTOR * math.ceil(
            log_group_size(len(self._members))
        )
        names = sorted(
            self.send_counts,
            key=lambda name: (
                # The receiver must learn its own status to refute it, and
                # others that of this instance if it has refuted one.
                name not in (receiver, local_member.name),
                self.send_counts[name],
                -members_lib.STATUS_PRECEDENCE[get_member(name).status],
            ),
        )[:MAX_UPDATES_PER_DATAGRAM]
        picked = []
        for name in names:
            picked.append(get_member(name))
            self.send_counts[name] += 1
            if (
                self.send_counts[name] >= max_sends
                and name != local_member.name
            ):
                del self.send_counts[name]
        picked += self._next_refreshed(REFRESHED_PER_DATAGRAM - len(picked))
        return picked

    def _next_refreshed(self, count: int) -> list[messages.Member]:
        """Returns the next members in a rotation over all of them.

        An update is sent a limited number of times and may miss a receiver;
        the rotation repairs that.
        """
        refreshed = []
        while len(refreshed) < min(count, len(self._members)):
            if not self._refresh_order:
                self._refresh_order = list(self._members)
                self._rng.shuffle(self._refresh_order)
            name = self._refresh_order.pop()
            if name in self._members:
                refreshed.append(self._members[name].member)
        return refreshed


def log_group_size(other_count: int) -> float:
    """Returns the decimal logarithm of the size of a group plus one.

    The group is the other instances and this one. One more is counted so that
    the logarithm is above zero for an instance without others, which must also
    send its updates.

    Args:
        other_count: Number of the other instances.
    """
    group_size = other_count + 1
    return math.log10(group_size + 1)
