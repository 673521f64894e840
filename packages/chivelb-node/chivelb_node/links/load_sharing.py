"""Reports the load that this instance causes at targets to its peers.

The peers are all other live instances of the region.
"""

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

# Changes are collected for this long and then sent to the instances of the
# zone in one message.
SAME_ZONE_DELAY_S = 0.005
OTHER_ZONES_PERIOD_S = 0.1
# An unchanged load is sent again after this time.
RESEND_PERIOD_S = 1.0


@dataclasses.dataclass(slots=True)
class SentLoad:
    """Load at a target as last sent to peers.

    Attributes:
        load: The load, in the order of the fields of ``messages.SendEntry``
            after ``identity``.
        sent_at: Monotonic time of the message, in seconds.
    """

    load: tuple[int, ...]
    sent_at: float


class LoadReporting(mode.Service):
    """Sends peers this instance's load and its crash observations.

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
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self._sent_loads: dict[str, dict[str, SentLoad]] = {
            "same_zone": {},
            "other_zones": {},
        }
        self._changed = asyncio.Event()
        context.load.on_change = self._changed.set
        hub.register_handler(messages.LoadUpdate, self._on_load_update)
        hub.register_handler(
            messages.CrashObservations, self._on_crash_observations
        )

    def broadcast_observation(
        self, observation: suspects_lib.CrashObservation
    ) -> None:
        """Sends a crash observation to all instances of the region."""
        self.hub.broadcast(
            self.gossip.peers_in_region(),
            messages.CrashObservations([observation]),
        )

    def remove_target(self, identity: str) -> None:
        """Removes the state of a target that was removed."""
        for sent in self._sent_loads.values():
            sent.pop(identity, None)
        self.context.load.loads.pop(identity, None)

    def _on_load_update(self, peer: str, update: messages.LoadUpdate) -> None:
        now = context_lib.monotonic()
        for entry in update.entries:
            self.context.load.apply_peer_load(
                peer,
                entry.identity,
                routing.PeerLoad(
                    now,
                    entry.running,
                    entry.pending,
                    entry.tokens,
                    entry.suspects,
                ),
            )

    def _on_crash_observations(
        self, peer: str, message: messages.CrashObservations
    ) -> None:
        now = context_lib.monotonic()
        for observation in message.sightings:
            self.context.crash_suspects.add_observation(observation, now)

    @mode.Service.task
    async def _send_to_same_zone(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RESEND_PERIOD_S):
                    await self._changed.wait()
            await self.sleep(SAME_ZONE_DELAY_S)
            self._changed.clear()
            self._send_changes(
                self._split_peers()[0], self._sent_loads["same_zone"]
            )

    @mode.Service.task
    async def _send_to_other_zones(self) -> None:
        while not self.should_stop:
            await self.sleep(OTHER_ZONES_PERIOD_S)
            self._send_changes(
                self._split_peers()[1], self._sent_loads["other_zones"]
            )

    def _split_peers(self) -> tuple[list[str], list[str]]:
        """Returns the peers in this zone, and those in other zones."""
        peers = self.gossip.peers_in_region()
        zone = self.context.settings.instance.zone
        same_zone = set(self.gossip.zone_members(zone))
        return (
            [name for name in peers if name in same_zone],
            [name for name in peers if name not in same_zone],
        )

    def _send_changes(
        self, peers: list[str], sent: dict[str, SentLoad]
    ) -> None:
        if not peers:
            return
        entries = list(self._changed_entries(sent, context_lib.monotonic()))
        if entries:
            self.hub.broadcast(peers, messages.LoadUpdate(entries))

    def _changed_entries(self, sent: dict[str, SentLoad], now: float):
        """Yields the loads that changed or are due to be sent again."""
        for identity in self.context.targets.entries:
            load = self.context.load.own_load(identity)
            previous = sent.get(identity)
            if previous is None and not any(load):
                continue
            if previous is not None and previous.load == load:
                if not any(load) or now - previous.sent_at < RESEND_PERIOD_S:
                    continue
            sent[identity] = SentLoad(load, now)
            yield messages.SendEntry(identity, *load)
