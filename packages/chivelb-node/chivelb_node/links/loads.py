"""Tells the other entry instances what this one has in progress."""

import asyncio
import contextlib
import dataclasses

from chivelb_core import routing
from chivelb_core.calls import suspects as suspects_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import messages

# Instances of the zone are told of a change after this, all of them together.
NEAR_DELAY_S = 0.005
FAR_PERIOD_S = 0.1
REFRESH_S = 1.0


@dataclasses.dataclass(slots=True)
class Told:
    """What peers were told of this instance's load at a target.

    Attributes:
        share: The load, in the order of ``routing.PeerShare``.
        at: Monotonic time of the word, in seconds.
    """

    share: tuple[int, ...]
    at: float


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
        self._told: dict[str, dict[str, Told]] = {"near": {}, "far": {}}
        self._changed = asyncio.Event()
        context.load.on_change = self._changed.set
        hub.handle(messages.Sends, self._on_sends)
        hub.handle(messages.SightingNews, self._on_sightings)

    def spread_sighting(self, sighting: suspects_lib.Sighting) -> None:
        """Tells all instances of a sighting."""
        self.hub.send_all(
            self.gossip.peers_in_region(), messages.SightingNews([sighting])
        )

    def forget(self, identity: str) -> None:
        """Forgets a target that is gone."""
        for told in self._told.values():
            told.pop(identity, None)
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
    async def _spread_near(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REFRESH_S):
                    await self._changed.wait()
            await self.sleep(NEAR_DELAY_S)
            self._changed.clear()
            self._spread(self._audiences()[0], self._told["near"])

    @mode.Service.task
    async def _spread_far(self) -> None:
        while not self.should_stop:
            await self.sleep(FAR_PERIOD_S)
            self._spread(self._audiences()[1], self._told["far"])

    def _audiences(self) -> tuple[list[str], list[str]]:
        """Returns the peers of this zone and those of other zones."""
        peers = self.gossip.peers_in_region()
        zone = self.context.settings.instance.zone
        near = set(self.gossip.zone_members(zone))
        return (
            [name for name in peers if name in near],
            [name for name in peers if name not in near],
        )

    def _spread(self, peers: list[str], told: dict[str, Told]) -> None:
        if not peers:
            return
        entries = list(self._news(told, context_lib.monotonic()))
        if entries:
            self.hub.send_all(peers, messages.Sends(entries))

    def _news(self, told: dict[str, Told], now: float):
        """Yields the load of each target that changed, or was told long ago."""
        for identity in self.context.targets.entries:
            share = self.context.load.own_share(identity)
            known = told.get(identity)
            if known is None and not any(share):
                continue
            if known is not None and known.share == share:
                if not any(share) or now - known.at < REFRESH_S:
                    continue
            told[identity] = Told(share, now)
            yield messages.SendEntry(identity, *share)
