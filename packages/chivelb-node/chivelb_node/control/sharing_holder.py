"""Keeps the lease under which workspaces share cached prompts here."""

import asyncio
from collections.abc import Callable
import contextlib

import mode

from chivelb_node import context as context_lib
from chivelb_node.control import voter_agreement
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

RENEW_PERIOD_S = 0.7
RETRY_PERIOD_S = 0.05
REQUEST_TIMEOUT_S = 0.5
_log = logs.get_logger("sharing")


class SharingLeaseHolder(mode.Service):
    """Renews the sharing lease of an instance that sends requests to targets.

    Without a lease, as when it reaches no majority of the voters, each
    workspace's prompts are cached in a scope of its own.

    Attributes:
        context: Shared state of the instance; has the lease.
        hub: Links to peers.
        control_instances: Returns the names of the known control instances.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        control_instances: Callable[[], list[str]],
    ) -> None:
        """Creates the service; from now on, sharing needs a lease."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.control_instances = control_instances
        context.sharing_lease.is_required = True
        context.sharing_known.clear()
        self._was_sharing = False

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.context.sharing_epoch_changed.clear()
            granted = await self.renew()
            self._log_transition()
            await self._wait(RENEW_PERIOD_S if granted else RETRY_PERIOD_S)

    async def renew(self) -> bool:
        """Asks the voters for a lease; returns whether they granted it.

        The same request tells them that this instance has left the epochs of
        older document versions.
        """
        epoch = self.context.document_state.sharing_epoch
        if not epoch:
            return False
        requested_at = context_lib.boottime()
        granted = await voter_agreement.has_majority(
            self.hub,
            self.control_instances(),
            messages.SharingLeaseRequest(self.context.version),
            REQUEST_TIMEOUT_S,
        )
        if granted:
            self.context.sharing_lease.renew(epoch, requested_at)
            self.context.sharing_known.set()
        return granted

    async def _wait(self, period_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                await self.context.sharing_epoch_changed.wait()

    def _log_transition(self) -> None:
        is_sharing = self.context.may_share()
        if is_sharing == self._was_sharing:
            return
        self._was_sharing = is_sharing
        if is_sharing:
            _log.info("sharing lease granted", version=self.context.version)
        else:
            _log.warning("sharing lease lost", version=self.context.version)
