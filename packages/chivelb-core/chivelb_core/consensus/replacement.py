"""Changes of the group's members: admission, replacement and removal.

The leader keeps an odd number of voters, because one more tolerates no further
loss. A member beyond that stays a learner, as a standby that takes the place
of a voter once the leader has had no reply from it for some time, whether the
voter is gone for good or only unreachable. One that returns asks to join again
and becomes the standby. See docs/design/consensus.md.
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
    voter: voter_lib.Voter, now: float
) -> group_lib.Group | None:
    """Returns the next change of the group, or None if none is due.

    At most one voter is added or removed at a time. Where a learner takes a
    voter's place, the voter is removed first, so that the quorum never depends
    on a lost disk.

    Args:
        voter: The leader.
        now: Monotonic time in seconds.
    """
    survey = survey_members(voter, now)
    group = voter.group
    previous = _find_previous(group, survey.ready)
    if previous is not None:
        return group.without(previous)
    if survey.ready and _is_promotion_due(group, survey):
        return group.with_member(
            msgspec.structs.replace(survey.ready[0], votes=True)
        )
    if survey.unreachable and _is_removal_due(group, survey):
        return group.without(survey.unreachable[0])
    if survey.discarded:
        return group.without(survey.discarded[0])
    return None


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
        elif silent_s < timing.replace_after_s and _has_caught_up(
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


def _is_promotion_due(group: group_lib.Group, survey: Survey) -> bool:
    """Returns whether a learner should become a voter.

    An even number of voters becomes odd at once. An odd number grows by two,
    one after the other, unless learners are needed to replace voters.
    """
    if len(group.voters) % 2 == 0:
        return True
    return len(survey.settled) >= 2 and not survey.unreachable


def _is_removal_due(group: group_lib.Group, survey: Survey) -> bool:
    """Returns whether an unreachable voter should be removed.

    Either a learner is ready to take its place, or the removal lowers the
    quorum: at once if the number of voters is even, together with the removal
    of a second one if it is odd.
    """
    is_even = len(group.voters) % 2 == 0
    return bool(survey.ready) or is_even or len(survey.unreachable) >= 2
