"""Aggregate of one member of the control group.

The election and replication rules follow the Raft algorithm with pre-vote
and check-quorum. Time, randomness and messages are passed in. What must be
synced, sent and applied comes out of ``take_effects``; the caller syncs
before it sends.
"""

from chivelb_core import codes
from chivelb_core.consensus import elections
from chivelb_core.consensus import following
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import leading
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import member as member_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


class Voter(member_lib.Member):
    """A member that takes messages, time and proposals."""

    __slots__ = ()

    def note_synced(self, index: int, now: float) -> None:
        """Takes the caller's word that the log is synced up to an index.

        Args:
            index: Index of the newest entry synced.
            now: Time in seconds.
        """
        self.synced_index = max(
            self.synced_index, min(index, self.log.last_index)
        )
        if self.role is states.Role.LEADER:
            leading.advance_commit(self, now)

    def tick(self, now: float) -> None:
        """Lets time pass: elections, heartbeats and check-quorum."""
        if self.role is states.Role.LEADER:
            if not self.has_quorum_contact(now):
                self.step_down(self.hard.term, "", now)
                return
            if now - self.beat_at >= self.timing.heartbeat_s:
                leading.broadcast(self, now)
        elif now >= self.deadline and self.may_vote():
            elections.start_pre_vote(self, now)

    def receive(self, message: messages.Message, now: float) -> None:
        """Takes a message of another member.

        Args:
            message: The message; one for another member id is ignored.
            now: Time in seconds.
        """
        if message.to_member != self.member_id or self.disowned:
            return
        match message:
            case messages.VoteRequest():
                elections.on_vote_request(self, message, now)
            case messages.VoteReply():
                elections.on_vote_reply(self, message, now)
            case messages.Append():
                following.on_append(self, message, now)
            case messages.AppendReply():
                leading.on_append_reply(self, message, now)
            case messages.SnapshotPart():
                following.on_snapshot_part(self, message, now)
            case messages.SnapshotReply():
                leading.on_snapshot_reply(self, message, now)
            case messages.Disown():
                leading.on_disown(self, message, now)

    def propose(
        self, kind: str, data: bytes, now: float
    ) -> tuple[int, int] | None:
        """Appends a command when this member leads.

        Args:
            kind: Kind of the entry.
            data: Encoded command.
            now: Time in seconds.

        Returns:
            Index and term of the entry, or None when it does not lead.
        """
        if self.role is not states.Role.LEADER or not self.has_quorum_contact(
            now
        ):
            return None
        entry = log_lib.Entry(
            self.log.last_index + 1, self.hard.term, kind, data
        )
        leading.append_own(self, entry)
        for member_id in self.progress:
            leading.send_append(self, member_id, now)
        return entry.index, entry.term

    def propose_group(
        self, group: group_lib.Group, now: float
    ) -> codes.Fault | tuple[int, int]:
        """Appends a change of the group.

        Args:
            group: The new group.
            now: Time in seconds.

        Returns:
            Index and term, or the fault that refuses it.
        """
        if self.role is not states.Role.LEADER:
            return codes.Fault(codes.NO_QUORUM, "this member does not lead")
        if self.group_index > self.commit_index:
            return codes.Fault(
                codes.CHANGE_CONFLICT, "another change of members is pending"
            )
        if self.commit_index < self.term_start:
            return codes.Fault(codes.NO_QUORUM, "the term has just begun")
        fault = group_lib.find_step_fault(self.group, group)
        if fault is not None:
            return fault
        appended = self.propose("members", snapshots.encode_group(group), now)
        if appended is None:
            return codes.Fault(codes.NO_QUORUM)
        return appended

    def start_read(self, now: float) -> int | None:
        """Starts proving leadership for a read; None when not leading."""
        if self.role is not states.Role.LEADER:
            return None
        if self.commit_index < self.term_start:
            return None
        leading.broadcast(self, now)
        return self.round

    def is_read_confirmed(self, round_number: int) -> bool:
        """Tells whether a majority answered a round of heartbeats."""
        if self.role is not states.Role.LEADER:
            return False
        acked = {
            member_id
            for member_id, progress in self.progress.items()
            if progress.acked_round >= round_number
        }
        return self.group.is_quorum(acked | {self.member_id})

    def compact(self, index: int, data: bytes) -> None:
        """Drops entries covered by a snapshot that the caller stored.

        Args:
            index: Last applied index that the snapshot covers.
            data: The snapshot.
        """
        assert index <= self.applied_index, "snapshot of unapplied entries"
        self.log.compact(index)
        self.snapshot_data = data
        # The newest group that the snapshot covers stays: an entry above it
        # may still be replaced.
        covered = [group for at, group in self.group_history if at <= index]
        above = [(at, group) for at, group in self.group_history if at > index]
        self.group_history = [(index, covered[-1]), *above]
