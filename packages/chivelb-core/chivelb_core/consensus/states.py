"""Plain data of a voter: roles, periods, progress and effects."""

import dataclasses
import enum

from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import messages


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
