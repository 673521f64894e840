"""Reports the load that this instance causes at targets to its peers.

The peers are the other live instances of the region that place calls. Those of
the same zone are told sooner: they place most of their calls at the same
targets. The other zones are told by two instances of each zone, for all of it:
if every instance told them, each would receive most of its messages from
instances whose load it only needs as a sum. A small zone has no such instances.

Where calls are placed by asking the owners of targets, and there are many
instances, the owners are told instead: see ``load_owners``.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from chivelb_core import routing
from chivelb_core.forwarding import assignment
from chivelb_core.routing import load_reports
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node import timeouts
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import load_owners
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages
from chivelb_node.wire import packing

_log = logs.get_logger("load-sharing")
_entries_decoder = msgspec.msgpack.Decoder(list[messages.SendEntry])
# Changes are collected for at least this long and then sent in one message.
SAME_ZONE_DELAY_S = 0.005
OTHER_ZONES_DELAY_S = 0.1
# Calls are seldom placed in other zones, and traffic to them is dearer.
OTHER_ZONES_MESSAGES_PER_S = 50.0
# Period of the checks whether this instance reports for its zone.
REPORTER_CHECK_PERIOD_S = 0.5
# An unchanged load is sent again after this time.
RESEND_PERIOD_S = 1.0
MAX_REPORT_BYTES = 4_194_304
# Prefix of a zone's name among the peers that cause load.
ZONE_PREFIX = "zone/"


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


_NO_LOAD = SentLoad((0, 0, 0, 0), float("-inf"))


@dataclasses.dataclass(slots=True)
class PeerGroup:
    """Peers that get the same reports at the same pace.

    Attributes:
        in_own_zone: Whether these are the peers of the zone of this instance;
            otherwise they are those of all other zones.
        pacer: Pace of the reports.
        sent: Load as last reported, by target. A target without load is left
            out once that was reported.
        changed_targets: Targets whose load changed since the last report.
        changed: Set while there are such targets.
        urgent: Set while a change is urgent.
    """

    in_own_zone: bool
    pacer: load_reports.ReportPacer
    sent: dict[str, SentLoad] = dataclasses.field(default_factory=dict)
    changed_targets: set[str] = dataclasses.field(default_factory=set)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    urgent: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def forget(self) -> None:
        """Forgets what was reported, once the group is no longer told."""
        self.sent.clear()
        self.changed_targets.clear()


class LoadReporting(mode.Service):
    """Sends peers the load that this instance causes.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        places_calls: Whether an instance places calls at targets.
        same_zone: The peers of this zone.
        other_zones: The peers of the other zones of the region.
        owners: Owners of targets, which are told instead of all peers if
            there are many instances; None to tell all peers always.
        reports_zone: Whether this instance reports the load of its whole zone
            to the other zones.
        zone_targets: Targets with a load in the last such report.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        *,
        places_calls: Callable[[str], bool] = lambda name: True,
        owners: load_owners.LoadOwners | None = None,
    ) -> None:
        """Creates the service.

        Args:
            context: Shared state of the instance.
            hub: Links to peers.
            gossip: Membership.
            places_calls: Returns whether an instance places calls at targets;
                load is not reported to others.
            owners: Owners of targets, if calls are placed by asking them.
        """
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.places_calls = places_calls
        self.owners = owners
        self.same_zone = PeerGroup(
            True, load_reports.ReportPacer(SAME_ZONE_DELAY_S)
        )
        self.other_zones = PeerGroup(
            False,
            load_reports.ReportPacer(
                OTHER_ZONES_DELAY_S, OTHER_ZONES_MESSAGES_PER_S
            ),
        )
        self.reports_zone = False
        self.zone_targets: set[str] = set()
        context.load.on_change = self._on_load_change
        hub.register_handler(messages.LoadUpdate, self._on_load_update)
        hub.register_handler(messages.LoadReport, self._on_load_report)

    def remove_target(self, identity: str) -> None:
        """Removes the state of a target that was removed."""
        for group in (self.same_zone, self.other_zones):
            group.sent.pop(identity, None)
            group.changed_targets.discard(identity)
        self.context.load.loads.pop(identity, None)
        self.context.work_estimates.remove_target(identity)

    def _on_load_report(self, peer: str, report: messages.LoadReport) -> None:
        try:
            entries = packing.unpack(
                report.payload, _entries_decoder, max_bytes=MAX_REPORT_BYTES
            )
        except packing.PackingError as error:
            _log.warning("cannot decode loads", peer=peer, error=str(error))
            return
        if report.zone == self.context.settings.instance.zone:
            # Known from the peers of this zone themselves.
            return
        # All reports for a zone replace each other, whoever sends them.
        sender = f"{ZONE_PREFIX}{report.zone}" if report.zone else peer
        self._on_load_update(sender, messages.LoadUpdate(entries))
        if self.reports_zone:
            self.other_zones.changed.set()

    def _on_load_update(self, peer: str, update: messages.LoadUpdate) -> None:
        if not self.context.settings.decisions.peer_loads:
            return
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
            self.context.work_estimates.apply_passed_on(
                entry.identity, entry.log_ratio, int(entry.observed), now
            )
            if not self._tells_all():
                self.context.outstanding_share(entry.identity, now)

    def _tells_all(self) -> bool:
        """Returns whether all peers are told, and not owners of targets."""
        return self.owners is None or not self.owners.is_active

    def _on_load_change(self, identity: str) -> None:
        if not self._tells_all():
            self.owners.record_change(identity)
            return
        for group in (self.same_zone, self.other_zones):
            group.changed_targets.add(identity)
            group.changed.set()
        if self._is_urgent(identity):
            self.same_zone.urgent.set()

    def _is_urgent(self, identity: str) -> bool:
        """Returns whether the unreported change takes up much of a target."""
        entry = self.context.targets.entries.get(identity)
        if entry is None:
            return False
        service = self.context.document.services.get(entry.record.service)
        engine = None if service is None else service.engine
        load = self.context.load.own_load(identity)
        sent = self.same_zone.sent.get(identity, _NO_LOAD).load
        return load_reports.is_urgent(
            running=load[0] - sent[0],
            slots=entry.record.slots,
            kv_tokens=load[2] - sent[2],
            capacity_tokens=0 if engine is None else engine.kv_tokens,
        )

    @mode.Service.task
    async def _report_to_same_zone(self) -> None:
        while not self.should_stop:
            if self._tells_all():
                await self._report_next(self.same_zone)
            else:
                self.same_zone.forget()
                await asyncio.sleep(REPORTER_CHECK_PERIOD_S)

    @mode.Service.task
    async def _report_to_other_zones(self) -> None:
        while not self.should_stop:
            if self._tells_all() and self._reports_to_others():
                await self._report_next(self.other_zones)
            else:
                await asyncio.sleep(REPORTER_CHECK_PERIOD_S)

    def _reports_to_others(self) -> bool:
        """Returns whether this instance sends reports to the other zones."""
        instance = self.context.settings.instance
        members = self._zone_members()
        reporters = assignment.zone_reporters(instance.zone, members)
        self.reports_zone = instance.name in reporters
        return self.reports_zone or not reporters

    def _zone_members(self) -> list[str]:
        """Returns the instances of this zone that place calls."""
        zone = self.context.settings.instance.zone
        return [
            name
            for name in self.gossip.zone_members(zone)
            if self.places_calls(name)
        ]

    def _make_report(
        self, group: PeerGroup, now: float
    ) -> messages.LoadReport | None:
        """Returns the report that a group of peers is due; None for none."""
        if self.reports_zone and not group.in_own_zone:
            return self._zone_report(now)
        entries = list(self._due_entries(group, now))
        return messages.LoadReport(packing.pack(entries)) if entries else None

    def _zone_report(self, now: float) -> messages.LoadReport | None:
        """Returns the load of this zone; None if there is nothing to report."""
        members = set(self._zone_members())
        loads = dict(self.context.load.joint_loads(members, now))
        ended = self.zone_targets.difference(loads)
        self.zone_targets = set(loads)
        loads.update(dict.fromkeys(ended, _NO_LOAD.load))
        if not loads:
            return None
        entries = [messages.SendEntry(i, *load) for i, load in loads.items()]
        return messages.LoadReport(
            packing.pack(entries), self.context.settings.instance.zone
        )

    async def _report_next(self, group: PeerGroup) -> None:
        """Waits until a report to a group of peers is due, and sends it."""
        await timeouts.wait_for_event(group.changed, RESEND_PERIOD_S)
        peers = self._peers(group)
        delay_s = self._delay_s(group, peers, urgent=False)
        if delay_s > group.pacer.min_interval_s:
            await timeouts.wait_for_event(group.urgent, delay_s)
            delay_s = self._delay_s(group, peers, urgent=True)
        await asyncio.sleep(delay_s)
        group.changed.clear()
        group.urgent.clear()
        now = context_lib.monotonic()
        report = self._make_report(group, now)
        if peers and report is not None:
            self.hub.broadcast(peers, report)
            sent_bytes = len(peers) * len(report.payload)
            group.pacer.record_sent(now, sent_bytes=sent_bytes)

    def _delay_s(
        self, group: PeerGroup, peers: list[str], *, urgent: bool
    ) -> float:
        return group.pacer.delay_s(
            context_lib.monotonic(), peer_count=len(peers), urgent=urgent
        )

    def _peers(self, group: PeerGroup) -> list[str]:
        zone = self.context.settings.instance.zone
        same_zone = set(self.gossip.zone_members(zone))
        return [
            name
            for name in self.gossip.peers_in_region()
            if self.places_calls(name)
            and (name in same_zone) == group.in_own_zone
        ]

    def _due_entries(
        self, group: PeerGroup, now: float
    ) -> Iterator[messages.SendEntry]:
        """Yields the loads that changed or are due to be sent again."""
        unchanged = [
            identity
            for identity, sent in group.sent.items()
            if now - sent.sent_at >= RESEND_PERIOD_S
        ]
        group.changed_targets.update(unchanged)
        for identity in group.changed_targets:
            load = self.context.load.own_load(identity)
            if any(load):
                group.sent[identity] = SentLoad(load, now)
            elif group.sent.pop(identity, None) is None:
                continue
            yield messages.SendEntry(identity, *load)
        group.changed_targets.clear()
