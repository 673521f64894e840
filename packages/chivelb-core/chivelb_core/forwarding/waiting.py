"""Queue of a service's calls that wait for capacity at a target.

A call starts when it leaves the queue with a target assigned, to which the next
attempt is then sent. See docs/design/overload.md.
"""

import bisect
import collections
from collections.abc import Iterator
import itertools
from typing import Any

from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import lanes as lanes_lib
from chivelb_core.forwarding import start_rate

FIRST_BYTE_LATENCY_S = lanes_lib.FIRST_BYTE_LATENCY_S
STARTS_PER_LATE_START = lanes_lib.STARTS_PER_LATE_START
# Factor by which the wait for targets with request limits may be longer than
# expected.
LIMITED_WAIT_FACTOR = 2
# A priority of which calls wait starts one at least this often, as soon as a
# target has room for it; by priority, the last one for all lower ones.
MAX_START_GAPS_S = (1.0, 2.0, 4.0)
# Least share of the rate of starts that calls are expected to get beside those
# of higher priorities.
MIN_RATE_SHARE = 0.1
# A new call counts as late if its expected wait, times this factor, is over its
# objective: a small error of the estimate would make it so.
ON_TIME_MARGIN = 1.25
# Calls that are checked in one pass for whether they can be served in time.
REVIEWS_PER_PASS = 16
# Calls that are looked at when one that needs much room has to wait.
MAX_OVERTAKERS = 4
# A call overtakes one that costs this many times as much.
OVERTAKING_RATIO = 2.0
# Rounding of sums of times, in seconds.
TIME_ROUNDING_S = 1e-9


