"""Admission control: queueing, fair scheduling and reservations."""

from chivelb_core.admission.queue import FairQueue
from chivelb_core.admission.queue import QueuedRequest
from chivelb_core.admission.reservation import Reservations

__all__ = ["FairQueue", "Reservations", "QueuedRequest"]
