"""Calls of one service that wait for room at a target."""

from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from chivelb_core.forwarding import call as call_lib


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A waiting call.

    Attributes:
        call: The call.
        number: Order of arrival.
        item: What its owner needs to go on.
    """

    call: call_lib.Call
    number: int
    item: Any


class WaitingList:
    """Waiting calls in the order in which they are to start.

    Attributes:
        tickets: The tickets, by order of arrival.
    """

    __slots__ = ("tickets", "_numbers")

    def __init__(self) -> None:
        """Creates an empty list."""
        self.tickets: dict[int, Ticket] = {}
        self._numbers = itertools.count()

    def join(self, call: call_lib.Call, item: Any) -> Ticket:
        """Adds a call."""
        ticket = Ticket(call, next(self._numbers), item)
        self.tickets[ticket.number] = ticket
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Removes a call that starts or gives up."""
        self.tickets.pop(ticket.number, None)

    def in_order(self) -> Iterator[Ticket]:
        """Yields the waiting calls, the most urgent first."""
        yield from sorted(
            self.tickets.values(),
            key=lambda ticket: (ticket.call.priority, ticket.number),
        )
