"""How a learner replaces the member that its instance was before."""

import msgspec

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import voter as voter_lib

CATCH_UP_SLACK = 50


def admit_learner(
    group: group_lib.Group, member_id: str, name: str
) -> group_lib.Group:
    """Returns a group with an instance's new member as a learner.

    Args:
        group: The group in force.
        member_id: Id of the new member.
        name: Name of its instance.
    """
    for member in group.find_by_name(name):
        if not member.votes:
            group = group.without(member.member_id)
    return group.with_member(group_lib.Member(member_id, name, False))


def plan_next_step(voter: voter_lib.Voter) -> group_lib.Group | None:
    """Returns the next group on the way of a caught-up learner, or None.

    The old member goes first and the learner votes after that: one vote
    changes at a time, and the quorum never needs the lost disk.

    Args:
        voter: The leading member.
    """
    for learner in voter.group.members.values():
        if learner.votes:
            continue
        progress = voter.progress.get(learner.member_id)
        if progress is None or progress.match_index < voter.commit_index:
            continue
        if progress.match_index + CATCH_UP_SLACK < voter.log.last_index:
            continue
        old = [m for m in voter.group.find_by_name(learner.name) if m.votes]
        if old:
            return voter.group.without(old[0].member_id)
        return voter.group.with_member(
            msgspec.structs.replace(learner, votes=True)
        )
    return None
