"""Which instances may send requests to a cold target, and when.

A target that has just started handles only some requests a second, from all
instances together, and may crash well above that rate. The instances agree on
who may send without messages: the first few by rendezvous hashing, each at
most once in an interval; see docs/design/cold-targets.md.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from chivelb_core import targets
from chivelb_core.forwarding import assignment
from chivelb_core.forwarding import request_limits

# Least interval between two requests of one instance to a cold target. It is
# longer than the second in which a target counts its requests by the time that
# one request may be delayed more than the next.
MIN_INTERVAL_S = 1.1
# Longer intervals would only be needed for rates below 0.1 a second.
MAX_INTERVAL_S = 10.0
MS_PER_S = 1_000.0
# Ranked targets that are remembered for one list of instances.
MAX_RANKED = 20_000

# Names of the known instances that place calls, by availability zone.
Members = Mapping[str, Sequence[str]]


class ColdTimeError(ValueError):
    """A cold time that a target reports can't be understood."""


def parse_cold_time(values: Sequence[str]) -> float | None:
    """Returns the cold time that a response reports.

    Args:
        values: All values of the header, each in milliseconds.

    Returns:
        Time in seconds for which the target stays cold; 0 if it is warm. None
        if the response reports nothing.

    Raises:
        ColdTimeError: The time is reported more than once, is no decimal
            number, or is longer than
            ``targets.MAX_COLD_S``.
    """
    try:
        cold_ms = request_limits.parse_limit(values)
    except request_limits.LimitError as error:
        raise ColdTimeError(str(error)) from None
    return None if cold_ms is None else check_cold_time(cold_ms / MS_PER_S)


def check_cold_time(cold_s: float) -> float:
    """Returns a cold time in seconds, if a target may report it.

    Raises:
        ColdTimeError: It is negative, not finite, or too long.
    """
    if not 0.0 <= cold_s <= targets.MAX_COLD_S:
        raise ColdTimeError(
            f"{cold_s:g} s is not from 0 to {targets.MAX_COLD_S:g} s"
        )
    return cold_s


def sender_count(rate_per_s: float) -> int:
    """Returns how many instances may send to a target while it is cold.

    Args:
        rate_per_s: Requests a second that a cold target can handle; above 0.
    """
    return max(1, math.floor(rate_per_s))


def send_interval_s(rate_per_s: float) -> float:
    """Returns the least interval between two requests of one instance.

    Args:
        rate_per_s: Requests a second that a cold target can handle; above 0.
    """
    interval_s = sender_count(rate_per_s) / rate_per_s
    return min(max(interval_s, MIN_INTERVAL_S), MAX_INTERVAL_S)


class SenderList:
    """Ranks the instances of one membership for targets, and remembers it.

    Attributes:
        by_zone: Names of the instances, by availability zone.
        since: Monotonic time from which the list was in force, in seconds.
    """

    __slots__ = ("by_zone", "since", "_local_name", "_ranks")

    def __init__(
        self,
        by_zone: Members,
        local_name: str,
        since: float,
    ) -> None:
        """Creates a list without ranks."""
        self.by_zone = by_zone
        self.since = since
        self._local_name = local_name
        self._ranks: dict[tuple[str, str], float] = {}

    def rank(self, identity: str, zone: str) -> float:
        """Returns the rank of this instance for a target.

        Returns:
            0 for the first; infinity if it is not among the instances of the
            target's zone.
        """
        rank = self._ranks.get((identity, zone))
        if rank is None:
            ranked = assignment.load_owners(identity, zone, self.by_zone)
            rank = math.inf
            if self._local_name in ranked:
                rank = float(ranked.index(self._local_name))
            if len(self._ranks) >= MAX_RANKED:
                self._ranks.clear()
            self._ranks[identity, zone] = rank
        return rank


