"""Leader side of replication: appends, commits and snapshots."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states

MAX_ENTRIES_PER_APPEND = 200
# Applies to the commands of an append's entries, but not to its first one.
MAX_APPEND_BYTES = 262_144
SNAPSHOT_PART_BYTES = 262_144


def append_entry(
    member: member_lib.Member, entry: log_lib.Entry, now: float
) -> None:
    """Appends an entry to the leader's own log."""
    assert member.role is states.Role.LEADER, (
        f"{member.member_id} appends entry {entry.index} as "
        f"{member.role.value}; only the leader may append entries"
    )
    member.log.append(entry)
    member.effects.entries.append(entry)
    member.update_group(entry)
    member.reconcile_progress(now)


def broadcast(member: member_lib.Member, now: float) -> None:
    """Raises the round number and sends each other member an append.

    The appends contain the entries that the receiver lacks. Together they are
    a heartbeat. Each carries the round number, which its reply repeats.
    """
    member.round_number += 1
    member.last_heartbeat_at = now
    for member_id in member.progress:
        send_append(member, member_id, now)


def send_append(member: member_lib.Member, member_id: str, now: float) -> None:
    """Sends a member the next entries, or a snapshot part if compacted."""
    progress = member.progress[member_id]
    previous = progress.next_index - 1
    previous_term = member.log.term_at(previous)
    if previous_term is None:
        send_snapshot_part(member, member_id, progress, now)
        return
    entries = member.log.slice_within(
        previous + 1,
        max_entries=MAX_ENTRIES_PER_APPEND,
        max_bytes=MAX_APPEND_BYTES,
    )
    progress.last_sent_at = now
    # Pipelining: advanced before the reply; a rejection moves it back.
    progress.next_index = previous + len(entries) + 1
    member.send(
        messages.Append(
            member_id,
            member.member_id,
            member.hard_state.term,
            previous,
            previous_term,
            entries,
            member.commit_index,
            member.round_number,
        )
    )


def send_snapshot_part(
    member: member_lib.Member,
    member_id: str,
    progress: states.Progress,
    now: float,
) -> None:
    """Sends a member the next part of the snapshot."""
    offset = progress.snapshot_offset or 0
    progress.snapshot_offset = offset
    progress.last_sent_at = now
    member.send(
        messages.SnapshotPart(
            member_id,
            member.member_id,
            member.hard_state.term,
            member.log.base_index,
            member.log.base_term,
            offset,
            len(member.snapshot_data),
            member.snapshot_data[offset : offset + SNAPSHOT_PART_BYTES],
        )
    )


def progress_of_sender(
    member: member_lib.Member,
    reply: messages.AppendReply | messages.SnapshotReply,
    now: float,
) -> states.Progress | None:
    """Returns the progress of the member that replied.

    Steps down if the reply shows a newer term.

    Returns:
        The progress; None if this member does not lead the sender.
    """
    if reply.term > member.hard_state.term:
        member.step_down(reply.term, "", now)
    if member.role is not states.Role.LEADER:
        return None
    return member.progress.get(reply.from_member)


def on_append_reply(
    member: member_lib.Member, reply: messages.AppendReply, now: float
) -> None:
    """Handles the reply to an append."""
    progress = progress_of_sender(member, reply, now)
    if progress is None or reply.term < member.hard_state.term:
        return
    progress.last_reply_at = now
    progress.acked_round = max(progress.acked_round, reply.round)
    if reply.ok:
        advance_match_index(member, progress, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(member, now)
        if progress.next_index <= member.log.last_index:
            send_append(member, reply.from_member, now)
        return
    if reply.match_index < progress.match_index:
        check_rollback(member, reply, progress)
    progress.next_index = max(
        1, min(progress.next_index, reply.match_index + 1)
    )
    send_append(member, reply.from_member, now)


def advance_match_index(
    member: member_lib.Member, progress: states.Progress, index: int
) -> None:
    """Raises the match index of a follower and the round number.

    Nothing is sent: later messages carry the new round number, so that a reply
    with this number or a higher one is known to belong to a message sent after
    the acknowledgement; see ``check_rollback``.
    """
    if index > progress.match_index:
        progress.match_index = index
        member.round_number += 1
        progress.match_round = member.round_number


def check_rollback(
    member: member_lib.Member,
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
        member.send(
            messages.Disown(
                reply.from_member, member.member_id, member.hard_state.term
            )
        )


def on_disown(
    member: member_lib.Member, message: messages.Disown, now: float
) -> None:
    """Stops participating: the leader detected a rolled-back disk."""
    if message.term >= member.hard_state.term:
        member.disowned = True
        member.role = states.Role.FOLLOWER


def on_snapshot_reply(
    member: member_lib.Member, reply: messages.SnapshotReply, now: float
) -> None:
    """Handles the reply to a snapshot part."""
    progress = progress_of_sender(member, reply, now)
    if progress is None:
        return
    progress.last_reply_at = now
    if reply.index != member.log.base_index:
        progress.snapshot_offset = None
    elif reply.offset >= len(member.snapshot_data):
        progress.snapshot_offset = None
        advance_match_index(member, progress, reply.index)
        progress.next_index = max(progress.next_index, reply.index + 1)
    else:
        progress.snapshot_offset = reply.offset
    send_append(member, reply.from_member, now)


def advance_commit(member: member_lib.Member, now: float) -> None:
    """Commits entries of this term that a majority has synced."""
    match_indexes = sorted(
        (
            get_match_index(member, member_id)
            for member_id in member.group.voters
        ),
        reverse=True,
    )
    index = match_indexes[member.group.quorum - 1]
    if index <= member.commit_index:
        return
    if member.log.term_at(index) != member.hard_state.term:
        return
    assert index <= member.log.last_index, (
        f"commit index {index} is beyond the last log index "
        f"{member.log.last_index}"
    )
    member.commit_index = index
    if (
        member.group_index <= member.commit_index
        and member.member_id not in member.group.voters
    ):
        member.step_down(member.hard_state.term, "", now)


def get_match_index(member: member_lib.Member, member_id: str) -> int:
    """Returns the highest index that a member counts towards a commit."""
    if member_id == member.member_id:
        return member.synced_index
    progress = member.progress.get(member_id)
    if progress is None or progress.rolled_back:
        return 0
    return progress.match_index
