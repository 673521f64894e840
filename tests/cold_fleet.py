"""Instances that send to cold targets, without a network.

Every instance always has calls for every target, the worst case for the bound.
It knows the other instances by exchange with those that it is connected to.
"""

import dataclasses
import math
import random

import builders
from chivelb_core import targets
from chivelb_core.forwarding import cold_targets

SERVICE = "lm"
TICK_S = 0.05
# Window in which a target counts its requests.
WINDOW_S = 1.0
# Largest delay of a request that the interval accounts for.
MAX_DELAY_S = cold_targets.MIN_INTERVAL_S - WINDOW_S


def bound(rate_per_s):
    """Returns the requests that a cold target may get in any second."""
    return rate_per_s * 1.5 + 5


@dataclasses.dataclass(slots=True, eq=False)
class Instance:
    """One instance.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        group: Instances of the same group are connected.
        table: Targets that it knows.
        cold: Decides when it may send.
        known: Zones of the instances that it knows, itself included, by name.
        left: Names of those of which it knows that they have left.
        revision: Number of changes of these.
        has_document: Whether it serves; a start needs a connected instance.
    """

    name: str
    zone: str
    group: int
    table: targets.TargetTable
    cold: cold_targets.ColdTargets
    known: dict[str, str]
    left: set[str]
    revision: int = 0
    has_document: bool = True

    def learn(self, other):
        """Learns what another instance knows of the members."""
        if other.known.keys() <= self.known.keys() and other.left <= self.left:
            return
        self.known |= other.known
        self.left |= other.left
        self.revision += 1

    def members(self):
        """Returns the members that have not left, by zone."""
        by_zone = {}
        for name in sorted(self.known.keys() - self.left):
            by_zone.setdefault(self.known[name], []).append(name)
        return by_zone


class Fleet:
    """Instances and targets.

    Attributes:
        now: Time in seconds.
        rate_per_s: Requests a second that a cold target can handle.
        instances: Running instances by name.
        cold_until: Time until which each target is cold, by identity.
        incarnations: Incarnation of each target by identity.
        arrivals: Times at which requests reached each target while it was
            cold, by identity.
    """

    def __init__(
        self,
        *,
        rate_per_s,
        zone_sizes,
        target_zones,
        is_limited=True,
        counts_only_live=False,
        max_delay_s=MAX_DELAY_S,
        seed=1,
    ):
        self.now = 100.0
        self.rate_per_s = rate_per_s
        self.is_limited = is_limited
        self.counts_only_live = counts_only_live
        self.max_delay_s = max_delay_s
        self.rng = random.Random(seed)
        self.instances = {}
        self._joined = 0
        self.target_zones = dict(target_zones)
        self.cold_until = dict.fromkeys(self.target_zones, -math.inf)
        self.incarnations = dict.fromkeys(self.target_zones, 1)
        self.arrivals = {identity: [] for identity in self.target_zones}
        for zone, size in zone_sizes.items():
            for _ in range(size):
                self.join(zone, 0)
        self.exchange()
        for instance in self.instances.values():
            instance.cold.started_at = -math.inf

    # Instances.

    def join(self, zone, group):
        """Adds a new instance, which knows itself until it is connected."""
        self._joined += 1
        self.start(f"i{self._joined}", zone, group)

    def start(self, name, zone, group):
        """Starts an instance that knows nothing but itself."""
        instance = Instance(
            name,
            zone,
            group,
            targets.TargetTable(),
            cold_targets.ColdTargets(name, started_at=self.now),
            {name: zone},
            set(),
            has_document=False,
        )
        instance.cold.list_members = lambda: self._members(instance)
        instance.cold.revision = lambda: self._revision(instance)
        if self.is_limited:
            instance.table.next_cold_send_at = lambda record, now: (
                instance.cold.next_send_at(record, self.rate_per_s, now)
            )
        self.instances[name] = instance

    def _members(self, instance):
        if not self.counts_only_live:
            return instance.members()
        connected = {o.name for o in self.connected(instance)}
        by_zone = {
            zone: [name for name in names if name in connected]
            for zone, names in instance.members().items()
        }
        return {zone: names for zone, names in by_zone.items() if names}

    def _revision(self, instance):
        if not self.counts_only_live:
            return instance.revision
        return tuple(sorted(o.name for o in self.connected(instance)))

    def connected(self, instance):
        """Returns the running instances connected to one, and itself."""
        return [
            other
            for other in self.instances.values()
            if other.group == instance.group
        ]

    def exchange(self):
        """Lets connected instances learn what the others know."""
        groups = {}
        for instance in self.instances.values():
            groups.setdefault(instance.group, []).append(instance)
        for members in groups.values():
            first, *others = members
            for other in others:
                first.learn(other)
            is_served = len(members) > 1
            for other in members:
                other.learn(first)
                other.has_document = other.has_document or is_served
        for instance in self.instances.values():
            if instance.has_document:
                self._announce_targets(instance)

    def crash(self, name):
        """Ends an instance that others still know."""
        return self.instances.pop(name)

    def restart(self, name):
        """Starts an instance again that knows nothing but itself."""
        instance = self.crash(name)
        self.start(name, instance.zone, instance.group)

    def leave(self, name):
        """Ends an instance, and lets those connected to it know."""
        instance = self.instances[name]
        for other in self.connected(instance):
            other.left.add(name)
            other.revision += 1
        self.crash(name)

    def count_unknown(self):
        """Returns how many running instances are not known to all others."""
        return sum(
            any(name not in i.known for i in self.instances.values())
            for name in self.instances
        )

    # Targets.

    def turn_cold(self, identity, cold_s, *, is_restarted):
        """Turns a target cold, which all instances learn at once."""
        self.cold_until[identity] = self.now + cold_s
        self.incarnations[identity] += is_restarted
        for instance in self.instances.values():
            if instance.has_document:
                self._announce_targets(instance)

    def _announce_targets(self, instance):
        for identity, zone in self.target_zones.items():
            incarnation = self.incarnations[identity]
            instance.table.announce(
                builders.make_record(
                    identity,
                    incarnation=incarnation,
                    service=SERVICE,
                    zone=zone,
                    lease_s=0.0,
                    address=f"{identity}:1",
                ),
                self.now,
            )
            cold_s = max(0.0, self.cold_until[identity] - self.now)
            instance.table.set_cold(identity, incarnation, cold_s, self.now)

    # Time.

    def run(self, seconds):
        """Lets time pass; every instance sends as soon as it may."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.exchange()
            for instance in self.instances.values():
                if instance.has_document:
                    self._send_all(instance)
            self.now += TICK_S

    def _send_all(self, instance):
        for identity, until in self.cold_until.items():
            if until <= self.now:
                continue
            for _ in range(3):
                if not instance.table.is_eligible(identity, self.now):
                    break
                instance.cold.record_send(identity, self.now)
                delay_s = self.rng.uniform(0.0, self.max_delay_s)
                self.arrivals[identity].append(self.now + delay_s)

    # What happened.

    def highest_rate(self):
        """Returns the most requests that a cold target got in any second."""
        highest = 0
        for times in self.arrivals.values():
            times.sort()
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > WINDOW_S:
                    first += 1
                highest = max(highest, last - first + 1)
        return highest

    def forget_old(self):
        """Forgets the arrivals that no window reaches any more."""
        for times in self.arrivals.values():
            times[:] = [t for t in times if t > self.now - 2.0 * WINDOW_S]
