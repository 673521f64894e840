"""Changes of the group's members: admission, replacement and removal.

The leader keeps an odd number of voters, because one more tolerates no further
loss. A member beyond that stays a learner, as a standby that takes the place
of a voter once the leader has had no reply from it for some time, whether the
voter is gone for good or only unreachable. One that returns asks to join again
and becomes the standby.

No change leaves fewer voters than bear the loss of as many disks as the
settings allow, as far as the group has members: 2F + 1 voters for F disks. An
unreachable voter counts, because its disk may return. See
docs/design/consensus.md.
"""

import dataclasses

import msgspec

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import voter as voter_lib

MAX_CATCH_UP_LAG_ENTRIES = 50


@dataclasses.dataclass(slots=True)
class Survey:
    """What the leader observes of the other members.

    Attributes:
        ready: Learners that have caught up with the log, by id.
        settled: Those of them that the leader has sent to for some time.
        unreachable: Ids of voters without a reply for some time.
        discarded: Ids of learners without a reply for long.
    """

    ready: list[group_lib.Member]
    settled: list[group_lib.Member]
    unreachable: list[str]
    discarded: list[str]


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


def plan_membership_change(
    voter: voter_lib.Voter, now: float, *, fault_tolerance: int
) -> group_lib.Group | None:
    """Returns the next change of the group, or None if none is due.

    At most one voter is added or removed at a time. A voter whose instance
    has joined again under a new id has lost its disk: it is removed before its
    successor votes, so that the quorum never depends on the lost disk. The
    disk of a voter that is only unreachable may return: its standby votes
    before it is removed, so that the group bears the loss of as many disks as
    before in between.

    Args:
        voter: The leader.
        now: Monotonic time in seconds.
        fault_tolerance: Disks that may be lost at the same time.
    """
    survey = survey_members(voter, now)
    group = voter.group
    min_voters = min_voter_count(group, fault_tolerance)
    previous = _find_previous(group, survey.ready)
    if previous is not None:
        return group.without(previous)
    if survey.unreachable and _is_removal_due(group, survey, min_voters):
        return group.without(survey.unreachable[0])
    if survey.ready and _is_promotion_due(group, survey, min_voters):
        return group.with_member(
            msgspec.structs.replace(survey.ready[0], votes=True)
        )
    if survey.discarded:
        return group.without(survey.discarded[0])
    return None


def min_voter_count(group: group_lib.Group, fault_tolerance: int) -> int:
    """Returns how many voters a removal must leave.

    A majority of 2F + 1 voters is left without any F of them, and a command
    that it has acknowledged stands on more than F disks. A group with fewer
    members keeps the largest odd number of voters that it can have.

    Args:
        group: The current group.
        fault_tolerance: Disks that may be lost at the same time.
    """
    largest_odd_count = len(group.members) - 1 + len(group.members) % 2
    return min(2 * fault_tolerance + 1, largest_odd_count)


def survey_members(voter: voter_lib.Voter, now: float) -> Survey:
    """Returns which members are ready to vote, unreachable or discarded."""
    survey = Survey([], [], [], [])
    timing = voter.timing
    for member_id, progress in sorted(voter.progress.items()):
        member = voter.group.members[member_id]
        silent_s = progress.silent_s(now)
        if member.votes:
            if silent_s >= timing.replace_after_s:
                survey.unreachable.append(member_id)
        elif silent_s >= timing.discard_after_s:
            survey.discarded.append(member_id)
        elif silent_s < timing.election_timeout_s and _has_caught_up(
            voter, progress.match_index
        ):
            survey.ready.append(member)
            if now - progress.tracked_since >= timing.replace_after_s:
                survey.settled.append(member)
    return survey


def _has_caught_up(voter: voter_lib.Voter, match_index: int) -> bool:
    lag = voter.log.last_index - match_index
    return match_index >= voter.commit_index and lag <= MAX_CATCH_UP_LAG_ENTRIES


def _find_previous(
    group: group_lib.Group, ready: list[group_lib.Member]
) -> str | None:
    """Returns the voter that a learner of the same instance replaces."""
    for learner in ready:
        for member in group.find_by_name(learner.name):
            if member.votes:
                return member.member_id
    return None


def _is_promotion_due(
    group: group_lib.Group, survey: Survey, min_voters: int
) -> bool:
    """Returns whether a learner should become a voter.

    An even number of voters becomes odd at once. An odd number grows by one
    as the first step of an exchange, and by two, one after the other: at once
    if the group is too small, otherwise once the learners have settled.
    """
    count = len(group.voters)
    if count % 2 == 0 or survey.unreachable:
        return True
    if count < min_voters:
        return len(survey.ready) >= 2
    return len(survey.settled) >= 2


def _is_removal_due(
    group: group_lib.Group, survey: Survey, min_voters: int
) -> bool:
    """Returns whether an unreachable voter should be removed.

    Only if the removal lowers the quorum: at once if the number of voters is
    even, together with the removal of a second one if it is odd.
    """
    count = len(group.voters)
    removals = 1 if count % 2 == 0 else 2
    return len(survey.unreachable) >= removals and (
        count - removals >= min_voters
    )
