"""The control group: which members vote and which learn."""

import msgspec

from chivelb_core import codes


class Member(msgspec.Struct, rename="camel", frozen=True):
    """A member of the control group.

    Attributes:
        member_id: Id under which it votes; new after a lost disk.
        name: Name of its instance.
        votes: Whether it votes; a learner only receives entries.
    """

    member_id: str
    name: str
    votes: bool


class Group(msgspec.Struct, frozen=True):
    """Members by id; transformations return a new group.

    Attributes:
        members: The members.
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
        """Size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def is_quorum(self, ids: set[str] | frozenset[str]) -> bool:
        """Tells whether the ids have a majority of the voters."""
        return len(self.voters & ids) >= self.quorum

    def find_by_name(self, name: str) -> list[Member]:
        """Returns the members of an instance."""
        return [m for m in self.members.values() if m.name == name]

    def with_member(self, member: Member) -> "Group":
        """Returns a group with a member added or replaced."""
        return Group({**self.members, member.member_id: member})

    def without(self, member_id: str) -> "Group":
        """Returns a group without a member."""
        left = dict(self.members)
        left.pop(member_id, None)
        return Group(left)


def find_step_fault(old: Group, new: Group) -> codes.Fault | None:
    """Checks that a change of the group keeps majorities overlapping.

    Args:
        old: The group in force.
        new: The group asked for.

    Returns:
        A fault, or None when at most one voter differs.
    """
    differing = old.voters ^ new.voters
    if len(differing) > 1:
        return codes.Fault(
            codes.CHANGE_INVALID,
            f"changes the votes of {sorted(differing)}; one at a time",
        )
    if not new.voters:
        return codes.Fault(codes.CHANGE_INVALID, "leaves no voter")
    return None
