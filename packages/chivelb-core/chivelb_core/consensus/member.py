"""State and invariants of one member of the control group."""

import dataclasses
import random

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


class Member:
    """Raft state of one member of the control group, voter or learner.

    ``Voter`` adds the handling of messages, ticks and proposals. The member's
    entry in the configuration is ``consensus.group.Member``.

    Invariants: one vote per term; a leader never overwrites its own entries;
    an entry is committed only once a majority has synced an entry of the
    leader's current term at or after it; committed entries never change.

    Attributes:
        member_id: Id of this member.
        hard_state: Persistent state: term and vote.
        log: Log of this member.
        group: Group of the newest membership entry, committed or not.
        commit_index: Highest committed index.
        applied_index: Highest index returned for application.
        role: Current role.
        leader: Id of the known leader, or empty.
        progress: Replication progress by member id; only on the leader.
        synced_index: Highest index synced to the local disk.
        snapshot_data: Newest snapshot, encoded.
        disowned: Whether a leader detected that the disk was rolled back;
            the member must join again under a new id.
        timing: Time-outs and periods.
        rng: Source of randomness.
        deadline: Monotonic time of the next election, in seconds.
        last_leader_contact_at: Monotonic time of the newest message from
            the leader, or of the restart, in seconds.
        votes: Ids of the voters that granted a vote.
        round_number: Number that the leader's appends carry and the replies
            repeat. It rises with each heartbeat and each time that a
            member's match index rises.
        last_heartbeat_at: Monotonic time of the newest heartbeat, in seconds.
        group_index: Index of the entry that defined ``group``.
        group_history: Groups with the index of their entry, oldest first.
        effects: Effects collected since the last ``take_effects``.
        hard_state_dirty: Whether ``hard_state`` changed since ``take_effects``.
        snapshot_buffers: Received bytes of a snapshot by its last index.
        term_start_index: Index of the first entry of the leader's term.
        leader_since: Monotonic time at which this member became the
            leader, in seconds.
    """

    __slots__ = (
        "member_id",
        "hard_state",
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
        "last_leader_contact_at",
        "votes",
        "round_number",
        "last_heartbeat_at",
        "group_index",
        "group_history",
        "effects",
        "hard_state_dirty",
        "snapshot_buffers",
        "term_start_index",
        "leader_since",
    )

    def __init__(
        self,
        member_id: str,
        group: group_lib.Group,
        *,
        timing: states.Timing,
        rng: random.Random,
        now: float,
        hard_state: states.HardState | None = None,
        log: log_lib.Log | None = None,
        snapshot_data: bytes = b"",
    ) -> None:
        """Creates a member, new or recovered from disk.

        Args:
            member_id: Id of the member.
            group: Group in the snapshot, or the initial group.
            timing: Time-outs and periods.
            rng: Source of randomness.
            now: Monotonic time in seconds.
            hard_state: Recovered persistent state.
            log: Recovered log; all entries are synced.
            snapshot_data: Newest snapshot, sent to members whose next entry
                is compacted.
        """
        self.member_id = member_id
        self.hard_state = hard_state or states.HardState()
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
            self.update_group(entry)
        self.timing = timing
        self.rng = rng
        # After a restart a member grants no vote for an election time-out, so
        # that a live leader can contact it first and detect a rolled-back
        # disk.
        restarted = self.log.last_index > 0 or self.hard_state.term > 0
        self.last_leader_contact_at = now if restarted else float("-inf")
        self.disowned = False
        self.votes: set[str] = set()
        self.round_number = 0
        self.last_heartbeat_at = float("-inf")
        self.effects = states.Effects()
        self.hard_state_dirty = False
        self.snapshot_buffers: dict[int, bytearray] = {}
        self.term_start_index = 0
        self.leader_since = 0.0
        self.deadline = now + self.election_delay()

    def take_effects(self) -> states.Effects:
        """Returns and clears the pending effects."""
        effects = self.effects
        self.effects = states.Effects()
        if self.hard_state_dirty:
            effects.hard_state = dataclasses.replace(self.hard_state)
            self.hard_state_dirty = False
        if self.commit_index > self.applied_index:
            effects.committed = self.log.slice(
                self.applied_index + 1, self.commit_index
            )
            self.applied_index = self.commit_index
        return effects

    def may_start_election(self) -> bool:
        """Returns whether this member is a voter whose disk is trusted."""
        return self.member_id in self.group.voters and not self.disowned

    def needs_admission(self, now: float) -> bool:
        """Returns whether this member should ask to join the group.

        A member without contact to a leader may have been removed, or its
        admission was lost with the leader that granted it. A leader that knows
        the member ignores the request.
        """
        if self.role is states.Role.LEADER or self.disowned:
            return False
        silent_s = now - self.last_leader_contact_at
        return silent_s >= self.timing.replace_after_s

    def election_delay(self) -> float:
        """Returns a randomized election time-out in seconds."""
        return self.timing.election_timeout_s * (1.0 + self.rng.random())

    def step_down(self, term: int, leader: str, now: float) -> None:
        """Becomes a follower and adopts a newer term.

        Args:
            term: Newest term seen.
            leader: Id of the leader of the term, or empty if unknown.
            now: Monotonic time in seconds.
        """
        if term > self.hard_state.term:
            self.hard_state = states.HardState(term, "")
            self.hard_state_dirty = True
        self.role = states.Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.deadline = now + self.election_delay()

    def has_quorum_contact(self, now: float) -> bool:
        """Returns whether a majority replied within the election time-out.

        A new leader counts as in contact for one election time-out.
        """
        contact_cutoff = now - self.timing.election_timeout_s
        if self.leader_since > contact_cutoff:
            return True
        contacted = {
            member_id
            for member_id, progress in self.progress.items()
            if progress.last_reply_at > contact_cutoff
        }
        return self.group.is_quorum(contacted | {self.member_id})

    def reconcile_progress(self, now: float) -> None:
        """Adds and removes progress entries to match the current group."""
        for member_id in self.group.members:
            if member_id != self.member_id and member_id not in self.progress:
                self.progress[member_id] = states.Progress(
                    self.log.last_index + 1, now
                )
        for member_id in list(self.progress):
            if member_id not in self.group.members:
                del self.progress[member_id]

    def committed_group(self) -> group_lib.Group:
        """Returns the group of the newest committed membership entry."""
        committed = self.group_history[0][1]
        for index, group in self.group_history:
            if index <= self.commit_index:
                committed = group
        return committed

    def update_group(self, entry: log_lib.Entry) -> None:
        """Adopts the group of a membership entry; ignores other entries.

        As in Raft, a group takes effect when appended, before its commit.
        """
        if entry.kind != "members":
            return
        self.group = snapshots.decode_group(entry.data)
        self.group_index = entry.index
        self.group_history.append((entry.index, self.group))

    def send(self, message: messages.Message) -> None:
        """Adds an outgoing message to the effects."""
        self.effects.outgoing.append(message)

    def check_invariants(self) -> None:
        """Asserts the invariants that can be checked on one member."""
        assert self.applied_index <= self.commit_index, (
            f"applied index {self.applied_index} is beyond the commit index "
            f"{self.commit_index}"
        )
        assert self.commit_index <= self.log.last_index, (
            f"commit index {self.commit_index} is beyond the last log index "
            f"{self.log.last_index}"
        )
        assert self.synced_index <= self.log.last_index, (
            f"synced index {self.synced_index} is beyond the last log index "
            f"{self.log.last_index}"
        )
        assert self.log.base_index <= self.applied_index, (
            f"snapshot index {self.log.base_index} is beyond the applied "
            f"index {self.applied_index}"
        )
        if self.role is states.Role.LEADER:
            assert self.leader == self.member_id, (
                f"{self.member_id} leads but names {self.leader!r} as leader"
            )
            assert self.hard_state.voted_for == self.member_id, (
                f"{self.member_id} leads but voted for "
                f"{self.hard_state.voted_for!r}"
            )
