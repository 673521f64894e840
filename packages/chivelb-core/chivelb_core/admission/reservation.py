"""Reservation of a target for a large request that does not fit anywhere.

Without it small requests fill each gap and a large one may wait for ever.
The idea is the reserved container of the YARN Fair Scheduler (S. Ryza,
"Improvements in the Hadoop YARN Fair Scheduler"); each target holds at most
one reservation. docs/design/admission.md has the measurement.
"""

import dataclasses

from chivelb_core.admission import queue as queue_lib


@dataclasses.dataclass(slots=True)
class Reservations:
    """Targets that are kept free for waiting tickets.

    Rules: one ticket for each target and one target for each ticket; a
    ticket that is gone holds nothing.

    Attributes:
        held: Ticket by identity of the target.
    """

    held: dict[str, queue_lib.Ticket] = dataclasses.field(default_factory=dict)

    def reserve(self, identity: str, ticket: queue_lib.Ticket) -> bool:
        """Keeps a target free for a ticket; False if either is taken."""
        self.forget_gone()
        if identity in self.held or self.holds(ticket):
            return False
        self.held[identity] = ticket
        return True

    def holds(self, ticket: queue_lib.Ticket) -> bool:
        """Tells whether a ticket holds a target."""
        return any(other is ticket for other in self.held.values())

    def is_open(self, identity: str, ticket: queue_lib.Ticket) -> bool:
        """Tells whether a ticket may use a target."""
        holder = self.held.get(identity)
        return holder is None or holder is ticket or holder.gone

    def forget_gone(self) -> None:
        """Drops the reservations of tickets that started or left."""
        self.held = {
            identity: ticket
            for identity, ticket in self.held.items()
            if not ticket.gone
        }
