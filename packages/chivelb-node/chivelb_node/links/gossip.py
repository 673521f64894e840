"""Runs the SWIM membership protocol over UDP."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import random
import time

from chivelb_core import membership
from chivelb_core.forwarding import cold_targets
from chivelb_core.membership import messages as membership_messages
import mode

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import traffic
from chivelb_node.telemetry import logs
from chivelb_node.wire import authentication
from chivelb_node.wire import codec

TICK_S = 0.1
MAX_DATAGRAM_BYTES = 1_400
_log = logs.get_logger("gossip")
_MEMBERSHIP_MESSAGES = (
    membership_messages.Ping,
    membership_messages.PingRequest,
    membership_messages.Ack,
)


class Gossip(mode.Service, asyncio.DatagramProtocol):
    """Owns the UDP socket and the state of the membership protocol.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers; its table of peer addresses is updated when
            members change.
        swim: State of the membership protocol. The ``anchor`` flag of a
            member marks a control instance.
    """

    def __init__(
        self, context: context_lib.InstanceContext, hub: hub_lib.Hub
    ) -> None:
        """Creates the service with the seeds of the settings as members."""
        super().__init__()
        self.context = context
        self.hub = hub
        settings = context.settings
        control_instances = {
            *settings.control.voters,
            *settings.control.keepers,
        }
        self.swim = membership.Swim(
            membership_messages.Member(
                settings.instance.name,
                settings.instance.region,
                settings.instance.zone,
                settings.peers.listen,
                int(time.time()),
                anchor=settings.instance.name in control_instances
                or bool(settings.instance.data_dir),
            ),
            random.Random(context.rng.random()),
            context_lib.monotonic(),
        )
        self._transport: asyncio.DatagramTransport | None = None
        peer_bytes = context.metrics.peer_bytes
        self._bytes_in = peer_bytes.labels("in", "udp")
        self._bytes_out = peer_bytes.labels("out", "udp")
        self._messages = traffic.MessageCounter(context.metrics)
        self._authenticator: authentication.DatagramAuthenticator | None = None
        if hub.ring is not None:
            self._authenticator = authentication.DatagramAuthenticator(
                settings.instance.name, hub.ring
            )
        self.add_seeds(settings)
        self.swim.take_changes()

    def add_seeds(self, settings: settings_lib.Settings) -> None:
        """Adds the seeds of the settings that are not members yet."""
        control = settings.control
        now = context_lib.monotonic()
        self.hub.add_seeds(settings.peers.seeds)
        for text in settings.peers.seeds:
            seed = settings_lib.parse_seed(text)
            self.swim.add_seed(
                membership_messages.Member(
                    seed.name,
                    settings.instance.region,
                    seed.zone,
                    seed.address,
                    0,
                    anchor=seed.name in (*control.voters, *control.keepers),
                ),
                now,
            )

    def peers_in_region(self) -> list[str]:
        """Returns the peers: the other live instances of this region."""
        return self.swim.live_members(self.swim.local_member.region)

    def is_control_instance(self, name: str) -> bool:
        """Returns whether an instance is a control instance.

        Such an instance has a data directory, or is a configured voter of
        the control group (the Raft group of the instances that hold the
        durable state) or a configured claim keeper (a replica of the claim
        register, which provides at-most-once execution). It does not serve
        callers.
        """
        if name == self.swim.local_member.name:
            return self.swim.local_member.anchor
        state = self.swim.members.get(name)
        return state is not None and state.member.anchor

    def control_instances(self) -> list[str]:
        """Returns the names of all control instances but this one.

        Those of the settings come first. Instances that seem to be down are
        included.
        """
        configured = self.context.settings.control.voters
        found = sorted(
            name
            for name, state in self.swim.members.items()
            if state.member.anchor
        )
        names = dict.fromkeys([*configured, *found])
        names.pop(self.swim.local_member.name, None)
        return list(names)

    def entry_instance_count(self) -> int:
        """Returns the number of entry instances of the region.

        Entry instances serve callers; all others are control instances.
        Unreachable instances are counted, since they may still be serving.
        """
        local_member = self.swim.local_member
        others = sum(
            1
            for state in self.swim.members.values()
            if state.member.region == local_member.region
            and not state.member.anchor
            and state.member.status != "left"
        )
        return others + (0 if local_member.anchor else 1)

    def entry_peers_by_zone(self) -> list[list[str]]:
        """Returns the other live entry instances of this region by zone.

        The zone of this instance comes first.
        """
        zones: dict[str, list[str]] = {self.swim.local_member.zone: []}
        for name in self.peers_in_region():
            member = self.swim.members[name].member
            if not member.anchor:
                zones.setdefault(member.zone, []).append(name)
        return list(zones.values())

    def region_member_zones(self) -> Iterator[tuple[str, str]]:
        """Yields name and zone of the live instances of this region.

        This instance is included.
        """
        local_member = self.swim.local_member
        yield local_member.name, local_member.zone
        for name in self.peers_in_region():
            yield name, self.swim.members[name].member.zone

    def known_by_zone(
        self, places_calls: Callable[[str], bool]
    ) -> dict[str, list[str]]:
        """Returns the known instances of this region that place calls.

        Those that seem to be down are included, since they may still be
        serving; those that have left are not.

        Args:
            places_calls: Returns whether an instance places calls at targets.

        Returns:
            Sorted names by zone.
        """
        local_member = self.swim.local_member
        members = [local_member] + [
            state.member
            for state in self.swim.members.values()
            if state.member.region == local_member.region
            and state.member.status != "left"
        ]
        by_zone: dict[str, list[str]] = {}
        for member in sorted(members, key=lambda member: member.name):
            if places_calls(member.name):
                by_zone.setdefault(member.zone, []).append(member.name)
        return by_zone

    def rank_for(
        self,
        cold: cold_targets.ColdTargets,
        places_calls: Callable[[str], bool],
    ) -> None:
        """Lets the members decide which instances send to cold targets.

        Args:
            cold: When this instance, which starts now, may send to them.
            places_calls: Returns whether an instance places calls at targets.
        """
        cold.list_members = lambda: self.known_by_zone(places_calls)
        cold.revision = lambda: self.swim.revision
        cold.started_at = context_lib.monotonic()

    def region_members(self) -> list[str]:
        """Returns the live instances of this region, including this one."""
        return sorted([*self.peers_in_region(), self.swim.local_member.name])

    def zone_members(self, zone: str) -> list[str]:
        """Returns the live instances of a zone of this region."""
        names = self.swim.live_members(self.swim.local_member.region, zone)
        if zone == self.swim.local_member.zone:
            names = sorted([*names, self.swim.local_member.name])
        return names

    async def on_start(self) -> None:
        """Opens the socket."""
        listen = self.context.settings.peers.listen
        if self._authenticator is None or not listen:
            return
        host, port = settings_lib.split_address(listen)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    async def on_stop(self) -> None:
        """Announces that this instance leaves, and closes the socket."""
        if self._transport is not None:
            self.swim.leave(context_lib.monotonic())
            self._flush()
            self._transport.close()

    def connection_made(self, transport) -> None:
        """Does nothing; called by asyncio."""

    def datagram_received(self, data: bytes, addr) -> None:
        """Handles a datagram; called by asyncio."""
        metrics = self.context.metrics
        self._bytes_in.inc(len(data))
        try:
            sender, payload = self._authenticator.verify(data)
            message = codec.decode(payload).body
        except authentication.AuthenticationError as error:
            # "bad_seal": the datagram failed authentication.
            metrics.peer_frames.labels("bad_seal").inc()
            _log.debug("datagram dropped", detail=str(error))
            return
        except codec.WireError:
            # "garbage": authenticated, but not a valid message.
            metrics.peer_frames.labels("garbage").inc()
            return
        self._messages.count_received(type(message), len(data))
        if isinstance(
            message, _MEMBERSHIP_MESSAGES
        ) and not self.hub.is_partitioned(sender):
            self.swim.receive(sender, message, context_lib.monotonic())
            self._flush()

    def error_received(self, error: OSError) -> None:
        """Ignores socket errors; SWIM probes detect unreachable peers."""

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop and self._transport is not None:
            await asyncio.sleep(TICK_S)
            self.swim.version = max(self.context.version, 0)
            self.swim.tick(context_lib.monotonic())
            self._flush()

    def _flush(self) -> None:
        for member in self.swim.take_changes():
            self.hub.addresses[member.name] = (member.address, member.zone)
            _log.info(
                "member changed",
                member=member.name,
                status=member.status,
                incarnation=member.incarnation,
            )
        for name, message in self.swim.take_outbox():
            self._send(name, message)

    def _send(self, name: str, message: membership_messages.Message) -> None:
        state = self.swim.members.get(name)
        if state is None or self.hub.is_partitioned(name):
            return
        data = self._authenticator.sign(codec.encode(codec.Envelope(message)))
        self._bytes_out.inc(len(data))
        self._messages.count_sent(type(message), len(data))
        host, port = settings_lib.split_address(state.member.address)
        self._transport.sendto(data, (host, port))
