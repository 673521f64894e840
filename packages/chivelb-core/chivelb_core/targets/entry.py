"""State of one target as known to an instance."""

import dataclasses
import math

from chivelb_core.targets import record as record_lib

# Time after a rest in which a target gets no more requests than it has slots:
# those that waited for the end of the rest would come all at once.
CAREFUL_AFTER_S = 3.0
# Incarnations of an identity that are remembered to have left.
MAX_LEFT_INCARNATIONS = 8


@dataclasses.dataclass(slots=True)
class Challenge:
    """Announcements of an incarnation that is earlier than the known one.

    Attributes:
        incarnation: The earlier incarnation.
        sequence: Sequence of its newest announcement.
        heard_since: Monotonic time of the first one of a series without long
            pauses, in seconds.
        heard_at: Monotonic time of the newest one, in seconds.
    """

    incarnation: int
    sequence: int
    heard_since: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class TargetEntry:
    """State of one target as known to this instance.

    Attributes:
        record: Newest announcement.
        announced_at: Monotonic time when that announcement was applied, in
            seconds.
        expires_at: Monotonic time when the lease expires, in seconds.
        is_leaving: Whether this incarnation has announced that it is leaving.
        failed_at: Monotonic time of the last failure that this instance
            observed, in seconds; None without one, or after a success.
        is_unreachable: Whether this instance could not open a connection to it
            and has opened none since.
        is_unconfirmed: Whether a connection to it was lost since its last
            heartbeat, so that it may have started again.
        no_path_until: Monotonic time until which peers are not asked to send
            requests to it, because none of them reached it either, in seconds.
        is_replaced: Whether another target holds its address; see ``claims``.
        problem: Why the announcement names no target to use; empty if it does.
        claim_number: Number of the announcement among all that were applied.
        heard_since: Monotonic time of the first announcement of the present
            series, which has no long pauses, in seconds.
        refuted: Incarnation of its identity whose announcements are void, and
            the sequence up to which they are; negative if none are.
        left: Earlier incarnations of its identity that are known to have left.
        challenge: Announcements of an earlier incarnation since; None without
            any.
        paused_until: Monotonic time until which the target receives no new
            requests because its weights are being changed, in seconds.
        resting_until: Monotonic time until which it receives none of this
            instance because it had no room for one, in seconds.
        is_brittle: Whether it says that it stops if it has to turn away many
            requests for want of room.
        cold_until: Monotonic time until which it is cold, in seconds.
        cold_learned_at: Monotonic time at which that was learned, in seconds.
        is_cold_presumed: Whether it has reported no cold time yet, so that
            ``cold_until`` follows from what its service declares.
    """

    record: record_lib.TargetRecord
    announced_at: float
    expires_at: float
    is_leaving: bool = False
    failed_at: float | None = None
    is_unreachable: bool = False
    is_unconfirmed: bool = False
    no_path_until: float = -math.inf
    is_replaced: bool = False
    problem: str = ""
    claim_number: int = 0
    heard_since: float = -math.inf
    refuted: tuple[int, int] = (-1, -1)
    left: frozenset[int] = frozenset()
    challenge: Challenge | None = None
    paused_until: float = -math.inf
    resting_until: float = -math.inf
    is_brittle: bool = False
    cold_until: float = -math.inf
    cold_learned_at: float = -math.inf
    is_cold_presumed: bool = False

    @property
    def is_refuted(self) -> bool:
        """Whether its newest announcement is void."""
        return self.voids(self.record)

    def voids(self, record: record_lib.TargetRecord) -> bool:
        """Returns whether an announcement of its identity is void."""
        incarnation, sequence = self.refuted
        return record.incarnation == incarnation and record.sequence <= sequence

    @property
    def is_ended(self) -> bool:
        """Whether it gets no requests, whatever comes of it but a new claim."""
        return self.is_leaving or self.is_replaced

    def succeed(self, known: "TargetEntry") -> None:
        """Takes over what is known of other incarnations of its identity.

        Args:
            known: State as of an announcement of any incarnation.
        """
        self.refuted = known.refuted
        left = known.left
        if known.is_leaving:
            left |= {known.record.incarnation}
        self.left = frozenset(sorted(left)[-MAX_LEFT_INCARNATIONS:])
        if self.record.incarnation in self.left:
            self.is_leaving = True

    def inherit(self, known: "TargetEntry", series_gap_s: float) -> None:
        """Takes over what is known of the same incarnation.

        Args:
            known: State as of an earlier announcement.
            series_gap_s: Time in which a further announcement belongs to the
                same series, in seconds.
        """
        self.is_leaving = self.is_leaving or known.is_leaving
        if self.announced_at - known.announced_at < series_gap_s:
            self.heard_since = known.heard_since
        self.failed_at = known.failed_at
        self.is_unreachable = known.is_unreachable
        self.no_path_until = known.no_path_until
        self.paused_until = known.paused_until
        self.resting_until = known.resting_until
        self.is_brittle = known.is_brittle
        self.cold_until = known.cold_until
        self.cold_learned_at = known.cold_learned_at
        self.is_cold_presumed = known.is_cold_presumed

    def needs_room(self, now: float) -> bool:
        """Returns whether requests must not be turned away there.

        Args:
            now: Monotonic time in seconds.
        """
        return self.is_brittle or now - self.resting_until < CAREFUL_AFTER_S
