"""Decision logic for requests that are proxied to targets unmodified."""

from chivelb_core.forwarding.call import cache_salt
from chivelb_core.forwarding.call import Call
from chivelb_core.forwarding.call import Part
from chivelb_core.forwarding.call import Prompt

__all__ = ["Call", "Part", "Prompt", "cache_salt"]
