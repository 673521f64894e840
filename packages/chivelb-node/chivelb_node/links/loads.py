"""Tells the other entry instances what this one has in progress."""

from chivelb_core import routing
from chivelb_core.calls import suspects as suspects_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import messages

SENDS_PERIOD_S = 0.1


class LoadSharing(mode.Service):
    """Spreads the load that this instance causes, and its sightings.

    Attributes:
        context: Aggregates of the instance.
        hub: Links to peers.
        gossip: Membership.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self._told: dict[str, tuple[int, ...]] = {}
        hub.handle(messages.Sends, self._on_sends)
        hub.handle(messages.SightingNews, self._on_sightings)

    def spread_sighting(self, sighting: suspects_lib.Sighting) -> None:
        """Tells all instances of a sighting."""
        self.hub.send_all(
            self.gossip.peers_in_region(), messages.SightingNews([sighting])
        )

    def forget(self, identity: str) -> None:
        """Forgets a target that is gone."""
        self._told.pop(identity, None)
        self.context.load.loads.pop(identity, None)

    def _on_sends(self, peer: str, sends: messages.Sends) -> None:
        now = context_lib.monotonic()
        for entry in sends.entries:
            self.context.load.take_peer(
                peer,
                entry.identity,
                routing.PeerShare(
                    now,
                    entry.running,
                    entry.pending,
                    entry.tokens,
                    entry.suspects,
                ),
            )

    def _on_sightings(self, peer: str, news: messages.SightingNews) -> None:
        now = context_lib.monotonic()
        for sighting in news.sightings:
            self.context.suspects.take(sighting, now)

    @mode.Service.task
    async def _spread_sends(self) -> None:
        while not self.should_stop:
            await self.sleep(SENDS_PERIOD_S)
            entries = list(self._news())
            if entries:
                self.hub.send_all(
                    self.gossip.peers_in_region(), messages.Sends(entries)
                )

    def _news(self):
        """Yields the load of each target where it is not idle or changed."""
        for identity in self.context.targets.entries:
            share = self.context.load.own_share(identity)
            if any(share) or self._told.get(identity, share) != share:
                self._told[identity] = share
                yield messages.SendEntry(identity, *share)
