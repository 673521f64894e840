"""Leader side of replication: appends, commits and snapshots."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states

MAX_ENTRIES_PER_APPEND = 200
SNAPSHOT_PART_BYTES = 262_144


def append_entry(voter: member_lib.Member, entry: log_lib.Entry) -> None:
    """Appends an entry to the leader's own log."""
    assert voter.role is states.Role.LEADER, (
        "only the leader may append entries"
    )
    voter.log.append(entry)
    voter.effects.entries.append(entry)
    voter.update_group(entry)


def broadcast(voter: member_lib.Member, now: float) -> None:
    """Starts a heartbeat round: sends each member its missing entries."""
    voter.heartbeat_round += 1
    voter.last_heartbeat_at = now
    for member_id in voter.progress:
        send_append(voter, member_id, now)


def send_append(voter: member_lib.Member, member_id: str, now: float) -> None:
    """Sends a member the next entries, or a snapshot part if compacted."""
    progress = voter.progress[member_id]
    previous = progress.next_index - 1
    previous_term = voter.log.term_at(previous)
    if previous_term is None:
        send_snapshot_part(voter, member_id, progress, now)
        return
    last = min(voter.log.last_index, previous + MAX_ENTRIES_PER_APPEND)
    entries = voter.log.slice(previous + 1, last) if last > previous else []
    progress.last_sent_at = now
    # Pipelining: advanced before the reply; a rejection moves it back.
    progress.next_index = last + 1
    voter.send(
        messages.Append(
            member_id,
            voter.member_id,
            voter.hard_state.term,
            previous,
            previous_term,
            entries,
            voter.commit_index,
            voter.heartbeat_round,
        )
    )


def send_snapshot_part(
    voter: member_lib.Member,
    member_id: str,
    progress: states.Progress,
    now: float,
) -> None:
    """Sends a member the next part of the snapshot."""
    offset = progress.snapshot_offset or 0
    progress.snapshot_offset = offset
    progress.last_sent_at = now
    voter.send(
        messages.SnapshotPart(
            member_id,
            voter.member_id,
            voter.hard_state.term,
            voter.log.base_index,
            voter.log.base_term,
            offset,
            len(voter.snapshot_data),
            voter.snapshot_data[offset : offset + SNAPSHOT_PART_BYTES],
        )
    )


def on_append_reply(
    voter: member_lib.Member, reply: messages.AppendReply, now: float
) -> None:
    """Handles the reply to an append."""
    if reply.term > voter.hard_state.term:
        voter.step_down(reply.term, "", now)
        return
    progress = voter.progress.get(reply.from_member)
    if (
        voter.role is not states.Role.LEADER
        or progress is None
        or reply.term < voter.hard_state.term
    ):
        return
    progress.last_reply_at = now
    progress.acked_round = max(progress.acked_round, reply.round)
    if reply.ok:
        advance_match_index(voter, progress, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(voter, now)
        if progress.next_index <= voter.log.last_index:
            send_append(voter, reply.from_member, now)
        return
    if reply.match_index < progress.match_index:
        check_rollback(voter, reply, progress)
    progress.next_index = max(
        1, min(progress.next_index, reply.match_index + 1)
    )
    send_append(voter, reply.from_member, now)


def advance_match_index(
    voter: member_lib.Member, progress: states.Progress, index: int
) -> None:
    """Raises the match index of a member and starts a new round.

    Replies that carry the new round or a later one answer messages sent after
    the acknowledgement; see ``check_rollback``.
    """
    if index > progress.match_index:
        progress.match_index = index
        voter.heartbeat_round += 1
        progress.match_round = voter.heartbeat_round


def check_rollback(
    voter: member_lib.Member,
    reply: messages.AppendReply,
    progress: states.Progress,
) -> None:
    """Detects a member that lost entries that it had acknowledged.

    A delayed reply may also report an index below the match index, so only
    a reply to a message sent after the acknowledgement is proof; see
    docs/design/consensus.md.
    """
    if reply.round >= progress.match_round:
        progress.rolled_back = True
    if progress.rolled_back:
        voter.send(
            messages.Disown(
                reply.from_member, voter.member_id, voter.hard_state.term
            )
        )


def on_disown(
    voter: member_lib.Member, message: messages.Disown, now: float
) -> None:
    """Stops participating: the leader detected a rolled-back disk."""
    if message.term >= voter.hard_state.term:
        voter.disowned = True
        voter.role = states.Role.FOLLOWER


def on_snapshot_reply(
    voter: member_lib.Member, reply: messages.SnapshotReply, now: float
) -> None:
    """Handles the reply to a snapshot part."""
    if reply.term > voter.hard_state.term:
        voter.step_down(reply.term, "", now)
        return
    progress = voter.progress.get(reply.from_member)
    if voter.role is not states.Role.LEADER or progress is None:
        return
    progress.last_reply_at = now
    if reply.index != voter.log.base_index:
        progress.snapshot_offset = None
    elif reply.offset >= len(voter.snapshot_data):
        progress.snapshot_offset = None
        advance_match_index(voter, progress, reply.index)
        progress.next_index = max(progress.next_index, reply.index + 1)
    else:
        progress.snapshot_offset = reply.offset
    send_append(voter, reply.from_member, now)


def advance_commit(voter: member_lib.Member, now: float) -> None:
    """Commits entries of this term that a majority has synced."""
    match_indexes = sorted(
        (get_match_index(voter, member_id) for member_id in voter.group.voters),
        reverse=True,
    )
    index = match_indexes[voter.group.quorum - 1]
    if index <= voter.commit_index:
        return
    if voter.log.term_at(index) != voter.hard_state.term:
        return
    assert index <= voter.log.last_index, (
        "commit index beyond the end of the log"
    )
    voter.commit_index = index
    if (
        voter.group_index <= voter.commit_index
        and voter.member_id not in voter.group.voters
    ):
        voter.step_down(voter.hard_state.term, "", now)


def get_match_index(voter: member_lib.Member, member_id: str) -> int:
    """Returns the highest index that a member counts towards a commit."""
    if member_id == voter.member_id:
        return voter.synced_index
    progress = voter.progress.get(member_id)
    if progress is None or progress.rolled_back:
        return 0
    return progress.match_index
