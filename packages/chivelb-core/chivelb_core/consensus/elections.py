"""Leader election: pre-vote, votes and the start of a term."""

from chivelb_core.consensus import leading
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states


def start_pre_vote(member: member_lib.Member, now: float) -> None:
    """Starts a pre-vote, which asks whether an election could be won."""
    member.role = states.Role.PRE_CANDIDATE
    member.leader = ""
    request_votes(member, member.hard_state.term + 1, pre=True, now=now)


def start_election(member: member_lib.Member, now: float) -> None:
    """Starts an election in a new term."""
    member.role = states.Role.CANDIDATE
    member.hard_state = states.HardState(
        member.hard_state.term + 1, member.member_id
    )
    member.hard_state_dirty = True
    request_votes(member, member.hard_state.term, pre=False, now=now)


def request_votes(
    member: member_lib.Member, term: int, *, pre: bool, now: float
) -> None:
    """Sends a vote request to all other voters.

    Args:
        member: The member that requests the votes.
        term: Term of the election; the next term in a pre-vote.
        pre: Whether this is a pre-vote.
        now: Monotonic time in seconds.
    """
    member.votes = {member.member_id}
    member.deadline = now + member.election_delay()
    for member_id in sorted(member.group.voters - {member.member_id}):
        member.send(
            messages.VoteRequest(
                member_id,
                member.member_id,
                term,
                member.log.last_index,
                member.log.last_term,
                pre,
            )
        )
    count_votes(member, now)


def on_vote_request(
    member: member_lib.Member, request: messages.VoteRequest, now: float
) -> None:
    """Replies to a vote request; a member grants one vote per term."""
    leader_timed_out = (
        now - member.last_leader_contact_at >= member.timing.election_timeout_s
    )
    is_leading = (
        member.role is states.Role.LEADER and member.has_quorum_contact(now)
    )
    has_current_leader = is_leading or not leader_timed_out
    if request.pre:
        granted = (
            request.term > member.hard_state.term
            and not has_current_leader
            and is_up_to_date(member, request)
        )
        # A denial carries this member's term so that a requester in an older
        # term catches up. Otherwise a member with the most complete log but
        # an older term could neither win an election nor let another win.
        term = request.term if granted else member.hard_state.term
        send_vote_reply(member, request, term, granted)
        return
    if has_current_leader and request.term > member.hard_state.term:
        # Leader stickiness: while the leader is reachable, a request with a
        # newer term is ignored and does not raise this member's term.
        return
    if request.term > member.hard_state.term:
        member.step_down(request.term, "", now)
    granted = (
        request.term == member.hard_state.term
        and member.hard_state.voted_for in ("", request.from_member)
        and is_up_to_date(member, request)
    )
    if granted:
        if member.hard_state.voted_for != request.from_member:
            member.hard_state.voted_for = request.from_member
            member.hard_state_dirty = True
        member.deadline = now + member.election_delay()
    send_vote_reply(member, request, member.hard_state.term, granted)


def send_vote_reply(
    member: member_lib.Member,
    request: messages.VoteRequest,
    term: int,
    granted: bool,
) -> None:
    """Sends a vote reply."""
    member.send(
        messages.VoteReply(
            request.from_member, member.member_id, term, granted, request.pre
        )
    )


def is_up_to_date(
    member: member_lib.Member, request: messages.VoteRequest
) -> bool:
    """Returns whether the requester's log is at least as up to date."""
    own_position = (member.log.last_term, member.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def on_vote_reply(
    member: member_lib.Member, reply: messages.VoteReply, now: float
) -> None:
    """Handles a vote reply; steps down if it shows a newer term."""
    denied = not reply.granted
    if (denied or not reply.pre) and reply.term > member.hard_state.term:
        member.step_down(reply.term, "", now)
        return
    if not reply.granted:
        return
    if reply.pre:
        is_expected = member.role is states.Role.PRE_CANDIDATE
        is_expected = is_expected and reply.term == member.hard_state.term + 1
    else:
        is_expected = member.role is states.Role.CANDIDATE
        is_expected = is_expected and reply.term == member.hard_state.term
    if is_expected:
        member.votes.add(reply.from_member)
        count_votes(member, now)


def count_votes(member: member_lib.Member, now: float) -> None:
    """Starts the election or the term once a majority has voted."""
    if not member.group.is_quorum(member.votes):
        return
    if member.role is states.Role.PRE_CANDIDATE:
        start_election(member, now)
    elif member.role is states.Role.CANDIDATE:
        become_leader(member, now)


def become_leader(member: member_lib.Member, now: float) -> None:
    """Starts leading with a no-op entry of the new term.

    Entries of earlier terms are committed only together with an entry of the
    current term.
    """
    member.role = states.Role.LEADER
    member.leader = member.member_id
    member.leader_since = now
    member.progress = {}
    member.reconcile_progress(now)
    entry = log_lib.Entry(
        member.log.last_index + 1, member.hard_state.term, "noop", b""
    )
    member.term_start_index = entry.index
    leading.append_entry(member, entry, now)
    leading.broadcast(member, now)
