"""Calls of one service that wait for room at a target."""

import collections
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from chivelb_core.forwarding import call as call_lib

# Seconds from a start to the first byte that a call must still have.
FIRST_BYTE_S = 0.1
# One start in so many goes to the oldest late call, so that none starves.
LATE_TURN = 4
# Starts of this span of time tell how fast the list gets shorter.
PACE_WINDOW_S = 2.0
# Fewer starts tell nothing.
PACE_MIN_STARTS = 5


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting call.

    Attributes:
        call: The call.
        number: Order of arrival.
        since: Monotonic time when its caller last heard something, or
            arrived, in seconds.
        item: What its owner needs to go on.
    """

    call: call_lib.Call
    number: int
    since: float
    item: Any


class WaitingList:
    """Waiting calls in the order in which they are to start.

    Rules: the more urgent first; among equals those that have begun and
    broke off, then those that can still meet their objective, for in a list
    that is late as a whole nobody would; one start in ``LATE_TURN`` goes to
    the oldest that is late.

    Attributes:
        tickets: The tickets, by order of arrival.
        starts: Starts so far.
        started_at: Monotonic times of the newest starts, in seconds.
    """

    __slots__ = ("tickets", "starts", "started_at", "_numbers")

    def __init__(self) -> None:
        """Creates an empty list."""
        self.tickets: dict[int, Ticket] = {}
        self.starts = 0
        self.started_at: collections.deque[float] = collections.deque()
        self._numbers = itertools.count()

    def join(self, call: call_lib.Call, *, since: float, item: Any) -> Ticket:
        """Adds a call."""
        ticket = Ticket(call, next(self._numbers), since, item)
        self.tickets[ticket.number] = ticket
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Removes a call that gives up."""
        self.tickets.pop(ticket.number, None)

    def start(self, ticket: Ticket, now: float) -> None:
        """Removes a call that starts."""
        self.starts += 1
        self.note_start(now)
        self.leave(ticket)

    def note_start(self, now: float) -> None:
        """Counts a start, also of a call that had no need to wait."""
        self.started_at.append(now)
        while self.started_at[0] < now - PACE_WINDOW_S:
            self.started_at.popleft()

    def in_order(self, now: float) -> Iterator[Ticket]:
        """Yields the waiting calls in the order of their starts.

        Args:
            now: Monotonic time in seconds.
        """
        groups: dict[tuple[int, bool], list[Ticket]] = {}
        for ticket in self.tickets.values():
            rank = (ticket.call.priority, ticket.call.attempts == 0)
            groups.setdefault(rank, []).append(ticket)
        turn = self.starts
        for rank in sorted(groups):
            for ticket in _interleaved(groups[rank], turn, now):
                turn += 1
                yield ticket

    def start_period_s(self, now: float) -> float:
        """Returns the seconds from one start to the next.

        Zero while too few starts were seen: a guess refuses nobody.
        """
        recent = sum(1 for at in self.started_at if at >= now - PACE_WINDOW_S)
        return 0.0 if recent < PACE_MIN_STARTS else PACE_WINDOW_S / recent

    def hopeless(self, now: float) -> Iterator[tuple[Ticket, float]]:
        """Yields calls whose callers will have left when they start.

        Args:
            now: Monotonic time in seconds.

        Yields:
            The ticket, and the seconds until it was expected to start.
        """
        period_s = self.start_period_s(now)
        wait_s = 0.0
        for ticket in self.in_order(now):
            if is_hopeless(ticket, wait_s=wait_s, now=now):
                yield ticket, wait_s
            else:
                wait_s += period_s


def _interleaved(
    tickets: list[Ticket], turn: int, now: float
) -> Iterator[Ticket]:
    """Yields tickets in time by arrival, and a late one at its turns."""
    in_time: collections.deque[Ticket] = collections.deque()
    late: collections.deque[Ticket] = collections.deque()
    for ticket in tickets:
        (late if is_late(ticket.call, now) else in_time).append(ticket)
    while in_time or late:
        is_late_turn = turn % LATE_TURN == LATE_TURN - 1
        if late and (is_late_turn or not in_time):
            yield late.popleft()
        else:
            yield in_time.popleft()
        turn += 1


def is_late(call: call_lib.Call, now: float) -> bool:
    """Tells whether a call that starts now misses its objective."""
    objective = call.arrived_at + call.route.target_latency_s
    return now + FIRST_BYTE_S > objective


def is_hopeless(ticket: Ticket, *, wait_s: float, now: float) -> bool:
    """Tells whether nobody would wait for a call when it starts.

    Args:
        ticket: The waiting call.
        wait_s: Seconds until it is expected to start.
        now: Monotonic time in seconds.
    """
    return now + wait_s + FIRST_BYTE_S > ticket.call.start_by(ticket.since)
