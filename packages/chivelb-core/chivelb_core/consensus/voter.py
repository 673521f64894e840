"""Aggregate of one member of the control group.

The election and replication rules follow the Raft algorithm with pre-vote
and check-quorum. Time, randomness and messages are passed in. What must be
synced, sent and applied comes out of ``take_effects``; the caller syncs
before it sends.
"""

import dataclasses
import enum
import random

import msgspec

from chivelb_core import codes
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages

MAX_ENTRIES_PER_APPEND = 200
SNAPSHOT_PART_BYTES = 262_144


class Role(enum.Enum):
    """What a member does at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Timing:
    """Periods in seconds.

    Attributes:
        election_s: Silence after which an election may start; also the
            bound within which an isolated leader steps down.
        heartbeat_s: Period of the leader's heartbeats.
    """

    election_s: float = 1.0
    heartbeat_s: float = 0.15


@dataclasses.dataclass(slots=True)
class Progress:
    """The leader's view of another member.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index known to be synced there.
        heard_at: Time of its newest reply, in seconds.
        acked_round: Newest heartbeat round that it answered.
        sent_at: Time of the newest append, in seconds.
        part_offset: Offset of the snapshot piece under way, or None.
        match_round: First round whose messages were sent after
            ``match_index`` was known.
        rolled_back: Whether it lost entries that it had acknowledged.
    """

    next_index: int
    match_index: int = 0
    heard_at: float = float("-inf")
    acked_round: int = 0
    sent_at: float = float("-inf")
    part_offset: int | None = None
    match_round: int = 0
    rolled_back: bool = False


@dataclasses.dataclass(slots=True)
class HardState:
    """What a member must never forget.

    Attributes:
        term: Highest term seen.
        voted_for: Candidate voted for in that term, or empty.
    """

    term: int = 0
    voted_for: str = ""


@dataclasses.dataclass(slots=True)
class Effects:
    """What a step asks of the caller, in this order: sync, send, apply.

    Attributes:
        hard_state: Hard state to sync, or None.
        truncate_from: Index from which stored entries are void, or None.
        entries: Entries to store and sync.
        snapshot: Snapshot to store: index, term and data; or None.
        outgoing: Messages to send after the sync.
        committed: Entries to apply, in order.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: list[log_lib.Entry] = dataclasses.field(default_factory=list)
    snapshot: tuple[int, int, bytes] | None = None
    outgoing: list[messages.Message] = dataclasses.field(default_factory=list)
    committed: list[log_lib.Entry] = dataclasses.field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is asked."""
        return not (self.needs_sync or self.outgoing or self.committed)

    @property
    def needs_sync(self) -> bool:
        """Whether anything must be synced before messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot) or (
            self.truncate_from is not None
        )


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
        "_timing",
        "_rng",
        "_deadline",
        "_heard_leader_at",
        "_votes",
        "_round",
        "_beat_at",
        "_group_index",
        "_group_history",
        "_effects",
        "_hard_dirty",
        "_parts",
        "_term_start",
        "_lead_since",
    )

    def __init__(
        self,
        member_id: str,
        group: group_lib.Group,
        *,
        timing: Timing,
        rng: random.Random,
        now: float,
        hard: HardState | None = None,
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
        self.hard = hard or HardState()
        self.log = log or log_lib.Log()
        self.snapshot_data = snapshot_data
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.synced_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.progress: dict[str, Progress] = {}
        self.group = group
        self._group_index = self.log.base_index
        self._group_history = [(self.log.base_index, group)]
        for entry in self.log.entries:
            self._note_group(entry)
        self._timing = timing
        self._rng = rng
        # A member that restarts gives no vote before a living leader had
        # the time to reach it and to find a rolled-back disk.
        restarted = self.log.last_index > 0 or self.hard.term > 0
        self._heard_leader_at = now if restarted else float("-inf")
        self.disowned = False
        self._votes: set[str] = set()
        self._round = 0
        self._beat_at = float("-inf")
        self._effects = Effects()
        self._hard_dirty = False
        self._parts: dict[int, bytearray] = {}
        self._term_start = 0
        self._lead_since = 0.0
        self._deadline = now + self._election_delay()

    def take_effects(self) -> Effects:
        """Returns and clears what must be synced, sent and applied."""
        effects = self._effects
        self._effects = Effects()
        if self._hard_dirty:
            effects.hard_state = dataclasses.replace(self.hard)
            self._hard_dirty = False
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
        if self.role is Role.LEADER:
            self._advance_commit(now)

    def tick(self, now: float) -> None:
        """Lets time pass: elections, heartbeats and check-quorum."""
        if self.role is Role.LEADER:
            if not self._has_quorum_contact(now):
                self._step_down(self.hard.term, "", now)
                return
            if now - self._beat_at >= self._timing.heartbeat_s:
                self._broadcast(now)
        elif now >= self._deadline and self._may_vote():
            self._start_pre_vote(now)

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
                self._on_vote_request(message, now)
            case messages.VoteReply():
                self._on_vote_reply(message, now)
            case messages.Append():
                self._on_append(message, now)
            case messages.AppendReply():
                self._on_append_reply(message, now)
            case messages.SnapshotPart():
                self._on_snapshot_part(message, now)
            case messages.SnapshotReply():
                self._on_snapshot_reply(message, now)
            case messages.Disown():
                self._on_disown(message, now)

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
        if self.role is not Role.LEADER or not self._has_quorum_contact(now):
            return None
        entry = log_lib.Entry(
            self.log.last_index + 1, self.hard.term, kind, data
        )
        self._append_own(entry)
        for member_id in self.progress:
            self._send_append(member_id, now)
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
        if self.role is not Role.LEADER:
            return codes.Fault(codes.NO_QUORUM, "this member does not lead")
        if self._group_index > self.commit_index:
            return codes.Fault(
                codes.CHANGE_CONFLICT, "another change of members is pending"
            )
        if self.commit_index < self._term_start:
            return codes.Fault(codes.NO_QUORUM, "the term has just begun")
        fault = group_lib.find_step_fault(self.group, group)
        if fault is not None:
            return fault
        appended = self.propose("members", encode_group(group), now)
        if appended is None:
            return codes.Fault(codes.NO_QUORUM)
        return appended

    def start_read(self, now: float) -> int | None:
        """Starts proving leadership for a read; None when not leading."""
        if self.role is not Role.LEADER:
            return None
        if self.commit_index < self._term_start:
            return None
        self._broadcast(now)
        return self._round

    def is_read_confirmed(self, round_number: int) -> bool:
        """Tells whether a majority answered a round of heartbeats."""
        if self.role is not Role.LEADER:
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
        self._group_history = [
            (at, group) for at, group in self._group_history if at > index
        ] or [(index, self.group)]

    def committed_group(self) -> group_lib.Group:
        """Returns the group of the newest committed membership entry."""
        found = self._group_history[0][1]
        for index, group in self._group_history:
            if index <= self.commit_index:
                found = group
        return found

    # Elections.

    def _may_vote(self) -> bool:
        return self.member_id in self.group.voters and not self.disowned

    def _election_delay(self) -> float:
        return self._timing.election_s * (1.0 + self._rng.random())

    def _start_pre_vote(self, now: float) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._ask_votes(self.hard.term + 1, pre=True, now=now)

    def _start_election(self, now: float) -> None:
        self.role = Role.CANDIDATE
        self.hard = HardState(self.hard.term + 1, self.member_id)
        self._hard_dirty = True
        self._ask_votes(self.hard.term, pre=False, now=now)

    def _ask_votes(self, term: int, *, pre: bool, now: float) -> None:
        self._votes = {self.member_id}
        self._deadline = now + self._election_delay()
        for member_id in self.group.voters - {self.member_id}:
            self._send(
                messages.VoteRequest(
                    member_id,
                    self.member_id,
                    term,
                    self.log.last_index,
                    self.log.last_term,
                    pre,
                )
            )
        self._count_votes(now)

    def _on_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> None:
        silent = now - self._heard_leader_at >= self._timing.election_s
        leading = self.role is Role.LEADER and self._has_quorum_contact(now)
        undisturbed = leading or not silent
        if request.pre:
            granted = (
                request.term > self.hard.term
                and not undisturbed
                and self._is_up_to_date(request)
            )
            self._reply_vote(request, request.term, granted)
            return
        if undisturbed and request.term > self.hard.term:
            # A member that hears its leader is not drawn into an election.
            return
        if request.term > self.hard.term:
            self._step_down(request.term, "", now)
        granted = (
            request.term == self.hard.term
            and self.hard.voted_for in ("", request.from_member)
            and self._is_up_to_date(request)
        )
        if granted:
            if self.hard.voted_for != request.from_member:
                self.hard.voted_for = request.from_member
                self._hard_dirty = True
            self._deadline = now + self._election_delay()
        self._reply_vote(request, self.hard.term, granted)

    def _reply_vote(
        self, request: messages.VoteRequest, term: int, granted: bool
    ) -> None:
        self._send(
            messages.VoteReply(
                request.from_member, self.member_id, term, granted, request.pre
            )
        )

    def _is_up_to_date(self, request: messages.VoteRequest) -> bool:
        mine = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= mine

    def _on_vote_reply(self, reply: messages.VoteReply, now: float) -> None:
        if not reply.pre and reply.term > self.hard.term:
            self._step_down(reply.term, "", now)
            return
        if not reply.granted:
            return
        if reply.pre:
            wanted = self.role is Role.PRE_CANDIDATE
            wanted = wanted and reply.term == self.hard.term + 1
        else:
            wanted = self.role is Role.CANDIDATE
            wanted = wanted and reply.term == self.hard.term
        if wanted:
            self._votes.add(reply.from_member)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.group.is_quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.member_id
        self._lead_since = now
        self.progress = {}
        self._track_members()
        entry = log_lib.Entry(
            self.log.last_index + 1, self.hard.term, "noop", b""
        )
        self._term_start = entry.index
        self._append_own(entry)
        self._broadcast(now)

    def _step_down(self, term: int, leader: str, now: float) -> None:
        if term > self.hard.term:
            self.hard = HardState(term, "")
            self._hard_dirty = True
        self.role = Role.FOLLOWER
        self.leader = leader
        self.progress = {}
        self._deadline = now + self._election_delay()

    def _has_quorum_contact(self, now: float) -> bool:
        since = now - self._timing.election_s
        if self._lead_since > since:
            return True
        heard = {
            member_id
            for member_id, progress in self.progress.items()
            if progress.heard_at > since
        }
        return self.group.is_quorum(heard | {self.member_id})

    # Replication, leader's side.

    def _append_own(self, entry: log_lib.Entry) -> None:
        assert self.role is Role.LEADER, "only a leader appends"
        self.log.append(entry)
        self._effects.entries.append(entry)
        self._note_group(entry)

    def _track_members(self) -> None:
        for member_id in self.group.members:
            if member_id != self.member_id and member_id not in self.progress:
                self.progress[member_id] = Progress(self.log.last_index + 1)
        for member_id in list(self.progress):
            if member_id not in self.group.members:
                del self.progress[member_id]

    def _broadcast(self, now: float) -> None:
        self._round += 1
        self._beat_at = now
        for member_id in self.progress:
            self._send_append(member_id, now)

    def _send_append(self, member_id: str, now: float) -> None:
        progress = self.progress[member_id]
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_part(member_id, progress, now)
            return
        last = min(self.log.last_index, previous + MAX_ENTRIES_PER_APPEND)
        entries = self.log.slice(previous + 1, last) if last > previous else []
        progress.sent_at = now
        # Sent ahead of the reply; a refusal moves it back.
        progress.next_index = last + 1
        self._send(
            messages.Append(
                member_id,
                self.member_id,
                self.hard.term,
                previous,
                previous_term,
                entries,
                self.commit_index,
                self._round,
            )
        )

    def _send_part(
        self, member_id: str, progress: Progress, now: float
    ) -> None:
        offset = progress.part_offset or 0
        progress.part_offset = offset
        progress.sent_at = now
        self._send(
            messages.SnapshotPart(
                member_id,
                self.member_id,
                self.hard.term,
                self.log.base_index,
                self.log.base_term,
                offset,
                len(self.snapshot_data),
                self.snapshot_data[offset : offset + SNAPSHOT_PART_BYTES],
            )
        )

    def _on_append_reply(self, reply: messages.AppendReply, now: float) -> None:
        if reply.term > self.hard.term:
            self._step_down(reply.term, "", now)
            return
        progress = self.progress.get(reply.from_member)
        if (
            self.role is not Role.LEADER
            or progress is None
            or reply.term < self.hard.term
        ):
            return
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, reply.round)
        if reply.ok:
            self._raise_match(progress, reply.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            self._advance_commit(now)
            if progress.next_index <= self.log.last_index:
                self._send_append(reply.from_member, now)
            return
        if reply.match_index < progress.match_index:
            self._doubt(reply, progress)
        progress.next_index = max(
            1, min(progress.next_index, reply.match_index + 1)
        )
        self._send_append(reply.from_member, now)

    def _raise_match(self, progress: Progress, index: int) -> None:
        if index > progress.match_index:
            progress.match_index = index
            self._round += 1
            progress.match_round = self._round

    def _doubt(self, reply: messages.AppendReply, progress: Progress) -> None:
        """Finds out whether a member lost entries that it acknowledged.

        A late reply may deny them as well, so only a reply to a message
        sent after the acknowledgement is proof; see
        docs/design/consensus.md.
        """
        if reply.round >= progress.match_round:
            progress.rolled_back = True
        if progress.rolled_back:
            self._send(
                messages.Disown(
                    reply.from_member, self.member_id, self.hard.term
                )
            )

    def _on_disown(self, message: messages.Disown, now: float) -> None:
        if message.term >= self.hard.term:
            self.disowned = True
            self.role = Role.FOLLOWER

    def _on_snapshot_reply(
        self, reply: messages.SnapshotReply, now: float
    ) -> None:
        if reply.term > self.hard.term:
            self._step_down(reply.term, "", now)
            return
        progress = self.progress.get(reply.from_member)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.heard_at = now
        if reply.index != self.log.base_index:
            progress.part_offset = None
        elif reply.offset >= len(self.snapshot_data):
            progress.part_offset = None
            self._raise_match(progress, reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
        else:
            progress.part_offset = reply.offset
        self._send_append(reply.from_member, now)

    def _advance_commit(self, now: float) -> None:
        matches = sorted(
            (self._match_of(member_id) for member_id in self.group.voters),
            reverse=True,
        )
        index = matches[self.group.quorum - 1]
        if index <= self.commit_index:
            return
        if self.log.term_at(index) != self.hard.term:
            return
        assert index <= self.log.last_index, "commit beyond the log"
        self.commit_index = index
        if (
            self._group_index <= self.commit_index
            and self.member_id not in self.group.voters
        ):
            self._step_down(self.hard.term, "", now)

    def _match_of(self, member_id: str) -> int:
        if member_id == self.member_id:
            return self.synced_index
        progress = self.progress.get(member_id)
        if progress is None or progress.rolled_back:
            return 0
        return progress.match_index

    # Replication, follower's side.

    def _on_append(self, message: messages.Append, now: float) -> None:
        if message.term < self.hard.term:
            self._reply_append(message, ok=False, index=0)
            return
        self._follow(message, now)
        if message.prev_index < self.log.base_index:
            self._reply_append(message, ok=True, index=self.log.base_index)
            return
        if self.log.term_at(message.prev_index) != message.prev_term:
            hint = min(self.log.last_index, message.prev_index - 1)
            self._reply_append(message, ok=False, index=max(hint, 0))
            return
        self._store(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        self._reply_append(message, ok=True, index=match)

    def _follow(
        self, message: messages.Append | messages.SnapshotPart, now: float
    ) -> None:
        if message.term > self.hard.term or self.role is not Role.FOLLOWER:
            assert not (
                self.role is Role.LEADER and message.term == self.hard.term
            ), "two leaders in a term"
            self._step_down(message.term, message.from_member, now)
        self.leader = message.from_member
        self._heard_leader_at = now
        self._deadline = now + self._election_delay()

    def _store(self, entries: list[log_lib.Entry]) -> None:
        for entry in entries:
            term = self.log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                assert entry.index > self.commit_index, (
                    "a committed entry would change"
                )
                self._truncate(entry.index)
            self.log.append(entry)
            self._effects.entries.append(entry)
            self._note_group(entry)

    def _truncate(self, index: int) -> None:
        self.log.truncate(index)
        self.synced_index = min(self.synced_index, index - 1)
        effects = self._effects
        effects.entries = [e for e in effects.entries if e.index < index]
        if effects.truncate_from is None:
            effects.truncate_from = index
        effects.truncate_from = min(effects.truncate_from, index)
        self._group_history = [
            (at, group) for at, group in self._group_history if at < index
        ]
        self._group_index, self.group = self._group_history[-1]

    def _reply_append(
        self, message: messages.Append, *, ok: bool, index: int
    ) -> None:
        self._send(
            messages.AppendReply(
                message.from_member,
                self.member_id,
                self.hard.term,
                ok,
                index,
                message.round,
            )
        )

    def _on_snapshot_part(
        self, part: messages.SnapshotPart, now: float
    ) -> None:
        if part.term < self.hard.term:
            self._reply_part(part, 0)
            return
        self._follow(part, now)
        if part.index <= self.commit_index:
            self._reply_part(part, part.total)
            return
        buffer = self._parts.get(part.index)
        if buffer is None:
            self._parts = {part.index: bytearray()}
            buffer = self._parts[part.index]
        if part.offset == len(buffer):
            buffer += part.data
        if len(buffer) < part.total:
            self._reply_part(part, len(buffer))
            return
        self._install(part.index, part.index_term, bytes(buffer))
        self._parts = {}
        self._reply_part(part, part.total)

    def _install(self, index: int, term: int, data: bytes) -> None:
        self.log.reset(index, term)
        self.snapshot_data = data
        self.commit_index = index
        self.applied_index = index
        self.synced_index = index
        self.group = decode_snapshot_group(data)
        self._group_index = index
        self._group_history = [(index, self.group)]
        self._effects.entries = []
        self._effects.truncate_from = None
        self._effects.snapshot = (index, term, data)

    def _reply_part(self, part: messages.SnapshotPart, offset: int) -> None:
        self._send(
            messages.SnapshotReply(
                part.from_member,
                self.member_id,
                self.hard.term,
                part.index,
                offset,
            )
        )

    # Shared.

    def _note_group(self, entry: log_lib.Entry) -> None:
        if entry.kind != "members":
            return
        self.group = decode_group(entry.data)
        self._group_index = entry.index
        self._group_history.append((entry.index, self.group))
        if self.role is Role.LEADER:
            self._track_members()

    def _send(self, message: messages.Message) -> None:
        self._effects.outgoing.append(message)

    def check_invariants(self) -> None:
        """Asserts the rules that one member can see."""
        assert self.applied_index <= self.commit_index
        assert self.commit_index <= self.log.last_index
        assert self.synced_index <= self.log.last_index
        assert self.log.base_index <= self.applied_index
        if self.role is Role.LEADER:
            assert self.leader == self.member_id
            assert self.hard.voted_for == self.member_id


class Snapshot(msgspec.Struct, frozen=True):
    """What a snapshot holds.

    Attributes:
        group: The control group.
        state: The encoded state machine.
    """

    group: group_lib.Group
    state: bytes


def encode_snapshot(group: group_lib.Group, state: bytes) -> bytes:
    """Encodes a snapshot."""
    return msgspec.msgpack.encode(Snapshot(group, state))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot."""
    return msgspec.msgpack.decode(data, type=Snapshot)


def decode_snapshot_group(data: bytes) -> group_lib.Group:
    """Returns the control group of a snapshot."""
    return decode_snapshot(data).group


def encode_group(group: group_lib.Group) -> bytes:
    """Encodes a group for an entry."""
    return msgspec.msgpack.encode(group)


def decode_group(data: bytes) -> group_lib.Group:
    """Decodes a group from an entry."""
    return msgspec.msgpack.decode(data, type=group_lib.Group)
