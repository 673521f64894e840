"""Follower side of replication: appends and snapshot installation."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


def on_append(
    voter: member_lib.Member, message: messages.Append, now: float
) -> None:
    """Handles an append from the leader.

    Entries are stored if the previous entry matches. Otherwise the reply
    carries the index from which the leader should retry.
    """
    if message.term < voter.hard_state.term:
        send_append_reply(voter, message, ok=False, index=0)
        return
    accept_leader(voter, message, now)
    if message.prev_index < voter.log.base_index:
        send_append_reply(voter, message, ok=True, index=voter.log.base_index)
        return
    if voter.log.term_at(message.prev_index) != message.prev_term:
        retry_index = min(voter.log.last_index, message.prev_index - 1)
        send_append_reply(voter, message, ok=False, index=max(retry_index, 0))
        return
    store_entries(voter, message.entries)
    match_index = message.prev_index + len(message.entries)
    voter.commit_index = max(
        voter.commit_index, min(message.commit, match_index)
    )
    send_append_reply(voter, message, ok=True, index=match_index)


def accept_leader(
    voter: member_lib.Member,
    message: messages.Append | messages.SnapshotPart,
    now: float,
) -> None:
    """Accepts the sender as the leader of its term."""
    if (
        message.term > voter.hard_state.term
        or voter.role is not states.Role.FOLLOWER
    ):
        assert not (
            voter.role is states.Role.LEADER
            and message.term == voter.hard_state.term
        ), "two leaders in the same term"
        voter.step_down(message.term, message.from_member, now)
    voter.leader = message.from_member
    voter.last_leader_contact_at = now
    voter.deadline = now + voter.election_delay()


def store_entries(
    voter: member_lib.Member, entries: list[log_lib.Entry]
) -> None:
    """Appends new entries; truncates the log at the first conflict."""
    for entry in entries:
        term = voter.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            assert entry.index > voter.commit_index, (
                "append would overwrite a committed entry"
            )
            truncate_log(voter, entry.index)
        voter.log.append(entry)
        voter.effects.entries.append(entry)
        voter.update_group(entry)


def truncate_log(voter: member_lib.Member, index: int) -> None:
    """Removes the entries from ``index`` on and reverts group changes."""
    voter.log.truncate(index)
    voter.synced_index = min(voter.synced_index, index - 1)
    effects = voter.effects
    effects.entries = [e for e in effects.entries if e.index < index]
    if effects.truncate_from is None:
        effects.truncate_from = index
    effects.truncate_from = min(effects.truncate_from, index)
    voter.group_history = [
        (at, group) for at, group in voter.group_history if at < index
    ]
    voter.group_index, voter.group = voter.group_history[-1]


def send_append_reply(
    voter: member_lib.Member, message: messages.Append, *, ok: bool, index: int
) -> None:
    """Sends an append reply."""
    voter.send(
        messages.AppendReply(
            message.from_member,
            voter.member_id,
            voter.hard_state.term,
            ok,
            index,
            message.round,
        )
    )


def on_snapshot_part(
    voter: member_lib.Member, part: messages.SnapshotPart, now: float
) -> None:
    """Stores a part of a snapshot; installs the snapshot when complete."""
    if part.term < voter.hard_state.term:
        send_snapshot_reply(voter, part, 0)
        return
    accept_leader(voter, part, now)
    if voter.log.term_at(part.index) == part.index_term:
        # The log already contains all entries that the snapshot covers. It is
        # not reset, because entries after them may be acknowledged.
        voter.commit_index = max(voter.commit_index, part.index)
    if part.index <= voter.commit_index:
        send_snapshot_reply(voter, part, part.total)
        return
    buffer = voter.snapshot_buffers.get(part.index)
    if buffer is None:
        voter.snapshot_buffers = {part.index: bytearray()}
        buffer = voter.snapshot_buffers[part.index]
    if part.offset == len(buffer):
        buffer += part.data
    if len(buffer) < part.total:
        send_snapshot_reply(voter, part, len(buffer))
        return
    install_snapshot(voter, part.index, part.index_term, bytes(buffer))
    voter.snapshot_buffers = {}
    send_snapshot_reply(voter, part, part.total)


def install_snapshot(
    voter: member_lib.Member, index: int, term: int, data: bytes
) -> None:
    """Replaces the log and the state with a snapshot."""
    voter.log.reset(index, term)
    voter.snapshot_data = data
    voter.commit_index = index
    voter.applied_index = index
    voter.synced_index = index
    voter.group = snapshots.decode_snapshot_group(data)
    voter.group_index = index
    voter.group_history = [(index, voter.group)]
    voter.effects.entries = []
    voter.effects.truncate_from = None
    voter.effects.snapshot = (index, term, data)


def send_snapshot_reply(
    voter: member_lib.Member, part: messages.SnapshotPart, offset: int
) -> None:
    """Acknowledges a snapshot part.

    Args:
        voter: The replying member.
        part: The part received.
        offset: Number of snapshot bytes received without a gap.
    """
    voter.send(
        messages.SnapshotReply(
            part.from_member,
            voter.member_id,
            voter.hard_state.term,
            part.index,
            offset,
        )
    )
