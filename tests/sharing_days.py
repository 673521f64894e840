"""Simulation of instances that share under leases of a control group.

The voters crash, pause, lose disks and messages as in ``control_group``; the
messages of the leases are delayed, reordered and lost as well.
"""

import dataclasses
import math

from chivelb_core.document import sharing_leases
from chivelb_core.testing import control_group

# First bytes of the commands that change which workspaces are isolated.
ISOLATING = range(0, 40)
HOLDERS = 3
REQUEST_TIMEOUT_S = 0.5
MAX_IN_FLIGHT = 60


@dataclasses.dataclass(slots=True)
class Round:
    """One request of a holder to all voters, and those that granted it."""

    version: int
    sent_at: float
    agreed: list


@dataclasses.dataclass(slots=True)
class Holder:
    """An instance; ``lease`` has the version that it was granted for."""

    name: str
    version: int = 0
    lease: tuple[int, float] = (0, -math.inf)


@dataclasses.dataclass(slots=True)
class Wait:
    """A leader's wait for the end of the leases below a version."""

    leader: str
    grants: sharing_leases.LeaseGrants
    version: int
    agreed: list


class SharingSimulation(control_group.ControlGroupSimulation):
    """A control group, and instances that hold leases.

    After each step it asserts that no instance may share under a document that
    is older than a change of isolation that was acknowledged.

    Attributes:
        holders: The instances.
        grants: What each running voter has granted, by name.
        applied: Index of the newest entry in each voter's state.
        messages: Functions that deliver a message in flight.
        waits: Leaders that are to acknowledge a change.
        acknowledged_version: Newest change of isolation that was acknowledged.
        early_ends: Number of waits that ended before the time.
    """

    def __init__(self, seed, names=("a", "b", "c")):
        self.grants = {}
        self.applied = {}
        self.messages = []
        self.waits = []
        self.holders = [Holder(f"e{n}") for n in range(HOLDERS)]
        self.acknowledged_version = 0
        self.early_ends = 0
        self.leases = 0
        super().__init__(seed, names)

    def start(self, name):
        was_running = name in self.voters
        super().start(name)
        if name in self.voters and not was_running:
            self.applied[name] = self.voters[name].log.base_index
            self.grants[name] = sharing_leases.LeaseGrants(self.now)
            self.grants[name].record_change(
                self.newest_isolation(self.applied[name]), self.now
            )

    def newest_isolation(self, index):
        """Returns the newest committed change of isolation up to an index."""
        return max(
            (
                at
                for at, entry in self.committed_entries.items()
                if at <= index and is_isolating(entry)
            ),
            default=0,
        )

    def _sync(self, name, effects):
        super()._sync(name, effects)
        if effects.snapshot is not None:
            before = self.newest_isolation(self.applied[name])
            self.applied[name] = effects.snapshot[0]
            newest = self.newest_isolation(self.applied[name])
            if newest != before:
                self.grants[name].record_change(newest, self.now)

    def _apply(self, name, entry):
        super()._apply(name, entry)
        self.applied[name] = max(self.applied[name], entry.index)
        if is_isolating(entry):
            grants = self.grants[name]
            grants.record_change(entry.index, self.now)
            self.waits.append(Wait(name, grants, entry.index, []))

    # Leases.

    def learn(self, holder, name):
        """Has a holder serve by the document of a voter, if it is newer."""
        holder.version = max(holder.version, self.applied.get(name, 0))

    def request(self, holder):
        """Asks all voters for a lease."""
        round_ = Round(holder.version, self.now, [])
        for name in self.names:
            self.send(lambda name=name: self.grant(name, holder, round_))

    def grant(self, name, holder, round_):
        voter = self.voters.get(name)
        if voter is None:
            return
        granted = self.may_grant(name, voter, round_.version)
        grants = self.grants[name]
        grants.record_request(
            holder.name, round_.version, self.now, granted=granted
        )
        grants.observe_voters(voter.group.voters, self.now)
        if granted:
            reply = (voter.member_id, voter.group.voters)
            self.send(lambda: self.take_grant(holder, round_, reply))

    def may_grant(self, name, voter, version):
        log, applied = voter.log, self.applied[name]
        if voter.disowned or applied < log.base_index:
            return False
        pending = log.slice(applied + 1, log.last_index)
        first_version = max(
            self.newest_isolation(applied), self.grants[name].min_version
        )
        return not any(map(is_isolating, pending)) and version >= first_version

    def take_grant(self, holder, round_, reply):
        if self.now - round_.sent_at > REQUEST_TIMEOUT_S:
            return
        round_.agreed.append(reply)
        if sharing_leases.is_majority(round_.agreed):
            self.leases += 1
            ends_at = round_.sent_at + sharing_leases.LEASE_S
            holder.lease = (round_.version, ends_at)

    def restart(self, holder):
        """Restarts a holder, which forgets its lease and its document."""
        holder.version = 0
        holder.lease = (0, -math.inf)

    # Acknowledgements.

    def ask_whether_ended(self):
        """Has each waiting leader ask the voters, or see the time is over."""
        for wait in self.waits:
            if self.grants.get(wait.leader) is not wait.grants:
                wait.agreed = None
            elif wait.grants.have_expired(wait.version, self.now):
                self.acknowledge(wait)
                wait.agreed = None
            else:
                for name in self.names:
                    self.send(
                        lambda name=name, wait=wait: self.answer(name, wait)
                    )
        self.waits = [wait for wait in self.waits if wait.agreed is not None]

    def answer(self, name, wait):
        voter = self.voters.get(name)
        if voter is None:
            return
        grants = self.grants[name]
        grants.observe_voters(voter.group.voters, self.now)
        if grants.end_before(wait.version, self.now):
            reply = (voter.member_id, voter.group.voters)
            self.send(lambda: self.take_answer(wait, reply))

    def take_answer(self, wait, reply):
        if wait.agreed is None:
            return
        wait.agreed.append(reply)
        if sharing_leases.is_majority(wait.agreed):
            self.early_ends += 1
            self.acknowledge(wait)
            wait.agreed = None
            self.waits.remove(wait)

    def acknowledge(self, wait):
        self.acknowledged_version = max(self.acknowledged_version, wait.version)

    # Messages.

    def send(self, deliver):
        self.messages.append(deliver)
        if len(self.messages) > MAX_IN_FLIGHT:
            del self.messages[0]

    def deliver_message(self, position, *, duplicate=False):
        if not self.messages:
            return
        position %= len(self.messages)
        deliver = self.messages[position]
        if not duplicate:
            del self.messages[position]
        deliver()

    def check_leases(self):
        for holder in self.holders:
            version, ends_at = holder.lease
            # It shares only under the epoch that it was granted for.
            is_sharing = ends_at > self.now and self.newest_isolation(
                holder.version
            ) == self.newest_isolation(version)
            assert not is_sharing or self.newest_isolation(
                version
            ) >= self.newest_isolation(self.acknowledged_version), (
                f"{holder.name} shares at version {version} until {ends_at}, "
                f"isolation {self.acknowledged_version} is acknowledged at "
                f"{self.now}"
            )


def is_isolating(entry):
    return entry.kind == "change" and entry.data[0] in ISOLATING


def take_random_step(simulation, rng):
    """Runs a step of the control group, and some of the leases."""
    control_group.take_random_step(simulation, rng)
    simulation.check_leases()
    holder = rng.choice(simulation.holders)
    for _ in range(3):
        choice = rng.random()
        if choice < 0.70:
            simulation.deliver_message(
                rng.choice((0, rng.randrange(MAX_IN_FLIGHT))),
                duplicate=rng.random() < 0.05,
            )
        elif choice < 0.82:
            simulation.request(holder)
        elif choice < 0.90:
            simulation.learn(holder, rng.choice(simulation.names))
        elif choice < 0.99:
            simulation.ask_whether_ended()
        else:
            simulation.restart(holder)
        simulation.check_leases()
