"""Swaps of weight versions, one controller at a time."""

from chivelb_core.rollout.lease import ControllerLease
from chivelb_core.rollout.plan import Rollout

__all__ = ["ControllerLease", "Rollout"]
