"""Learns which software versions a majority of control instances knows.

A stream that begins at such a version, and that is taken up at an instance
without a record of it, is taken for one of no other version: each majority that
is asked then has a member of the one that was asked here.
"""

import asyncio
import collections

import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import version_knowledge
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

PERIOD_S = 0.2
REQUEST_TIMEOUT_S = 0.25
# A version is known to serve if it did within this time.
WINDOW_S = 2.0
_log = logs.get_logger("version-confirmation")


class VersionConfirmation(mode.Service):
    """Keeps the confirmed versions of an instance's context.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
    ) -> None:
        """Creates the service; no version is confirmed yet."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.confirm()
            await asyncio.sleep(PERIOD_S)

    async def confirm(self) -> None:
        """Asks about the versions of targets that are not confirmed."""
        present = {
            (entry.record.service, entry.record.software_version)
            for entry in self.context.targets.entries.values()
            if not entry.is_leaving and not entry.is_replaced
        }
        confirmed = self.context.confirmed_versions
        confirmed &= present
        services = {service for service, _ in present - confirmed}
        if not services:
            return
        needed = version_knowledge.needed_witnesses(
            self.gossip.swim,
            self.context.settings.control.voters,
            context_lib.monotonic(),
        )
        known_by = await self._count_witnesses(sorted(services))
        new = {each for each in present - confirmed if known_by[each] >= needed}
        confirmed |= new
        for service, version in sorted(new):
            _log.info(
                "version confirmed",
                service=service,
                software_version=version,
                known_by=known_by[service, version],
            )

    async def _count_witnesses(
        self, services: list[str]
    ) -> collections.Counter[tuple[str, str]]:
        """Returns how many witnesses know a service and version to serve."""
        request = messages.StreamOriginRequest(b"", services, WINDOW_S)
        witnesses = version_knowledge.witnesses(
            self.gossip.swim, context_lib.monotonic()
        )
        replies = await asyncio.gather(
            *(
                self.hub.request(peer, request, REQUEST_TIMEOUT_S)
                for peer in witnesses
            )
        )
        return collections.Counter(
            (each.service, version)
            for reply in replies
            if reply is not None
            for each in reply.seen
            for version in each.versions
        )
