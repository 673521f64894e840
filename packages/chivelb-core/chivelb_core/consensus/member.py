"""State of one member of the control group, and its own rules."""

import dataclasses
import random

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states


class Member:
    """State of one member of the control group.

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
        self.deadline = now + self.election_delay()

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

    def may_vote(self) -> bool:
        """Tells whether this member votes in the present group."""
        return self.member_id in self.group.voters and not self.disowned

    def election_delay(self) -> float:
        """Returns a random time until the next election, in seconds."""
        return self.timing.election_s * (1.0 + self.rng.random())

    def step_down(self, term: int, leader: str, now: float) -> None:
        """Follows, in a newer term if there is one."""
        if term > self.hard.term:
            self.hard = states.HardState(term, "")
            self.hard_dirty = True
        self.role = states.Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self.deadline = now + self.election_delay()

    def has_quorum_contact(self, now: float) -> bool:
        """Tells whether a majority answered lately."""
        since = now - self.timing.election_s
        if self.lead_since > since:
            return True
        heard = {
            member_id
            for member_id, progress in self.progress.items()
            if progress.heard_at > since
        }
        return self.group.is_quorum(heard | {self.member_id})

    def track_members(self) -> None:
        """Starts and ends progress as the group changes."""
        for member_id in self.group.members:
            if member_id != self.member_id and member_id not in self.progress:
                self.progress[member_id] = states.Progress(
                    self.log.last_index + 1
                )
        for member_id in list(self.progress):
            if member_id not in self.group.members:
                del self.progress[member_id]

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
            self.track_members()

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
