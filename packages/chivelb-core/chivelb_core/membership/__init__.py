"""Which instances live: SWIM in the zone, delegates across zones."""

from chivelb_core.membership.swim import Swim

__all__ = ["Swim"]
