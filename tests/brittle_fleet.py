"""Instances in virtual time, and targets that stop if they refuse too much.

A brittle target runs as many requests as it has slots and lets none wait. It
stops for some seconds if it turns away too many within a second. It may ask
whom it turns away for a rest.
"""

import asyncio
import collections

from chivelb_core import codes
from chivelb_node.forwarding import ports
from chivelb_node.links import load_sharing
from chivelb_node.links import target_signals
import fake_ports
import limited_fleet

STOPPED_S = 3.0
CONTACT_S = 3.0


class Fleet(limited_fleet.Fleet):
    """Instances that share their loads, and brittle targets.

    Attributes:
        brittle_from: Time from which the targets say that they are brittle.
        allowed: Requests that a target may turn away in a second.
        running: Requests in progress at each target.
        refusals: Times at which each target turned a request away.
        stopped_until: Until when each target is stopped.
        stops: Time and identity of each stop.
        rest_s: Rest that a target asks for instead of saying that it is
            brittle; 0 for none.
        rests: Target, instance, start and end of each rest.
        foreign_load: Share of the slots that others than the instances use.
    """

    def __init__(
        self,
        *,
        brittle_from=5.0,
        allowed=3,
        rest_s=0.0,
        foreign_load=0.0,
        **options,
    ):
        self.signals = {}
        self.loads = []
        self.brittle_from = brittle_from
        self.allowed = allowed
        self.running = collections.Counter()
        self.refusals = collections.defaultdict(list)
        self.stopped_until = collections.Counter()
        self.stops = []
        self.foreign_load = foreign_load
        self.rest_s = rest_s
        self.rests = []
        super().__init__(**options)

    def start_instance(self, name):
        """Starts an instance that shares its load with the others."""
        super().start_instance(name)
        harness = self.instances[name]
        harness.placement_policy.count_instances = lambda: len(self.members)
        context = harness.context
        sharing = self.sharing[name]
        self.loads.append(
            load_sharing.LoadReporting(context, sharing.hub, sharing.gossip)
        )
        self.signals[name] = target_signals.TargetSignals(
            context,
            sharing.hub,
            sharing.gossip,
            sharing.record_answer,
            mark_leaving=None,
        )

    async def run_traffic(self, until_s, *, per_s):
        """Sends calls until a time, and waits until all have ended."""
        for service in self.loads:
            await service.start()
        await super().run_traffic(until_s, per_s=per_s)
        for service in self.loads:
            await service.stop()

    async def receive(self, sender, identity):
        """Takes a request of an instance, or turns it away."""
        sent_at = self.now()
        await asyncio.sleep(limited_fleet.LATENCY_S)
        if self.now() < self.stopped_until[identity]:
            raise fake_ports.not_run(codes.TARGET_UNREACHABLE, True)
        self.targets[identity].arrivals.append((self.now(), sender))
        is_brittle = self.now() >= self.brittle_from
        room = self.slots * (1 - self.foreign_load)
        if is_brittle and self.running[identity] >= room:
            self._refuse(identity)
            self._tell(sender, identity, sent_at, is_refused=True)
            raise fake_ports.not_run()
        self.running[identity] += 1
        try:
            await asyncio.sleep(self.rng.uniform(*limited_fleet.WORK_S))
        finally:
            self.running[identity] -= 1
        self._tell(sender, identity, sent_at)
        return limited_fleet.Reply()

    def _refuse(self, identity):
        now = self.now()
        times = self.refusals[identity]
        times.append(now)
        recent = [at for at in times if now - at < 1.0]
        counts = now > self.brittle_from + CONTACT_S
        if counts and len(recent) > self.allowed:
            self.stops.append((now, identity))
            self.stopped_until[identity] = now + STOPPED_S

    def _tell(self, sender, identity, sent_at, *, is_refused=False):
        context = self.instances[sender].context
        record = context.targets.entries[identity].record
        signals = ports.Signals(is_refused=is_refused)
        if self.rest_s and is_refused:
            signals.rests = [str(self.rest_s)]
            end = self.now() + self.rest_s
            self.rests.append((identity, sender, self.now(), end))
        elif not self.rest_s and self.now() >= self.brittle_from:
            signals.brittle = [str(self.allowed)]
        self.signals[sender].record_answer(record, signals, sent_at)
