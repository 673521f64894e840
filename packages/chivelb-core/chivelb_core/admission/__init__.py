"""Which waiting request starts next, and which is refused."""

from chivelb_core.admission.queue import FairQueue
from chivelb_core.admission.queue import Ticket

__all__ = ["FairQueue", "Ticket"]
