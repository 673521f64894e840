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
    """Targets that are reserved for waiting requests.

    Invariants: a target is reserved for at most one request, and a request
    reserves at most one target; reservations of requests that were removed
    from the queue have no effect.

    Attributes:
        request_by_target: Request by identity of the reserved target.
    """

    request_by_target: dict[str, queue_lib.QueuedRequest] = dataclasses.field(
        default_factory=dict
    )

    def reserve(self, identity: str, request: queue_lib.QueuedRequest) -> bool:
        """Reserves a target for a request.

        Args:
            identity: Identity of the target.
            request: The request.

        Returns:
            False if the target or the request has a reservation already.
        """
        self.remove_stale()
        if identity in self.request_by_target or self.has_reservation(request):
            return False
        self.request_by_target[identity] = request
        return True

    def has_reservation(self, request: queue_lib.QueuedRequest) -> bool:
        """Whether a target is reserved for a request."""
        return any(
            other is request for other in self.request_by_target.values()
        )

    def is_available(
        self, identity: str, request: queue_lib.QueuedRequest
    ) -> bool:
        """Whether a target is not reserved for any other request."""
        reserved_for = self.request_by_target.get(identity)
        return (
            reserved_for is None
            or reserved_for is request
            or reserved_for.removed
        )

    def remove_stale(self) -> None:
        """Removes the reservations of requests that left the queue."""
        self.request_by_target = {
            identity: request
            for identity, request in self.request_by_target.items()
            if not request.removed
        }
