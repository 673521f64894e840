"""Follower side of replication: appends and snapshot installation."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


def on_append(
    member: member_lib.Member, message: messages.Append, now: float
) -> None:
    """Handles an append from the leader.

    Entries are stored if the previous entry matches. Otherwise the reply
    carries the index after which the leader should retry.
    """
    if message.term < member.hard_state.term:
        send_append_reply(member, message, ok=False, index=0)
        return
    accept_leader(member, message, now)
    if message.prev_index < member.log.base_index:
        send_append_reply(member, message, ok=True, index=member.log.base_index)
        return
    if member.log.term_at(message.prev_index) != message.prev_term:
        retry_index = min(member.log.last_index, message.prev_index - 1)
        send_append_reply(member, message, ok=False, index=max(retry_index, 0))
        return
    store_entries(member, message.entries)
    match_index = message.prev_index + len(message.entries)
    member.commit_index = max(
        member.commit_index, min(message.commit, match_index)
    )
    send_append_reply(member, message, ok=True, index=match_index)


def accept_leader(
    member: member_lib.Member,
    message: messages.Append | messages.SnapshotPart,
    now: float,
) -> None:
    """Accepts the sender as the leader of its term."""
    if (
        message.term > member.hard_state.term
        or member.role is not states.Role.FOLLOWER
    ):
        assert not (
            member.role is states.Role.LEADER
            and message.term == member.hard_state.term
        ), (
            f"{message.from_member} and {member.member_id} both lead term "
            f"{message.term}"
        )
        member.step_down(message.term, message.from_member, now)
    member.leader = message.from_member
    member.last_leader_contact_at = now
    member.deadline = now + member.election_delay()


def store_entries(
    member: member_lib.Member, entries: list[log_lib.Entry]
) -> None:
    """Appends new entries; truncates the log at the first conflict."""
    for entry in entries:
        term = member.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            assert entry.index > member.commit_index, (
                f"append would overwrite the committed entry {entry.index}: "
                f"the commit index is {member.commit_index}"
            )
            truncate_log(member, entry.index)
        member.log.append(entry)
        member.effects.entries.append(entry)
        member.update_group(entry)


def truncate_log(member: member_lib.Member, index: int) -> None:
    """Removes the entries from ``index`` on and reverts group changes."""
    member.log.truncate(index)
    member.synced_index = min(member.synced_index, index - 1)
    effects = member.effects
    effects.entries = [e for e in effects.entries if e.index < index]
    if effects.truncate_from is None:
        effects.truncate_from = index
    effects.truncate_from = min(effects.truncate_from, index)
    member.group_history = [
        (at, group) for at, group in member.group_history if at < index
    ]
    member.group_index, member.group = member.group_history[-1]


def send_append_reply(
    member: member_lib.Member, message: messages.Append, *, ok: bool, index: int
) -> None:
    """Sends an append reply."""
    member.send(
        messages.AppendReply(
            message.from_member,
            member.member_id,
            member.hard_state.term,
            ok,
            index,
            message.round,
        )
    )


def on_snapshot_part(
    member: member_lib.Member, part: messages.SnapshotPart, now: float
) -> None:
    """Stores a part of a snapshot; installs the snapshot when complete."""
    if part.term < member.hard_state.term:
        send_snapshot_reply(member, part, 0)
        return
    accept_leader(member, part, now)
    if member.log.term_at(part.index) == part.index_term:
        # The log already contains all entries that the snapshot covers. It is
        # not reset, because entries after them may be acknowledged.
        member.commit_index = max(member.commit_index, part.index)
    if part.index <= member.commit_index:
        send_snapshot_reply(member, part, part.total)
        return
    buffer = member.snapshot_buffers.get(part.index)
    if buffer is None:
        member.snapshot_buffers = {part.index: bytearray()}
        buffer = member.snapshot_buffers[part.index]
    if part.offset == len(buffer):
        buffer += part.data
    if len(buffer) < part.total:
        send_snapshot_reply(member, part, len(buffer))
        return
    install_snapshot(member, part.index, part.index_term, bytes(buffer))
    member.snapshot_buffers = {}
    send_snapshot_reply(member, part, part.total)


def install_snapshot(
    member: member_lib.Member, index: int, term: int, data: bytes
) -> None:
    """Replaces the log and the state with a snapshot."""
    member.log.reset(index, term)
    member.snapshot_data = data
    member.commit_index = index
    member.applied_index = index
    member.synced_index = index
    member.group = snapshots.decode_snapshot_group(data)
    member.group_index = index
    member.group_history = [(index, member.group)]
    member.effects.entries = []
    member.effects.truncate_from = None
    member.effects.snapshot = (index, term, data)


def send_snapshot_reply(
    member: member_lib.Member, part: messages.SnapshotPart, offset: int
) -> None:
    """Acknowledges a snapshot part.

    Args:
        member: The replying member.
        part: The part received.
        offset: Number of snapshot bytes received without a gap.
    """
    member.send(
        messages.SnapshotReply(
            part.from_member,
            member.member_id,
            member.hard_state.term,
            part.index,
            offset,
        )
    )