class ColdTargets:
    """Decides when this instance may send requests to cold targets.

    Invariant: an instance sends to a cold target only if it was among the
    first ``sender_count`` by every list of instances that was in force here
    within the interval before, and has neither sent to the target nor been
    started within it. All who send within a second were therefore entitled at
    one moment, shortly before it.

    Attributes:
        local_name: Name of this instance.
        started_at: Monotonic time of the start of this instance, in seconds.
        list_members: Returns the known instances that place calls, with those
            that seem to be down.
        revision: Returns a number that changes whenever the members may have.
        sent_at: Monotonic time of the last request to each target while it was
            cold, in seconds.
    """

    __slots__ = (
        "local_name",
        "started_at",
        "list_members",
        "revision",
        "sent_at",
        "_revision",
        "_lists",
        "_entitled",
    )

    def __init__(
        self,
        local_name: str = "",
        *,
        started_at: float = -math.inf,
    ) -> None:
        """Creates the state of an instance that knows no other.

        Args:
            local_name: Name of this instance.
            started_at: Monotonic time of its start, in seconds.
        """
        self.local_name = local_name
        self.started_at = started_at
        self.list_members: Callable[[], Members] = lambda: {
            "": [self.local_name]
        }
        self.revision: Callable[[], int] = lambda: 0
        self.sent_at: dict[str, float] = {}
        self._revision: int | None = None
        self._lists: list[SenderList] = []
        # What follows from the lists, by identity, zone and rate.
        self._entitled: dict[tuple[str, str, float], float] = {}

    def _update_lists(self, now: float) -> None:
        """Adds a list if the instances have changed."""
        revision = self.revision()
        if revision == self._revision:
            return
        self._revision = revision
        by_zone = self.list_members()
        if self._lists and self._lists[-1].by_zone == by_zone:
            return
        # The first list is not news: a start is accounted for by its time.
        since = now if self._lists else -math.inf
        self._lists.append(SenderList(by_zone, self.local_name, since))
        self._entitled.clear()
        # The one before the last was in force until then.
        while len(self._lists) > 1 and (
            self._lists[1].since + MAX_INTERVAL_S <= now
        ):
            del self._lists[0]

    def _entitled_at(
        self, record: targets.TargetRecord, rate_per_s: float
    ) -> float:
        """Returns from when this instance may send to a cold target.

        Requests that it has sent there are not considered.
        """
        count = sender_count(rate_per_s)
        if self._lists[-1].rank(record.identity, record.zone) >= count:
            return math.inf
        interval_s = send_interval_s(rate_per_s)
        entitled_at = self.started_at + interval_s
        # A list was in force until the next one.
        for before, after in zip(self._lists, self._lists[1:], strict=False):
            if before.rank(record.identity, record.zone) >= count:
                entitled_at = max(entitled_at, after.since + interval_s)
        return entitled_at

    def next_send_at(
        self, record: targets.TargetRecord, rate_per_s: float, now: float
    ) -> float:
        """Returns when this instance may send a request to a cold target.

        Args:
            record: The target.
            rate_per_s: Requests a second that it can handle while cold; above
                0.
            now: Monotonic time in seconds.

        Returns:
            Monotonic time in seconds, which may be past; infinity if other
            instances send to it.
        """
        self._update_lists(now)
        key = (record.identity, record.zone, rate_per_s)
        entitled_at = self._entitled.get(key)
        if entitled_at is None:
            if len(self._entitled) >= MAX_RANKED:
                self._entitled.clear()
            entitled_at = self._entitled_at(record, rate_per_s)
            self._entitled[key] = entitled_at
        sent_at = self.sent_at.get(record.identity)
        if sent_at is None:
            return entitled_at
        return max(sent_at + send_interval_s(rate_per_s), entitled_at)

    def record_send(self, identity: str, now: float) -> None:
        """Records that a request is sent to a cold target."""
        self.sent_at[identity] = now

    def forget(self, identity: str) -> None:
        """Removes the state of a target that was removed."""
        self.sent_at.pop(identity, None)
