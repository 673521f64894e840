"""States of the other instances, as one instance keeps them."""

import dataclasses

import msgspec

from chivelb_core.membership import messages

# At the same incarnation a status replaces those with a lower precedence.
STATUS_PRECEDENCE = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}


@dataclasses.dataclass(slots=True)
class MemberState:
    """Local state of another instance.

    Attributes:
        member: Newest known state.
        changed_at: Monotonic time of the newest change of status, in seconds.
        version: Highest document version that it has reported.
        confirming: Whether this instance has pinged it since it became
            suspect.
    """

    member: messages.Member
    changed_at: float
    version: int = 0
    confirming: bool = False


def replace_member(member: messages.Member, **changes) -> messages.Member:
    """Returns a copy of a member with some attributes changed."""
    return msgspec.structs.replace(member, **changes)


def supersedes(update: messages.Member, known: messages.Member) -> bool:
    """Returns whether an update replaces the known state of the same member."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATUS_PRECEDENCE[update.status] > STATUS_PRECEDENCE[known.status]
