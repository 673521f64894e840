"""Aggregate of one member of the control group.

The election and replication rules follow the Raft algorithm with pre-vote
and check-quorum. Time, randomness and messages are passed in. What must be
synced, sent and applied comes out of ``take_effects``; the caller syncs
before it sends.
"""

import dataclasses
import random

from chivelb_core import codes
from chivelb_core.consensus import elections
from chivelb_core.consensus import following
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import leading
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


class Voter:
    """One member of the control group.

    Rules: one vote a term; a leader only appends; an entry is committed
    only with a synced majority in the leader's own term; committed entries
    never change.

    Attributes:
        member_id: Id of this member.
        hard: Synced hard state.
        log: Its log.
        group: The group by the newest entry, committed or not.
        commit_index: Highest committed index.
        applied_index: Highest index handed out to apply.
        role: What it does.
        leader: Id of the leader that it knows, or empty.
        progress: The leader's view of the others, by id.
        synced_index: Highest index synced here.
        snapshot_data: Newest snapshot.
        disowned: Whether a leader proved that this disk was rolled back;
            the member must come back under a new id.
    """

    __slots__ = (
        "member_id",
        "hard",
        "log",
        "group",
        "commit_index",
        "applied_index",
        "role",
        "leader",
        "progress",
        "synced_index",
        "snapshot_data",
        "disowned",
        "timing",
        "rng",
        "deadline",
        "heard_leader_at",
        "votes",
        "round",
        "beat_at",
        "group_index",
        "group_history",
        "effects",
        "hard_dirty",
        "parts",
        "term_start",
        "lead_since",
    )

    def __init__(
        self,
        member_id: str,
        group: group_lib.Group,
        *,
        timing: states.Timing,
        rng: random.Random,
        now: float,
        hard: states.HardState | None = None,
        log: log_lib.Log | None = None,
        snapshot_data: bytes = b"",
    ) -> None:
        """Creates a member, new or with what its disk holds.

        Args:
            member_id: Its id.
            group: The group as of the snapshot, or the first group.
            timing: Periods.
            rng: Source of randomness.
            now: Time in seconds.
            hard: Recovered hard state.
            log: Recovered log; all of it is synced.
            snapshot_data: Newest snapshot, for members far behind.
        """
        self.member_id = member_id
        self.hard = hard or states.HardState()
        self.log = log or log_lib.Log()
        self.snapshot_data = snapshot_data
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.synced_index = self.log.last_index
        self.role = states.Role.FOLLOWER
        self.leader = ""
        self.progress: dict[str, states.Progress] = {}
        self.group = group
        self.group_index = self.log.base_index
        self.group_history = [(self.log.base_index, group)]
        for entry in self.log.entries:
            self.note_group(entry)
        self.timing = timing
        self.rng = rng
        # A member that restarts gives no vote before a living leader had
        # the time to reach it and to find a rolled-back disk.
        restarted = self.log.last_index > 0 or self.hard.term > 0
        self.heard_leader_at = now if restarted else float("-inf")
        self.disowned = False
        self.votes: set[str] = set()
        self.round = 0
        self.beat_at = float("-inf")
        self.effects = states.Effects()
        self.hard_dirty = False
        self.parts: dict[int, bytearray] = {}
        self.term_start = 0
        self.lead_since = 0.0
        self.deadline = now + elections.election_delay(self)

    def take_effects(self) -> states.Effects:
        """Returns and clears what must be synced, sent and applied."""
        effects = self.effects
        self.effects = states.Effects()
        if self.hard_dirty:
            effects.hard_state = dataclasses.replace(self.hard)
            self.hard_dirty = False
        if self.commit_index > self.applied_index:
            effects.committed = self.log.slice(
                self.applied_index + 1, self.commit_index
            )
            self.applied_index = self.commit_index
        return effects

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
            if not elections.has_quorum_contact(self, now):
                elections.step_down(self, self.hard.term, "", now)
                return
            if now - self.beat_at >= self.timing.heartbeat_s:
                leading.broadcast(self, now)
        elif now >= self.deadline and elections.may_vote(self):
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
        if (
            self.role is not states.Role.LEADER
            or not elections.has_quorum_contact(self, now)
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

    def committed_group(self) -> group_lib.Group:
        """Returns the group of the newest committed membership entry."""
        found = self.group_history[0][1]
        for index, group in self.group_history:
            if index <= self.commit_index:
                found = group
        return found

    def note_group(self, entry: log_lib.Entry) -> None:
        """Takes the group of an entry into force."""
        if entry.kind != "members":
            return
        self.group = snapshots.decode_group(entry.data)
        self.group_index = entry.index
        self.group_history.append((entry.index, self.group))
        if self.role is states.Role.LEADER:
            leading.track_members(self)

    def send(self, message: messages.Message) -> None:
        """Adds a message to the effects."""
        self.effects.outgoing.append(message)

    def check_invariants(self) -> None:
        """Asserts the rules that one member can see."""
        assert self.applied_index <= self.commit_index
        assert self.commit_index <= self.log.last_index
        assert self.synced_index <= self.log.last_index
        assert self.log.base_index <= self.applied_index
        if self.role is states.Role.LEADER:
            assert self.leader == self.member_id
            assert self.hard.voted_for == self.member_id
