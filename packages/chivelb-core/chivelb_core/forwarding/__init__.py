"""Decision logic for requests whose bytes are proxied to targets unchanged.

Their prompts are described by headers as parts (see ``kv_cache.parts``), and
``choice`` selects their target. Model calls that an instance parses and encodes
itself use ``routing`` and block keys instead.
"""

from chivelb_core.forwarding.call import Call
from chivelb_core.forwarding.call import Part
from chivelb_core.forwarding.call import Prompt
from chivelb_core.forwarding.call import sharing_scope

__all__ = ["Call", "Part", "Prompt", "sharing_scope"]