class WaitingList:
    """Queue of waiting calls in the order in which they start.

    Calls of higher priority go first. Within a priority, calls that are
    retried, such as interrupted streams, precede calls without an attempt.
    Next come on-time calls, which can still meet their latency objective: if
    an overloaded queue served the oldest first, no call would meet it. Among
    these, workspaces get equal shares of what calls cost, by their weights;
    then comes the order of arrival. One start in ``STARTS_PER_LATE_START``
    goes to a call that is late, which can no longer meet its objective.

    Invariants: a waiting call is in one lane; the costs and counts of a lane
    are those of its calls; a target is reserved for one call.

    Attributes:
        is_fair: Whether workspaces get shares, small calls may overtake large
            ones, and no priority starves; otherwise only priority, retries,
            lateness and arrival count.
        calls: Waiting calls by sequence number, in order of arrival.
        calls_by_route: The same by name of the route.
        lanes: Lanes by priority and whether their calls are new.
        start_count: Number of starts so far.
        rate: Rate of starts.
        reservations: Calls for which targets are reserved, by target.
    """

    __slots__ = (
        "is_fair",
        "calls",
        "calls_by_route",
        "lanes",
        "start_count",
        "rate",
        "reservations",
        "_arrival_numbers",
        "_lane_keys",
        "_last_starts",
        "_reviews",
    )

    def __init__(self, *, is_fair: bool = True) -> None:
        """Creates an empty queue."""
        self.is_fair = is_fair
        self.calls: dict[int, lanes_lib.WaitingCall] = {}
        self.calls_by_route: dict[str, dict[int, lanes_lib.WaitingCall]] = {}
        self.lanes: dict[tuple[int, bool], lanes_lib.Lane] = {}
        self.start_count = 0
        self.rate = start_rate.StartRate()
        self.reservations: dict[str, lanes_lib.WaitingCall] = {}
        self._arrival_numbers = itertools.count()
        self._lane_keys: list[tuple[int, bool]] = []
        # Time of the newest start of a priority, or since when calls wait.
        self._last_starts: dict[int, float] = {}
        self._reviews: collections.deque[lanes_lib.WaitingCall] = (
            collections.deque()
        )

    # Calls that come and go.

    def join(
        self,
        call: call_lib.Call,
        *,
        wait_started_at: float,
        item: Any,
        now: float | None = None,
        weight: float = 1.0,
        first_event_s: float = FIRST_BYTE_LATENCY_S,
    ) -> lanes_lib.WaitingCall:
        """Adds a call and returns its queue entry.

        Args:
            call: The call.
            wait_started_at: See ``WaitingCall``.
            item: Opaque value.
            now: Monotonic time in seconds; ``wait_started_at`` if None.
            weight: Weight of its workspace.
            first_event_s: Expected time from its start to its first event, in
                seconds.
        """
        now = wait_started_at if now is None else now
        waiting_call = lanes_lib.WaitingCall(
            call,
            next(self._arrival_numbers),
            wait_started_at,
            item,
            call_cost(call),
            first_event_s,
        )
        if not self.calls:
            self.rate.set_busy(now)
        self.rate.record_arrival(now, call.priority, waiting_call.cost)
        if not self._waits(call.priority):
            self._last_starts[call.priority] = now
        self.calls[waiting_call.number] = waiting_call
        of_route = self.calls_by_route.setdefault(call.route_name, {})
        of_route[waiting_call.number] = waiting_call
        self._lane(call).add(waiting_call, self._flow_key(call), weight=weight)
        self._reviews.append(waiting_call)
        return waiting_call

    def _flow_key(self, call: call_lib.Call) -> tuple:
        workspace = call.workspace if self.is_fair else None
        return workspace, call.software_version, call.regions

    def _lane(self, call: call_lib.Call) -> lanes_lib.Lane:
        key = (call.priority, call.attempts == 0)
        lane = self.lanes.get(key)
        if lane is None:
            lane = lanes_lib.Lane(call.priority, is_fair=self.is_fair)
            self.lanes[key] = lane
            bisect.insort(self._lane_keys, key)
        return lane

    def _waits(self, priority: int) -> bool:
        return any(
            lane.count
            for lane in self.lanes.values()
            if lane.priority == priority
        )

    def leave(self, waiting_call: lanes_lib.WaitingCall) -> None:
        """Removes a call that no longer waits."""
        if self.calls.pop(waiting_call.number, None) is None:
            return
        waiting_call.lane.remove(waiting_call)
        route_name = waiting_call.call.route_name
        self.calls_by_route[route_name].pop(waiting_call.number)
        self._cancel_reservation(waiting_call)
        if not self.calls:
            self.rate.set_busy(None)
            self._reviews.clear()

    def start(self, waiting_call: lanes_lib.WaitingCall, now: float) -> None:
        """Removes a call from the queue and counts its start."""
        self.start_count += 1
        self.rate.record_start(now, waiting_call.cost)
        self._last_starts[waiting_call.call.priority] = now
        waiting_call.lane.start(waiting_call)
        self.leave(waiting_call)

    def record_start(
        self,
        now: float,
        call: call_lib.Call | None = None,
        *,
        weight: float = 1.0,
    ) -> None:
        """Records the start of a call that did not queue.

        Args:
            now: Monotonic time in seconds.
            call: The call; None if only the time of the start is known.
            weight: Weight of its workspace.
        """
        if call is None:
            self.rate.record_start(now)
            return
        cost = call_cost(call)
        self.rate.record_arrival(now, call.priority, cost)
        self.rate.record_start(now, cost)
        self._last_starts[call.priority] = now
        self._lane(call).charge(self._flow_key(call), cost, weight=weight)

    def reserve_target(
        self, identity: str, waiting_call: lanes_lib.WaitingCall
    ) -> None:
        """Leaves the next free capacity of a target to one waiting call.

        One call of each priority has a reservation, the last one that asked:
        reserved targets must not become many.
        """
        priority = waiting_call.call.priority
        for other in list(self.reservations.values()):
            if other.call.priority == priority:
                self._cancel_reservation(other)
        waiting_call.reserved_target = identity
        self.reservations[identity] = waiting_call

    def _cancel_reservation(self, waiting_call: lanes_lib.WaitingCall) -> None:
        self.reservations.pop(waiting_call.reserved_target, None)
        waiting_call.reserved_target = ""

    def reserved_for_others(self, call: call_lib.Call) -> set[str]:
        """Returns the targets that are left to other calls.

        Those for calls of lower priorities are not, unless such a call is
        overdue.
        """
        return {
            identity
            for identity, waiting_call in self.reservations.items()
            if waiting_call.call is not call
            and (
                waiting_call.call.is_overdue
                or waiting_call.call.priority <= call.priority
            )
        }

    # Order.

    def has_precedence(self, call: call_lib.Call) -> bool:
        """Returns whether a new call would start before all waiting ones."""
        key = (call.priority, call.attempts == 0)
        return not self.calls or all(
            key < other for other in self._lane_keys if self.lanes[other].count
        )

    def in_order(self, now: float) -> Iterator[lanes_lib.WaitingCall]:
        """Yields all waiting calls in the order in which they start.

        The cost grows with the number of calls; see ``heads``.

        Args:
            now: Monotonic time in seconds.
        """
        start_number = self.start_count
        for key in list(self._lane_keys):
            for waiting_call in self.lanes[key].in_order(start_number, now):
                start_number += 1
                yield waiting_call

    def heads(self, now: float) -> Iterator[lanes_lib.WaitingCall]:
        """Yields the first call of each workspace, the next to start first.

        The list must not be changed before the iterator is closed.

        Args:
            now: Monotonic time in seconds.
        """
        for key in self._lane_keys:
            lane = self.lanes[key]
            if lane.count:
                yield from lane.heads(self.start_count, now)

    def overdue(self, now: float) -> lanes_lib.WaitingCall | None:
        """Returns the next call of a priority that has waited too long.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The call, or None if each priority of which calls wait has started
            one within ``MAX_START_GAPS_S``.
        """
        if not self.is_fair:
            return None
        waiting = [key for key in self._lane_keys if self.lanes[key].count]
        if not waiting:
            return None
        for key in waiting:
            priority = key[0]
            if priority == waiting[0][0]:
                continue
            if now - self._last_starts[priority] < max_start_gap_s(priority):
                continue
            first = self.lanes[key].most_behind(now)
            if first is not None:
                first.call.is_overdue = True
                return first
        return None

    def overtakers(
        self, blocked: lanes_lib.WaitingCall
    ) -> list[lanes_lib.WaitingCall]:
        """Returns calls that may start at targets not reserved for another.

        Args:
            blocked: The call that would start next, for which no target has
                room.

        Returns:
            Calls of the same priority that cost much less.
        """
        if not self.is_fair:
            return []
        found = [
            waiting_call
            for key in self._lane_keys
            if key[0] == blocked.call.priority
            for waiting_call in self.lanes[key].followers(
                blocked, MAX_OVERTAKERS
            )
            if waiting_call.cost * OVERTAKING_RATIO <= blocked.cost
        ]
        return found[:MAX_OVERTAKERS]

    # Expected waits.

    def position(self, waiting_call: lanes_lib.WaitingCall) -> int:
        """Returns about how many calls start before a waiting one."""
        ahead = sum(lane.count for lane in self._lanes_before(waiting_call))
        lane, kind = waiting_call.lane, waiting_call.queue.kind
        mean_cost = lane.costs[kind] / max(1, lane.counts[kind])
        own = lane.cost_ahead(waiting_call) / max(mean_cost, 1e-9)
        if kind == lanes_lib.LATE:
            own += min(
                lane.counts[lanes_lib.ON_TIME],
                (STARTS_PER_LATE_START - 1) * (own + 1),
            )
        return ahead + round(own)

    def _lanes_before(
        self, waiting_call: lanes_lib.WaitingCall
    ) -> Iterator[lanes_lib.Lane]:
        for key in self._lane_keys:
            if self.lanes[key] is waiting_call.lane:
                return
            yield self.lanes[key]

    def admit(
        self,
        waiting_call: lanes_lib.WaitingCall,
        now: float,
        *,
        first_wait_s: float = 0.0,
        min_interval_s: float = 0.0,
        is_exact: bool = False,
    ) -> float:
        """Returns the expected wait of a call that has just joined.

        If it is not expected to start in time for its objective, it goes
        behind those that are, so that these stay few enough to be in time. See
        ``expected_wait_s`` for the arguments.
        """
        waits = {
            "first_wait_s": first_wait_s,
            "min_interval_s": min_interval_s,
            "is_exact": is_exact,
        }
        wait_s = self.expected_wait_s(waiting_call, now, **waits)
        if min_interval_s or now + ON_TIME_MARGIN * wait_s <= (
            waiting_call.late_from
        ):
            return wait_s
        waiting_call.lane.move_to_late(waiting_call)
        return self.expected_wait_s(waiting_call, now, **waits)

    def expected_wait_s(
        self,
        waiting_call: lanes_lib.WaitingCall,
        now: float,
        *,
        first_wait_s: float = 0.0,
        min_interval_s: float = 0.0,
        is_exact: bool = False,
    ) -> float:
        """Returns the expected wait of a call until its start, in seconds.

        It follows from what is ahead of it, what comes of higher priorities,
        and the rate of starts. It is 0 if the rate is not known.

        Args:
            waiting_call: The call.
            now: Monotonic time in seconds.
            first_wait_s: Expected wait until the next start, in seconds.
            min_interval_s: Least interval between starts, in seconds.
            is_exact: Whether both are known exactly, because no other instance
                takes what is expected here.
        """
        if is_exact:
            ahead = self.position(waiting_call)
            return first_wait_s + ahead * min_interval_s
        is_limited = min_interval_s > 0.0
        interval_s = max(
            min_interval_s, self.rate.interval_s(now, is_limited=is_limited)
        )
        if is_limited or interval_s:
            # What has taken this long is expected to take as long again.
            expected_s = 0.0 if is_limited else interval_s
            without_s = self._without_start_s(now) - expected_s
            first_wait_s = max(first_wait_s, without_s)
        if not interval_s:
            return first_wait_s
        cost_per_s = self._mean_cost(now) / interval_s
        wait_s = first_wait_s + self._queue_wait_s(
            waiting_call, cost_per_s, now
        )
        if is_limited:
            wait_s *= _limited_wait_factor(waiting_call, now)
        return wait_s

    def _mean_cost(self, now: float) -> float:
        known = self.rate.mean_cost(now)
        if known is not None:
            return known
        total = sum(lane.cost for lane in self.lanes.values())
        return total / max(1, len(self.calls))

    def _queue_wait_s(
        self,
        waiting_call: lanes_lib.WaitingCall,
        cost_per_s: float,
        now: float,
    ) -> float:
        """Returns the time until all that is ahead of a call has started.

        Args:
            waiting_call: The call.
            cost_per_s: Total cost of starts in a second.
            now: Monotonic time in seconds.
        """
        lane = waiting_call.lane
        before = sum(other.cost for other in self._lanes_before(waiting_call))
        higher_per_s = self.rate.arrivals_per_s(lane.priority, now)
        own_per_s = max(cost_per_s - higher_per_s, MIN_RATE_SHARE * cost_per_s)
        before_s = before / own_per_s
        ahead = lane.cost_ahead(waiting_call)
        if waiting_call.queue.kind == lanes_lib.LATE:
            wait_s = before_s + self._late_wait_s(lane, ahead, own_per_s, now)
        else:
            late = min(
                lane.costs[lanes_lib.LATE], ahead / (STARTS_PER_LATE_START - 1)
            )
            wait_s = before_s + (ahead + late) / own_per_s
            if now + wait_s > waiting_call.late_from:
                # It becomes late, and starts among the late ones.
                late = lane.late_cost_ahead(waiting_call.flow)
                late_s = self._late_wait_s(lane, late, own_per_s, now)
                left_s = max(0.0, waiting_call.late_from - now)
                wait_s = max(wait_s, left_s + late_s)
                ahead += late
        if not before and not higher_per_s:
            return wait_s
        turn_s = self._turn_s(lane, ahead, now) + ahead / cost_per_s
        return min(wait_s, turn_s)

    def _late_wait_s(
        self,
        lane: lanes_lib.Lane,
        ahead: float,
        own_per_s: float,
        now: float,
    ) -> float:
        """Returns the time until the late calls ahead of one have started.

        New calls of the same priority that can be in time go first, but for
        one start in ``STARTS_PER_LATE_START``.

        Args:
            lane: The lane.
            ahead: Cost of the late calls ahead.
            own_per_s: Cost of the starts of this priority in a second.
            now: Monotonic time in seconds.
        """
        turns_s = STARTS_PER_LATE_START * ahead / own_per_s
        left_per_s = own_per_s - self.rate.arrivals_of(lane.priority, now)
        if left_per_s <= MIN_RATE_SHARE * own_per_s:
            return turns_s
        on_time = lane.costs[lanes_lib.ON_TIME]
        return min(turns_s, (on_time + ahead) / left_per_s)

    def _turn_s(self, lane: lanes_lib.Lane, ahead: float, now: float) -> float:
        """Returns until when a call has its turn beside higher priorities.

        Args:
            lane: Its lane.
            ahead: Cost of the calls ahead of it in the lane.
            now: Monotonic time in seconds.
        """
        gap_s = max_start_gap_s(lane.priority)
        mean_cost = lane.cost / max(1, lane.count)
        since_s = now - self._last_starts[lane.priority]
        return max(0.0, gap_s * (1 + ahead / mean_cost) - since_s)

    def _without_start_s(self, now: float) -> float:
        """Returns for how long calls have waited without any start."""
        oldest = next(iter(self.calls.values()), None)
        since = now if oldest is None else oldest.wait_started_at
        if self.rate.last_start_at is not None:
            since = max(since, self.rate.last_start_at)
        return max(0.0, now - since)

    def review(
        self,
        now: float,
        *,
        limit: int = REVIEWS_PER_PASS,
        first_wait_s: float = 0.0,
        min_interval_s: float = 0.0,
        is_exact: bool = False,
    ) -> Iterator[tuple[lanes_lib.WaitingCall, float]]:
        """Yields calls that are expected to time out before they start.

        Each pass checks some calls, those first that were not checked for the
        longest time, so that its cost does not grow with their number.

        Args:
            now: Monotonic time in seconds.
            limit: Maximum number of calls to check.
            first_wait_s: Expected wait until the next start, in seconds.
            min_interval_s: Least interval between starts, in seconds.
            is_exact: See ``expected_wait_s``.

        Yields:
            The queue entry, and the expected wait until its start in
            seconds.
        """
        for lane in self.lanes.values():
            lane.update(now)
        for _ in range(min(limit, len(self._reviews))):
            if not self._reviews:
                return
            waiting_call = self._reviews.popleft()
            if waiting_call.queue is None:
                continue
            self._reviews.append(waiting_call)
            wait_s = self.expected_wait_s(
                waiting_call,
                now,
                first_wait_s=first_wait_s,
                min_interval_s=min_interval_s,
                is_exact=is_exact,
            )
            if would_time_out(waiting_call, wait_s=wait_s, now=now):
                yield waiting_call, wait_s

    def expected_timeouts(
        self,
        now: float,
        *,
        first_wait_s: float = 0.0,
        min_interval_s: float = 0.0,
        is_exact: bool = False,
    ) -> Iterator[tuple[lanes_lib.WaitingCall, float]]:
        """Yields all calls that are expected to time out before they start.

        This is the rule without fair shares; its cost grows with the number of
        calls.

        Args:
            now: Monotonic time in seconds.
            first_wait_s: Expected wait until the next start, in seconds.
            min_interval_s: Least interval between starts, in seconds.
            is_exact: Whether both are known exactly, because no other instance
                takes what is expected here.

        Yields:
            The queue entry, and the expected wait until its start in
            seconds.
        """
        is_limited = min_interval_s > 0.0 and not is_exact
        interval_s = max(
            min_interval_s,
            0.0
            if is_exact
            else self.rate.interval_s(now, is_limited=is_limited),
        )
        wait_s = first_wait_s
        if is_limited:
            # What has taken this long is expected to take as long again.
            wait_s = max(wait_s, self._without_start_s(now))
        for waiting_call in self.in_order(now):
            own_wait_s = wait_s
            if is_limited:
                own_wait_s *= _limited_wait_factor(waiting_call, now)
            if would_time_out(waiting_call, wait_s=own_wait_s, now=now):
                yield waiting_call, own_wait_s
            else:
                wait_s += interval_s

    def check_invariants(self) -> None:
        """Asserts that lanes, counts and reservations match the calls."""
        found = set()
        for key, lane in self.lanes.items():
            for kind in (lanes_lib.ON_TIME, lanes_lib.LATE):
                queues = [flow.queues[kind] for flow in lane.flows.values()]
                calls = [entry for q in queues for entry in q.waiting()]
                assert len(calls) == lane.counts[kind], f"count of {key}"
                cost = sum(entry.cost for entry in calls)
                assert abs(cost - lane.costs[kind]) < 1e-6, f"cost of {key}"
                found.update(entry.number for entry in calls)
        assert found == set(self.calls), "lanes and calls differ"
        of_routes = [n for calls in self.calls_by_route.values() for n in calls]
        assert sorted(of_routes) == sorted(self.calls), "calls of routes"
        for identity, waiting_call in self.reservations.items():
            assert waiting_call.number in self.calls, identity
            assert waiting_call.reserved_target == identity, identity


