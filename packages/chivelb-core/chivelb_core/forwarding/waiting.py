"""Queue of a service's calls that wait for capacity at a target.

A call starts when it leaves the queue with a target assigned, to which the next
attempt is then sent.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from chivelb_core.forwarding import call as call_lib

# Time from the start of a call to its first byte, by assumption.
FIRST_BYTE_LATENCY_S = 0.1
# One of this many starts goes to the oldest late call, so that none starves.
STARTS_PER_LATE_START = 4
# Factor by which the wait for targets with request limits may be longer than
# expected.
LIMITED_WAIT_FACTOR = 2
# Sliding window over which the rate of starts is estimated.
START_RATE_WINDOW_S = 2.0
# With fewer starts in the window the rate counts as unknown.
START_RATE_MIN_SAMPLES = 5


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall:
    """Queue entry of a waiting call.

    Attributes:
        call: The call.
        number: Sequence number in order of arrival.
        wait_started_at: Monotonic time of arrival of the call or, if it is
            retried, of its return to the queue, in seconds. The client's
            patience is counted from this time.
        item: Opaque value that the owner of the queue attaches to the call,
            such as a future to resolve at the start.
    """

    call: call_lib.Call
    number: int
    wait_started_at: float
    item: Any


class WaitingList:
    """Queue of waiting calls in the order in which they start.

    Calls of higher priority go first. Within a priority, calls that are
    retried, such as interrupted streams, precede calls without an attempt.
    Next come on-time calls, which can still meet their latency objective, in
    order of arrival: if an overloaded queue served the oldest first, no call
    would meet it. One start in ``STARTS_PER_LATE_START`` goes to the oldest
    call that is late, which can no longer meet its objective.

    Attributes:
        calls: Waiting calls by sequence number, in order of arrival.
        start_count: Number of starts so far.
        start_times: Monotonic times of the starts within the window, in
            seconds.
    """

    __slots__ = ("calls", "start_count", "start_times", "_arrival_numbers")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.calls: dict[int, WaitingCall] = {}
        self.start_count = 0
        self.start_times: collections.deque[float] = collections.deque()
        self._arrival_numbers = itertools.count()

    def join(
        self, call: call_lib.Call, *, wait_started_at: float, item: Any
    ) -> WaitingCall:
        """Adds a call and returns its queue entry."""
        waiting_call = WaitingCall(
            call, next(self._arrival_numbers), wait_started_at, item
        )
        self.calls[waiting_call.number] = waiting_call
        return waiting_call

    def leave(self, waiting_call: WaitingCall) -> None:
        """Removes a call that no longer waits."""
        self.calls.pop(waiting_call.number, None)

    def start(self, waiting_call: WaitingCall, now: float) -> None:
        """Removes a call from the queue and counts its start."""
        self.start_count += 1
        self.record_start(now)
        self.leave(waiting_call)

    def record_start(self, now: float) -> None:
        """Records a start, including that of a call that did not queue."""
        self.start_times.append(now)
        while self.start_times[0] < now - START_RATE_WINDOW_S:
            self.start_times.popleft()

    def in_order(self, now: float) -> Iterator[WaitingCall]:
        """Yields the waiting calls in the order in which they start.

        Args:
            now: Monotonic time in seconds.
        """
        groups: dict[tuple[int, bool], list[WaitingCall]] = {}
        for waiting_call in self.calls.values():
            group_key = (
                waiting_call.call.priority,
                waiting_call.call.attempts == 0,
            )
            groups.setdefault(group_key, []).append(waiting_call)
        start_number = self.start_count
        for group_key in sorted(groups):
            for waiting_call in _interleave(
                groups[group_key], start_number, now
            ):
                start_number += 1
                yield waiting_call

    def start_interval_s(
        self, now: float, *, is_limited: bool = False
    ) -> float:
        """Returns the estimated interval between starts, in seconds.

        The estimate is zero while there are too few recent starts, so that
        no call is refused for an unknown rate.

        Args:
            now: Monotonic time in seconds.
            is_limited: Whether few starts mean a low rate, because all targets
                limit it.
        """
        recent_starts = sum(
            1 for at in self.start_times if at >= now - START_RATE_WINDOW_S
        )
        if is_limited:
            return START_RATE_WINDOW_S / max(1, recent_starts)
        return (
            0.0
            if recent_starts < START_RATE_MIN_SAMPLES
            else START_RATE_WINDOW_S / recent_starts
        )

    def _without_start_s(self, now: float) -> float:
        """Returns for how long calls have waited without any start."""
        since = min(
            (
                waiting_call.wait_started_at
                for waiting_call in self.calls.values()
            ),
            default=now,
        )
        if self.start_times:
            since = max(since, self.start_times[-1])
        return now - since

    def expected_timeouts(
        self,
        now: float,
        *,
        first_wait_s: float = 0.0,
        min_interval_s: float = 0.0,
        is_exact: bool = False,
    ) -> Iterator[tuple[WaitingCall, float]]:
        """Yields calls that are expected to time out before they start.

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
            else self.start_interval_s(now, is_limited=is_limited),
        )
        wait_s = first_wait_s
        if is_limited:
            # What has taken this long is expected to take as long again.
            wait_s = max(wait_s, self._without_start_s(now))
        for waiting_call in self.in_order(now):
            own_wait_s = wait_s
            if is_limited:
                own_wait_s *= _limited_wait_factor(waiting_call.call, now)
            if would_time_out(waiting_call, wait_s=own_wait_s, now=now):
                yield waiting_call, own_wait_s
            else:
                wait_s += interval_s


def _limited_wait_factor(call: call_lib.Call, now: float) -> float:
    """Returns the factor by which a wait for limited targets may be longer.

    Other instances may be granted what is expected here, and calls that can
    still be in time overtake those that are late.
    """
    return STARTS_PER_LATE_START if is_late(call, now) else LIMITED_WAIT_FACTOR


def _interleave(
    calls: list[WaitingCall], start_number: int, now: float
) -> Iterator[WaitingCall]:
    """Yields on-time entries by arrival, with periodic late ones between."""
    on_time: collections.deque[WaitingCall] = collections.deque()
    late: collections.deque[WaitingCall] = collections.deque()
    for waiting_call in calls:
        (late if is_late(waiting_call.call, now) else on_time).append(
            waiting_call
        )
    while on_time or late:
        is_late_start = (
            start_number % STARTS_PER_LATE_START == STARTS_PER_LATE_START - 1
        )
        if late and (is_late_start or not on_time):
            yield late.popleft()
        else:
            yield on_time.popleft()
        start_number += 1


def is_late(call: call_lib.Call, now: float) -> bool:
    """Returns whether a call started now would miss its latency objective."""
    latest_first_byte_at = call.arrived_at + call.route.target_latency_s
    return now + FIRST_BYTE_LATENCY_S > latest_first_byte_at


def would_time_out(
    waiting_call: WaitingCall, *, wait_s: float, now: float
) -> bool:
    """Returns whether a call is expected to time out before it starts.

    Args:
        waiting_call: Queue entry of the call.
        wait_s: Expected wait until its start, in seconds.
        now: Monotonic time in seconds.
    """
    return (
        now + wait_s + FIRST_BYTE_LATENCY_S
        > waiting_call.call.next_byte_deadline(waiting_call.wait_started_at)
    )
