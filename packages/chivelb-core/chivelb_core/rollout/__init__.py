"""Rolling updates of weight versions, run by one controller at a time."""

from chivelb_core.rollout.lease import ControllerLease
from chivelb_core.rollout.lease import LeaseTiming
from chivelb_core.rollout.plan import Rollout
from chivelb_core.rollout.swap import RunnerReport
from chivelb_core.rollout.swap import Swap

__all__ = ["ControllerLease", "LeaseTiming", "Rollout", "RunnerReport", "Swap"]
