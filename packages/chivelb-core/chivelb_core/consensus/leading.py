"""Replication on the leader's side: appends, commits and snapshots."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import states

MAX_ENTRIES_PER_APPEND = 200
SNAPSHOT_PART_BYTES = 262_144


def append_own(voter: member_lib.Member, entry: log_lib.Entry) -> None:
    """Appends an entry to this leader's log."""
    assert voter.role is states.Role.LEADER, "only a leader appends"
    voter.log.append(entry)
    voter.effects.entries.append(entry)
    voter.note_group(entry)


def broadcast(voter: member_lib.Member, now: float) -> None:
    """Sends a round of heartbeats with what is missing."""
    voter.round += 1
    voter.beat_at = now
    for member_id in voter.progress:
        send_append(voter, member_id, now)


def send_append(voter: member_lib.Member, member_id: str, now: float) -> None:
    """Sends a member what follows its newest known entry."""
    progress = voter.progress[member_id]
    previous = progress.next_index - 1
    previous_term = voter.log.term_at(previous)
    if previous_term is None:
        send_part(voter, member_id, progress, now)
        return
    last = min(voter.log.last_index, previous + MAX_ENTRIES_PER_APPEND)
    entries = voter.log.slice(previous + 1, last) if last > previous else []
    progress.sent_at = now
    # Sent ahead of the reply; a refusal moves it back.
    progress.next_index = last + 1
    voter.send(
        messages.Append(
            member_id,
            voter.member_id,
            voter.hard.term,
            previous,
            previous_term,
            entries,
            voter.commit_index,
            voter.round,
        )
    )


def send_part(
    voter: member_lib.Member,
    member_id: str,
    progress: states.Progress,
    now: float,
) -> None:
    """Sends a member the next piece of the snapshot."""
    offset = progress.part_offset or 0
    progress.part_offset = offset
    progress.sent_at = now
    voter.send(
        messages.SnapshotPart(
            member_id,
            voter.member_id,
            voter.hard.term,
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
    """Takes a member's answer to an append."""
    if reply.term > voter.hard.term:
        voter.step_down(reply.term, "", now)
        return
    progress = voter.progress.get(reply.from_member)
    if (
        voter.role is not states.Role.LEADER
        or progress is None
        or reply.term < voter.hard.term
    ):
        return
    progress.heard_at = now
    progress.acked_round = max(progress.acked_round, reply.round)
    if reply.ok:
        raise_match(voter, progress, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(voter, now)
        if progress.next_index <= voter.log.last_index:
            send_append(voter, reply.from_member, now)
        return
    if reply.match_index < progress.match_index:
        doubt(voter, reply, progress)
    progress.next_index = max(
        1, min(progress.next_index, reply.match_index + 1)
    )
    send_append(voter, reply.from_member, now)


def raise_match(
    voter: member_lib.Member, progress: states.Progress, index: int
) -> None:
    """Notes how far a member has synced."""
    if index > progress.match_index:
        progress.match_index = index
        voter.round += 1
        progress.match_round = voter.round


def doubt(
    voter: member_lib.Member,
    reply: messages.AppendReply,
    progress: states.Progress,
) -> None:
    """Finds out whether a member lost entries that it acknowledged.

    A late reply may deny them as well, so only a reply to a message
    sent after the acknowledgement is proof; see
    docs/design/consensus.md.
    """
    if reply.round >= progress.match_round:
        progress.rolled_back = True
    if progress.rolled_back:
        voter.send(
            messages.Disown(reply.from_member, voter.member_id, voter.hard.term)
        )


def on_disown(
    voter: member_lib.Member, message: messages.Disown, now: float
) -> None:
    """Stops taking part after a proof of a rolled-back disk."""
    if message.term >= voter.hard.term:
        voter.disowned = True
        voter.role = states.Role.FOLLOWER


def on_snapshot_reply(
    voter: member_lib.Member, reply: messages.SnapshotReply, now: float
) -> None:
    """Takes a member's answer to a piece of the snapshot."""
    if reply.term > voter.hard.term:
        voter.step_down(reply.term, "", now)
        return
    progress = voter.progress.get(reply.from_member)
    if voter.role is not states.Role.LEADER or progress is None:
        return
    progress.heard_at = now
    if reply.index != voter.log.base_index:
        progress.part_offset = None
    elif reply.offset >= len(voter.snapshot_data):
        progress.part_offset = None
        raise_match(voter, progress, reply.index)
        progress.next_index = max(progress.next_index, reply.index + 1)
    else:
        progress.part_offset = reply.offset
    send_append(voter, reply.from_member, now)


def advance_commit(voter: member_lib.Member, now: float) -> None:
    """Commits what a majority has synced in this term."""
    matches = sorted(
        (match_of(voter, member_id) for member_id in voter.group.voters),
        reverse=True,
    )
    index = matches[voter.group.quorum - 1]
    if index <= voter.commit_index:
        return
    if voter.log.term_at(index) != voter.hard.term:
        return
    assert index <= voter.log.last_index, "commit beyond the log"
    voter.commit_index = index
    if (
        voter.group_index <= voter.commit_index
        and voter.member_id not in voter.group.voters
    ):
        voter.step_down(voter.hard.term, "", now)


def match_of(voter: member_lib.Member, member_id: str) -> int:
    """Returns up to where a member's log counts."""
    if member_id == voter.member_id:
        return voter.synced_index
    progress = voter.progress.get(member_id)
    if progress is None or progress.rolled_back:
        return 0
    return progress.match_index
