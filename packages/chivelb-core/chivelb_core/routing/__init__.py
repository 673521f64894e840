"""Selection of a target for model calls that instances parse and encode.

It uses delayed load reports and the block directory. Calls whose bytes are
proxied unchanged use ``forwarding.choice`` instead; ``LoadView`` serves both.
"""

from chivelb_core.routing.cost import Candidate
from chivelb_core.routing.cost import Choice
from chivelb_core.routing.load import LoadView
from chivelb_core.routing.load import PeerLoad
from chivelb_core.routing.policies import choose

__all__ = ["Candidate", "Choice", "LoadView", "PeerLoad", "choose"]
