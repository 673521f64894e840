"""Configuration of the control group: its voters and learners.

The control group is the Raft group of the instances that hold the durable
state.
"""

from collections.abc import Iterable

import msgspec

from chivelb_core import codes


class Member(msgspec.Struct, rename="camel", frozen=True):
    """Entry of one member in the configuration of the control group.

    The Raft state of a member is ``consensus.member.Member``; instances in
    SWIM are ``membership.messages.Member``.

    Attributes:
        member_id: Id in the Raft group; new after the instance lost its
            disk.
        name: Name of the instance.
        votes: Whether the member votes; a learner only receives entries.
    """

    member_id: str
    name: str
    votes: bool


class Group(msgspec.Struct, frozen=True):
    """Immutable configuration of the control group: its set of members.

    Attributes:
        members: Members by id.
    """

    members: dict[str, Member] = {}

    @property
    def voters(self) -> frozenset[str]:
        """Ids of the members that vote."""
        return frozenset(
            member_id
            for member_id, member in self.members.items()
            if member.votes
        )

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def is_quorum(self, ids: set[str] | frozenset[str]) -> bool:
        """Returns whether the ids include a majority of the voters."""
        return len(self.voters & ids) >= self.quorum

    def find_by_name(self, name: str) -> list[Member]:
        """Returns the members that belong to an instance."""
        return [m for m in self.members.values() if m.name == name]

    def with_member(self, member: Member) -> "Group":
        """Returns a copy with a member added or replaced."""
        return Group({**self.members, member.member_id: member})

    def without(self, member_id: str) -> "Group":
        """Returns a copy without a member."""
        remaining = dict(self.members)
        remaining.pop(member_id, None)
        return Group(remaining)


def validate_group_change(old: Group, new: Group) -> codes.ErrorDetail | None:
    """Checks that the majorities of the old and the new group overlap.

    This holds if at most one voter is added or removed (single-server
    membership change).

    Args:
        old: The current group.
        new: The requested group.

    Returns:
        An error, or None if the change is valid.
    """
    changed_voters = old.voters ^ new.voters
    if len(changed_voters) > 1:
        return codes.ErrorDetail(
            codes.CHANGE_INVALID,
            f"change adds or removes the voters {sorted(changed_voters)}; "
            "only one voter may change at a time",
        )
    if not new.voters:
        return codes.ErrorDetail(
            codes.CHANGE_INVALID,
            f"change leaves the group without voters: {sorted(new.members)}",
        )
    return None


def original_member_id(name: str) -> str:
    """Returns the member id of an instance in a new group."""
    return f"{name}/1"


def instance_name(member_id: str) -> str:
    """Returns the name of the instance that a member id belongs to."""
    return member_id.split("/")[0]


def initial_group(names: Iterable[str]) -> Group:
    """Returns a new group in which each instance votes.

    Args:
        names: Names of the instances.
    """
    members = {}
    for name in names:
        member_id = original_member_id(name)
        members[member_id] = Member(member_id, name, True)
    return Group(members)
