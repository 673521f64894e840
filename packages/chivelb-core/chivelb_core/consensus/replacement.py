"""Replacement of a member that lost its disk, by way of a learner."""

import msgspec

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import voter as voter_lib

MAX_CATCH_UP_LAG_ENTRIES = 50


def admit_learner(
    group: group_lib.Group, member_id: str, name: str
) -> group_lib.Group:
    """Returns a group with the new member of an instance as a learner.

    Earlier learners of the same instance are removed.

    Args:
        group: The current group.
        member_id: Id of the new member.
        name: Name of the instance.
    """
    for member in group.find_by_name(name):
        if not member.votes:
            group = group.without(member.member_id)
    return group.with_member(group_lib.Member(member_id, name, False))


def plan_membership_change(voter: voter_lib.Voter) -> group_lib.Group | None:
    """Returns the next group change that promotes a learner, or None.

    Once a learner has caught up, the previous member of its instance is
    removed; the learner becomes a voter in a second change. Only one voter
    changes at a time, and the quorum never depends on the lost disk.

    Args:
        voter: The leader.
    """
    for learner in voter.group.members.values():
        if learner.votes:
            continue
        progress = voter.progress.get(learner.member_id)
        if progress is None or progress.match_index < voter.commit_index:
            continue
        if (
            progress.match_index + MAX_CATCH_UP_LAG_ENTRIES
            < voter.log.last_index
        ):
            continue
        previous = [
            m for m in voter.group.find_by_name(learner.name) if m.votes
        ]
        if previous:
            return voter.group.without(previous[0].member_id)
        return voter.group.with_member(
            msgspec.structs.replace(learner, votes=True)
        )
    return None
