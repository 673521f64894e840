"""Elections: pre-vote, votes, and stepping down."""

from chivelb_core.consensus import leading
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states


def start_pre_vote(voter: member_lib.Member, now: float) -> None:
    """Asks whether an election would be won."""
    voter.role = states.Role.PRE_CANDIDATE
    voter.leader = ""
    ask_votes(voter, voter.hard.term + 1, pre=True, now=now)


def start_election(voter: member_lib.Member, now: float) -> None:
    """Begins a term and asks for votes."""
    voter.role = states.Role.CANDIDATE
    voter.hard = states.HardState(voter.hard.term + 1, voter.member_id)
    voter.hard_dirty = True
    ask_votes(voter, voter.hard.term, pre=False, now=now)


def ask_votes(
    voter: member_lib.Member, term: int, *, pre: bool, now: float
) -> None:
    """Asks all other voters for their vote."""
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
    """Answers a vote request; one vote a term."""
    silent = now - voter.heard_leader_at >= voter.timing.election_s
    leading = voter.role is states.Role.LEADER and voter.has_quorum_contact(now)
    undisturbed = leading or not silent
    if request.pre:
        granted = (
            request.term > voter.hard.term
            and not undisturbed
            and is_up_to_date(voter, request)
        )
        # A denial carries this member's term: one with a longer log but an
        # older term could else never win, nor let another one win.
        term = request.term if granted else voter.hard.term
        reply_vote(voter, request, term, granted)
        return
    if undisturbed and request.term > voter.hard.term:
        # A member that hears its leader is not drawn into an election.
        return
    if request.term > voter.hard.term:
        voter.step_down(request.term, "", now)
    granted = (
        request.term == voter.hard.term
        and voter.hard.voted_for in ("", request.from_member)
        and is_up_to_date(voter, request)
    )
    if granted:
        if voter.hard.voted_for != request.from_member:
            voter.hard.voted_for = request.from_member
            voter.hard_dirty = True
        voter.deadline = now + voter.election_delay()
    reply_vote(voter, request, voter.hard.term, granted)


def reply_vote(
    voter: member_lib.Member,
    request: messages.VoteRequest,
    term: int,
    granted: bool,
) -> None:
    """Sends the answer to a vote request."""
    voter.send(
        messages.VoteReply(
            request.from_member, voter.member_id, term, granted, request.pre
        )
    )


def is_up_to_date(
    voter: member_lib.Member, request: messages.VoteRequest
) -> bool:
    """Tells whether the asking member's log is no older."""
    mine = (voter.log.last_term, voter.log.last_index)
    return (request.last_term, request.last_index) >= mine


def on_vote_reply(
    voter: member_lib.Member, reply: messages.VoteReply, now: float
) -> None:
    """Counts a vote that was given."""
    denied = not reply.granted
    if (denied or not reply.pre) and reply.term > voter.hard.term:
        voter.step_down(reply.term, "", now)
        return
    if not reply.granted:
        return
    if reply.pre:
        wanted = voter.role is states.Role.PRE_CANDIDATE
        wanted = wanted and reply.term == voter.hard.term + 1
    else:
        wanted = voter.role is states.Role.CANDIDATE
        wanted = wanted and reply.term == voter.hard.term
    if wanted:
        voter.votes.add(reply.from_member)
        count_votes(voter, now)


def count_votes(voter: member_lib.Member, now: float) -> None:
    """Goes on when a majority has voted."""
    if not voter.group.is_quorum(voter.votes):
        return
    if voter.role is states.Role.PRE_CANDIDATE:
        start_election(voter, now)
    elif voter.role is states.Role.CANDIDATE:
        become_leader(voter, now)


def become_leader(voter: member_lib.Member, now: float) -> None:
    """Begins to lead the term with an entry of its own."""
    voter.role = states.Role.LEADER
    voter.leader = voter.member_id
    voter.lead_since = now
    voter.progress = {}
    voter.track_members()
    entry = log_lib.Entry(
        voter.log.last_index + 1, voter.hard.term, "noop", b""
    )
    voter.term_start = entry.index
    leading.append_own(voter, entry)
    leading.broadcast(voter, now)
