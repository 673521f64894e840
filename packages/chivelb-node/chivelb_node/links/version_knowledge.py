"""What is proved about the software versions that served within a time.

An instance that stood still, or was cut from others, does not know the versions
that joined meanwhile, and can't tell by itself. Targets announce themselves to
control instances, which tell all others: what a majority of them knows, asked
after a stream was taken up, covers the time in which it began.
"""

from collections.abc import Iterable
import dataclasses
import math

from chivelb_core.forwarding import stream_origins
from chivelb_core.membership import members as members_lib
from chivelb_core.membership import swim as swim_lib

from chivelb_node.wire import messages

# A control instance that is down for longer may have been replaced; the initial
# ones count for the majority all the same.
REPLACED_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class VersionKnowledge:
    """What instances know of the versions that served within a time.

    Attributes:
        origins: Services and versions that served, as far as known.
        needed: Number of witnesses that must have watched all of that time.
        watched_by: Witnesses that have.
    """

    origins: set[stream_origins.StreamOrigin]
    needed: float
    watched_by: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether no other version can have served."""
        return len(self.watched_by) >= self.needed

    @property
    def is_certain(self) -> bool:
        """Whether a stream can have one origin at most."""
        return self.is_complete and len(self.origins) <= 1

    def add(
        self, peer: str, reply: messages.StreamOriginReply, *, is_witness: bool
    ) -> None:
        """Adds what another instance knows."""
        if is_witness and reply.has_watched:
            self.watched_by.add(peer)
        self.origins.update(
            stream_origins.StreamOrigin(each.service, version)
            for each in reply.seen
            for version in each.versions
        )


def witnesses(swim: swim_lib.Swim, now: float) -> list[str]:
    """Returns the instances to which targets announce themselves.

    Args:
        swim: Membership.
        now: Monotonic time in seconds.

    Returns:
        Names of the region's control instances, or of all peers if it has
        none. Those that have been down for a short time are included.
    """
    control = [
        name
        for name, state in _control_members(swim)
        if state.member.status != "dead"
        or now - state.changed_at < REPLACED_AFTER_S
    ]
    if control or any(_control_members(swim)):
        return control
    return swim.live_members(swim.local_member.region)


def needed_witnesses(
    swim: swim_lib.Swim, initial: Iterable[str], now: float
) -> float:
    """Returns how many witnesses are a majority.

    Args:
        swim: Membership.
        initial: Names of the initial control instances.
        now: Monotonic time in seconds.

    Returns:
        The number; infinite if none of the known control instances can be
        asked, and 0 for an instance without any others.
    """
    counted = len(witnesses(swim, now))
    known = {name for name, _ in _control_members(swim)}
    if not counted:
        return math.inf if known else 0
    initial_count = len(known.intersection(initial))
    return max(counted, initial_count) // 2 + 1


def _control_members(
    swim: swim_lib.Swim,
) -> Iterable[tuple[str, members_lib.MemberState]]:
    region = swim.local_member.region
    for name, state in swim.members.items():
        member = state.member
        if member.anchor and member.region == region:
            if member.status != "left":
                yield name, state
