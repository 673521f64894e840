"""Rolling updates of weight versions, run by one controller at a time."""

from chivelb_core.rollout.announced_rollout import AnnouncedRollout
from chivelb_core.rollout.lease import ControllerLease
from chivelb_core.rollout.lease import LeaseTiming
from chivelb_core.rollout.polled_rollout import PolledRollout
from chivelb_core.rollout.polled_rollout import RunnerReport

__all__ = [
    "ControllerLease",
    "LeaseTiming",
    "AnnouncedRollout",
    "RunnerReport",
    "PolledRollout",
]
