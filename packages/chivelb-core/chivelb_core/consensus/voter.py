"""Raft state machine of one member of the control group, voter or learner.

Implements Raft with pre-vote and check-quorum, without I/O: time, randomness
and messages are passed in, and ``take_effects`` returns what must be synced,
sent and applied. The caller must sync before it sends.
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

SNAPSHOT_INTERVAL_ENTRIES = 4_000
# A log smaller than this is kept however small the snapshot is.
MIN_SNAPSHOT_INTERVAL_BYTES = 4_194_304
# A log may grow to this multiple of the newest snapshot, so that writing
# snapshots stays a bounded share of all that is written.
MAX_LOG_TO_SNAPSHOT_RATIO = 2
# The log is held in memory, however large the snapshot is.
MAX_LOG_BYTES = 16_777_216


class Voter(member_lib.Member):
    """A member that handles messages, ticks and proposals.

    Also runs learners: a member whose id is not among the voters of its group
    stores and applies entries, but starts no election.
    """

    __slots__ = ()

    def record_synced(self, index: int, now: float) -> None:
        """Records that the log is synced to disk up to an index.

        Args:
            index: Index of the newest synced entry.
            now: Monotonic time in seconds.
        """
        self.synced_index = max(
            self.synced_index, min(index, self.log.last_index)
        )
        if self.role is states.Role.LEADER:
            leading.advance_commit(self, now)

    def tick(self, now: float) -> None:
        """Runs elections, heartbeats and check-quorum that are due."""
        if self.role is states.Role.LEADER:
            if not self.has_quorum_contact(now):
                self.step_down(self.hard_state.term, "", now)
                return
            if now - self.last_heartbeat_at >= self.timing.heartbeat_period_s:
                leading.broadcast(self, now)
        elif now >= self.deadline and self.may_start_election():
            elections.start_pre_vote(self, now)

    def receive(self, message: messages.Message, now: float) -> None:
        """Handles a message from another member.

        Args:
            message: The message; ignored if addressed to another member id.
            now: Monotonic time in seconds.
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
        """Appends a command if this member is the leader.

        Args:
            kind: Kind of the entry.
            data: Encoded command.
            now: Monotonic time in seconds.

        Returns:
            Index and term of the entry, or None if not the leader.
        """
        if self.role is not states.Role.LEADER or not self.has_quorum_contact(
            now
        ):
            return None
        entry = log_lib.Entry(
            self.log.last_index + 1, self.hard_state.term, kind, data
        )
        leading.append_entry(self, entry, now)
        for member_id in self.progress:
            leading.send_append(self, member_id, now)
        return entry.index, entry.term

    def propose_group(
        self, group: group_lib.Group, now: float
    ) -> codes.ErrorDetail | tuple[int, int]:
        """Appends a membership change.

        Args:
            group: The new group.
            now: Monotonic time in seconds.

        Returns:
            Index and term of the entry, or an error if it is rejected.
        """
        if self.role is not states.Role.LEADER:
            return codes.ErrorDetail(
                codes.NO_QUORUM,
                f"{self.member_id} is {self.role.value}, not the leader",
            )
        if self.group_index > self.commit_index:
            return codes.ErrorDetail(
                codes.CHANGE_CONFLICT,
                f"membership change at index {self.group_index} is pending: "
                f"the commit index is {self.commit_index}",
            )
        if self.commit_index < self.term_start_index:
            return codes.ErrorDetail(
                codes.NO_QUORUM,
                f"no entry of term {self.hard_state.term} is committed yet: it "
                f"starts at index {self.term_start_index}, the commit index "
                f"is {self.commit_index}",
            )
        error = group_lib.validate_group_change(self.group, group)
        if error is not None:
            return error
        appended = self.propose("members", snapshots.encode_group(group), now)
        if appended is None:
            return codes.ErrorDetail(codes.NO_QUORUM)
        return appended

    def start_read(self, now: float) -> int | None:
        """Starts a linearizable read.

        Returns:
            The round number that must be confirmed, or None if this member is
            not the leader or has no committed entry of its term.
        """
        if self.role is not states.Role.LEADER:
            return None
        if self.commit_index < self.term_start_index:
            return None
        leading.broadcast(self, now)
        return self.round_number

    def is_read_confirmed(self, round_number: int) -> bool:
        """Returns whether a majority replied to this round number or later."""
        if self.role is not states.Role.LEADER:
            return False
        acked = {
            member_id
            for member_id, progress in self.progress.items()
            if progress.acked_round >= round_number
        }
        return self.group.is_quorum(acked | {self.member_id})

    def is_snapshot_due(self) -> bool:
        """Returns whether the caller should store a snapshot and compact.

        Bounds the log by entries and by bytes, hence the disk that it takes
        and the time to read and apply it at a start.
        """
        if self.applied_index == self.log.base_index:
            return False
        count = self.applied_index - self.log.base_index
        max_bytes = max(
            MIN_SNAPSHOT_INTERVAL_BYTES,
            min(
                MAX_LOG_BYTES,
                MAX_LOG_TO_SNAPSHOT_RATIO * len(self.snapshot_data),
            ),
        )
        return (
            count >= SNAPSHOT_INTERVAL_ENTRIES
            or self.log.command_bytes > max_bytes
        )

    def compact(self, index: int, data: bytes) -> None:
        """Removes entries covered by a snapshot that the caller stored.

        Args:
            index: Last applied index that the snapshot covers.
            data: The encoded snapshot.
        """
        assert index <= self.applied_index, (
            f"snapshot up to {index} covers entries after the applied index "
            f"{self.applied_index}"
        )
        self.log.compact(index)
        self.snapshot_data = data
        # Keep the newest group that the snapshot covers: later membership
        # entries may be uncommitted and may still be truncated.
        covered = [group for at, group in self.group_history if at <= index]
        above = [(at, group) for at, group in self.group_history if at > index]
        self.group_history = [(index, covered[-1]), *above]
