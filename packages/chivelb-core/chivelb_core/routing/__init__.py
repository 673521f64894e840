"""Selection of a target from delayed load reports."""

from chivelb_core.routing.cost import Candidate
from chivelb_core.routing.cost import Choice
from chivelb_core.routing.load import LoadView
from chivelb_core.routing.load import PeerLoad
from chivelb_core.routing.policies import choose

__all__ = ["Candidate", "Choice", "LoadView", "PeerLoad", "choose"]
