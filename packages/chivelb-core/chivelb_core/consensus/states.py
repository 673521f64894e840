"""Data types of a member: role, timing, progress and effects."""

import dataclasses
import enum

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages


class Role(enum.Enum):
    """Raft role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Timing:
    """Time-outs and periods in seconds.

    Attributes:
        election_timeout_s: Time without contact with the leader after which
            an election may start; an isolated leader also steps down within
            this time.
        heartbeat_period_s: Period of the leader's heartbeats.
        replace_after_s: Time without a reply after which a member counts as
            unreachable, so that a learner may take its place as a voter.
        discard_after_s: Time without a reply after which a learner is removed.
    """

    election_timeout_s: float = 1.0
    heartbeat_period_s: float = 0.15
    replace_after_s: float = 2.0
    discard_after_s: float = 10.0


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of another member, kept by the leader.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index known to be synced on the member.
        tracked_since: Monotonic time at which the leader began to send to the
            member, in seconds.
        last_reply_at: Monotonic time of the newest reply, in seconds.
        acked_round: Highest round number that the member replied to.
        last_sent_at: Monotonic time of the newest append, in seconds.
        snapshot_offset: Offset of the snapshot part in transfer, in bytes, or
            None.
        match_round: Lowest round number that only messages sent after
            ``match_index`` was known carry.
        rolled_back: Whether the member lost acknowledged entries.
    """

    next_index: int
    tracked_since: float
    match_index: int = 0
    last_reply_at: float = float("-inf")
    acked_round: int = 0
    last_sent_at: float = float("-inf")
    snapshot_offset: int | None = None
    match_round: int = 0
    rolled_back: bool = False

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the newest reply, or since the start."""
        return now - max(self.last_reply_at, self.tracked_since)


@dataclasses.dataclass(slots=True)
class HardState:
    """Persistent state, synced before any message that depends on it.

    Attributes:
        term: Highest term seen.
        voted_for: Candidate that got the vote in ``term``, or empty.
    """

    term: int = 0
    voted_for: str = ""


@dataclasses.dataclass(slots=True)
class Effects:
    """Work for the caller, in this order: sync, send, apply.

    Attributes:
        hard_state: Persistent state to sync, or None.
        truncate_from: Index from which stored entries are discarded, or
            None.
        entries: Entries to store and sync.
        snapshot: Index, term and data of a snapshot to store, or None.
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
        """Whether there is nothing to do."""
        return not (self.needs_sync or self.outgoing or self.committed)

    @property
    def needs_sync(self) -> bool:
        """Whether anything must be synced before messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot) or (
            self.truncate_from is not None
        )
