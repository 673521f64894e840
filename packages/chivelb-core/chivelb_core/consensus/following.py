"""Replication on a follower's side: storing and acknowledging."""

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


def on_append(
    voter: member_lib.Member, message: messages.Append, now: float
) -> None:
    """Stores entries that fit, or tells where to go on."""
    if message.term < voter.hard.term:
        reply_append(voter, message, ok=False, index=0)
        return
    follow(voter, message, now)
    if message.prev_index < voter.log.base_index:
        reply_append(voter, message, ok=True, index=voter.log.base_index)
        return
    if voter.log.term_at(message.prev_index) != message.prev_term:
        hint = min(voter.log.last_index, message.prev_index - 1)
        reply_append(voter, message, ok=False, index=max(hint, 0))
        return
    store(voter, message.entries)
    match = message.prev_index + len(message.entries)
    voter.commit_index = max(voter.commit_index, min(message.commit, match))
    reply_append(voter, message, ok=True, index=match)


def follow(
    voter: member_lib.Member,
    message: messages.Append | messages.SnapshotPart,
    now: float,
) -> None:
    """Follows the sender as the leader of its term."""
    if message.term > voter.hard.term or voter.role is not states.Role.FOLLOWER:
        assert not (
            voter.role is states.Role.LEADER and message.term == voter.hard.term
        ), "two leaders in a term"
        voter.step_down(message.term, message.from_member, now)
    voter.leader = message.from_member
    voter.heard_leader_at = now
    voter.deadline = now + voter.election_delay()


def store(voter: member_lib.Member, entries: list[log_lib.Entry]) -> None:
    """Stores entries, replacing those that conflict."""
    for entry in entries:
        term = voter.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            assert entry.index > voter.commit_index, (
                "a committed entry would change"
            )
            truncate(voter, entry.index)
        voter.log.append(entry)
        voter.effects.entries.append(entry)
        voter.note_group(entry)


def truncate(voter: member_lib.Member, index: int) -> None:
    """Drops entries that conflict with the leader's."""
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


def reply_append(
    voter: member_lib.Member, message: messages.Append, *, ok: bool, index: int
) -> None:
    """Sends the answer to an append."""
    voter.send(
        messages.AppendReply(
            message.from_member,
            voter.member_id,
            voter.hard.term,
            ok,
            index,
            message.round,
        )
    )


def on_snapshot_part(
    voter: member_lib.Member, part: messages.SnapshotPart, now: float
) -> None:
    """Collects the pieces of a snapshot."""
    if part.term < voter.hard.term:
        reply_part(voter, part, 0)
        return
    follow(voter, part, now)
    if voter.log.term_at(part.index) == part.index_term:
        # The log holds what the snapshot covers, and maybe acknowledged
        # entries after it, which must stay.
        voter.commit_index = max(voter.commit_index, part.index)
    if part.index <= voter.commit_index:
        reply_part(voter, part, part.total)
        return
    buffer = voter.parts.get(part.index)
    if buffer is None:
        voter.parts = {part.index: bytearray()}
        buffer = voter.parts[part.index]
    if part.offset == len(buffer):
        buffer += part.data
    if len(buffer) < part.total:
        reply_part(voter, part, len(buffer))
        return
    install(voter, part.index, part.index_term, bytes(buffer))
    voter.parts = {}
    reply_part(voter, part, part.total)


def install(
    voter: member_lib.Member, index: int, term: int, data: bytes
) -> None:
    """Replaces log and state by a snapshot."""
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


def reply_part(
    voter: member_lib.Member, part: messages.SnapshotPart, offset: int
) -> None:
    """Sends the answer to a piece of the snapshot."""
    voter.send(
        messages.SnapshotReply(
            part.from_member,
            voter.member_id,
            voter.hard.term,
            part.index,
            offset,
        )
    )
