"""Rollouts of weight versions, run by one controller at a time.

There are two kinds of rollout (rolling update). ``AnnouncedRollout`` moves
runners to the named version ``Model.current`` of the document. It needs runners
that announce their state and execute each order id only once.
``PolledRollout`` moves runners to the numbered version in
``DocumentState.weights``. It queries each runner before an order, and uses the
number of accepted orders to make late orders harmless. Each module has the
``LoadOrder`` of its kind of runner.
"""

from chivelb_core.rollout.announced_rollout import AnnouncedRollout
from chivelb_core.rollout.lease import ControllerLease
from chivelb_core.rollout.lease import LeaseTiming
from chivelb_core.rollout.polled_rollout import PolledRollout
from chivelb_core.rollout.polled_rollout import RunnerReport
from chivelb_core.rollout.requested_versions import RequestedVersions

__all__ = [
    "ControllerLease",
    "LeaseTiming",
    "AnnouncedRollout",
    "RunnerReport",
    "PolledRollout",
    "RequestedVersions",
]
