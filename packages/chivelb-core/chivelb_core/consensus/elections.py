"""Leader election: pre-vote, votes and the start of a term."""

from chivelb_core.consensus import leading
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states


def start_pre_vote(voter: member_lib.Member, now: float) -> None:
    """Starts a pre-vote, which asks whether an election could be won."""
    voter.role = states.Role.PRE_CANDIDATE
    voter.leader = ""
    request_votes(voter, voter.hard_state.term + 1, pre=True, now=now)


def start_election(voter: member_lib.Member, now: float) -> None:
    """Starts an election in a new term."""
    voter.role = states.Role.CANDIDATE
    voter.hard_state = states.HardState(
        voter.hard_state.term + 1, voter.member_id
    )
    voter.hard_state_dirty = True
    request_votes(voter, voter.hard_state.term, pre=False, now=now)


def request_votes(
    voter: member_lib.Member, term: int, *, pre: bool, now: float
) -> None:
    """Sends a vote request to all other voters.

    Args:
        voter: The requesting member.
        term: Term of the election; the next term in a pre-vote.
        pre: Whether this is a pre-vote.
        now: Monotonic time in seconds.
    """
    voter.votes = {voter.member_id}
    voter.deadline = now + voter.election_delay()
    for member_id in sorted(voter.group.voters - {voter.member_id}):
        voter.send(
            messages.VoteRequest(
                member_id,
                voter.member_id,
                term,
                voter.log.last_index,
                voter.log.last_term,
                pre,
            )
        )
    count_votes(voter, now)


def on_vote_request(
    voter: member_lib.Member, request: messages.VoteRequest, now: float
) -> None:
    """Answers a vote request; a member grants one vote per term."""
    leader_timed_out = (
        now - voter.last_leader_contact_at >= voter.timing.election_timeout_s
    )
    is_leading = voter.role is states.Role.LEADER and voter.has_quorum_contact(
        now
    )
    has_current_leader = is_leading or not leader_timed_out
    if request.pre:
        granted = (
            request.term > voter.hard_state.term
            and not has_current_leader
            and is_up_to_date(voter, request)
        )
        # A denial carries this member's term so that a requester in an older
        # term catches up. Otherwise a member with the most complete log but
        # an older term could neither win an election nor let another win.
        term = request.term if granted else voter.hard_state.term
        send_vote_reply(voter, request, term, granted)
        return
    if has_current_leader and request.term > voter.hard_state.term:
        # Leader stickiness: while the leader is reachable, a request with a
        # newer term is ignored and does not raise this member's term.
        return
    if request.term > voter.hard_state.term:
        voter.step_down(request.term, "", now)
    granted = (
        request.term == voter.hard_state.term
        and voter.hard_state.voted_for in ("", request.from_member)
        and is_up_to_date(voter, request)
    )
    if granted:
        if voter.hard_state.voted_for != request.from_member:
            voter.hard_state.voted_for = request.from_member
            voter.hard_state_dirty = True
        voter.deadline = now + voter.election_delay()
    send_vote_reply(voter, request, voter.hard_state.term, granted)


def send_vote_reply(
    voter: member_lib.Member,
    request: messages.VoteRequest,
    term: int,
    granted: bool,
) -> None:
    """Sends a vote reply."""
    voter.send(
        messages.VoteReply(
            request.from_member, voter.member_id, term, granted, request.pre
        )
    )


def is_up_to_date(
    voter: member_lib.Member, request: messages.VoteRequest
) -> bool:
    """Returns whether the requester's log is at least as up to date."""
    own_position = (voter.log.last_term, voter.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def on_vote_reply(
    voter: member_lib.Member, reply: messages.VoteReply, now: float
) -> None:
    """Handles a vote reply; steps down if it shows a newer term."""
    denied = not reply.granted
    if (denied or not reply.pre) and reply.term > voter.hard_state.term:
        voter.step_down(reply.term, "", now)
        return
    if not reply.granted:
        return
    if reply.pre:
        is_expected = voter.role is states.Role.PRE_CANDIDATE
        is_expected = is_expected and reply.term == voter.hard_state.term + 1
    else:
        is_expected = voter.role is states.Role.CANDIDATE
        is_expected = is_expected and reply.term == voter.hard_state.term
    if is_expected:
        voter.votes.add(reply.from_member)
        count_votes(voter, now)


def count_votes(voter: member_lib.Member, now: float) -> None:
    """Starts the election or the term once a majority has voted."""
    if not voter.group.is_quorum(voter.votes):
        return
    if voter.role is states.Role.PRE_CANDIDATE:
        start_election(voter, now)
    elif voter.role is states.Role.CANDIDATE:
        become_leader(voter, now)


def become_leader(voter: member_lib.Member, now: float) -> None:
    """Starts leading with a no-op entry of the new term.

    Entries of earlier terms are committed only together with an entry of the
    current term.
    """
    voter.role = states.Role.LEADER
    voter.leader = voter.member_id
    voter.leader_since = now
    voter.progress = {}
    voter.reconcile_progress()
    entry = log_lib.Entry(
        voter.log.last_index + 1, voter.hard_state.term, "noop", b""
    )
    voter.term_start_index = entry.index
    leading.append_entry(voter, entry)
    leading.broadcast(voter, now)
