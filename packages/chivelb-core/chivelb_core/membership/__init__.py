"""Membership: SWIM within a region, delegates between regions."""

from chivelb_core.membership.swim import Swim

__all__ = ["Swim"]
