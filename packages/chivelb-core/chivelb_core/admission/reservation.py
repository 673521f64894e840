"""Reservation of a target for a large request that fits on no target yet.

Without reservations, small requests take up all capacity as it becomes free,
and a large request may starve. This follows the reserved containers of the
YARN Fair Scheduler (S. Ryza, "Improvements in the Hadoop YARN Fair
Scheduler"); each target has at most one reservation. See
docs/design/admission.md for measurements.
"""

import dataclasses

from chivelb_core.admission import queue as queue_lib


@dataclasses.dataclass(slots=True)
class Reservations:
    """Targets that are reserved for waiting tickets.

    Invariants: a target is reserved for at most one ticket, and a ticket
    reserves at most one target; reservations of tickets that were removed
    from the queue have no effect.

    Attributes:
        ticket_by_target: Ticket by identity of the reserved target.
    """

    ticket_by_target: dict[str, queue_lib.Ticket] = dataclasses.field(
        default_factory=dict
    )

    def reserve(self, identity: str, ticket: queue_lib.Ticket) -> bool:
        """Reserves a target for a ticket.

        Args:
            identity: Identity of the target.
            ticket: The ticket.

        Returns:
            False if the target or the ticket has a reservation already.
        """
        self.forget_gone()
        if identity in self.ticket_by_target or self.has_reservation(ticket):
            return False
        self.ticket_by_target[identity] = ticket
        return True

    def has_reservation(self, ticket: queue_lib.Ticket) -> bool:
        """Whether a target is reserved for a ticket."""
        return any(other is ticket for other in self.ticket_by_target.values())

    def is_open(self, identity: str, ticket: queue_lib.Ticket) -> bool:
        """Whether a target is not reserved for any other ticket."""
        reserved_for = self.ticket_by_target.get(identity)
        return (
            reserved_for is None or reserved_for is ticket or reserved_for.gone
        )

    def forget_gone(self) -> None:
        """Removes the reservations of tickets that left the queue."""
        self.ticket_by_target = {
            identity: ticket
            for identity, ticket in self.ticket_by_target.items()
            if not ticket.gone
        }