def call_cost(call: call_lib.Call) -> float:
    """Returns what a call takes of the scarce resource.

    These are tokens of KV cache, nearly all of which are prompt tokens that
    must be prefilled; the time for which calls hold them is taken as equal.
    Requests to a plain service cost 1 each.
    """
    return float(max(1, call.mean_kv_tokens))


def max_start_gap_s(priority: int) -> float:
    """Returns the longest time between starts while calls wait, in seconds."""
    return MAX_START_GAPS_S[min(max(priority, 0), len(MAX_START_GAPS_S) - 1)]


def _limited_wait_factor(
    waiting_call: lanes_lib.WaitingCall, now: float
) -> float:
    """Returns the factor by which a wait for limited targets may be longer.

    Other instances may be granted what is expected here, and calls that can
    still be in time overtake those that are late.
    """
    if waiting_call.is_late(now):
        return STARTS_PER_LATE_START
    return LIMITED_WAIT_FACTOR


def would_time_out(
    waiting_call: lanes_lib.WaitingCall, *, wait_s: float, now: float
) -> bool:
    """Returns whether a call is expected to time out before it starts.

    Args:
        waiting_call: Queue entry of the call.
        wait_s: Expected wait until its start, in seconds.
        now: Monotonic time in seconds.
    """
    return now + wait_s > waiting_call.latest_start_at + TIME_ROUNDING_S
