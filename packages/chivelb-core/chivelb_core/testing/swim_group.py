"""Simulation of SWIM instances on a lossy network with delays."""

import dataclasses
import random
from typing import Any

from chivelb_core import membership
from chivelb_core.membership import messages

TICK_S = 0.1
# Seeds of an instance in each other region.
OTHER_REGION_SEEDS = 2


@dataclasses.dataclass(slots=True)
class Datagram:
    """A datagram in flight; ``due_s`` is its time of delivery in seconds."""

    due_s: float
    sender: str
    receiver: str
    message: Any


class SwimSimulation:
    """Instances in regions, advanced in steps of ``TICK_S``.

    Attributes:
        now: Simulated time in seconds.
        running_members: Running instances by name.
        paused: Names of paused instances.
        blocked_links: Pairs of sender and receiver whose datagrams are dropped.
        loss: Share of datagrams that are lost.
        delay_s: Mean delay of a datagram in seconds.
        sent: Number of sent datagrams by sender.
        on_send: Called with the sender and each sent message.
        check_count: Number of invariant checks so far.
        seed_count: Number of seeds in the region; None for all instances.
    """

    def __init__(
        self,
        regions: dict[str, list[str]],
        *,
        seed: int,
        loss: float = 0.0,
        delay_s: float = 0.005,
        seed_count: int | None = None,
    ) -> None:
        """Creates and starts the instances.

        Each has as seeds the first instances of its region and two of every
        other region.

        Args:
            regions: Names of the instances by region.
            seed: Seed of all randomness.
            loss: Share of datagrams that are lost.
            delay_s: Mean delay of a datagram in seconds.
            seed_count: Number of seeds in its region; None for all of them.
        """
        self.seed_count = seed_count
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.delay_s = delay_s
        self.running_members: dict[str, membership.Swim] = {}
        self.paused: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self.sent: dict[str, int] = {}
        self.on_send = lambda sender, message: None
        self.check_count = 0
        self._regions = regions
        self._in_flight: list[Datagram] = []
        self._start_count = 0
        for region, names in regions.items():
            for name in names:
                self.start(region, name)

    def start(self, region: str, name: str) -> None:
        """Starts an instance with a new incarnation.

        It joins through its seeds: the first ``seed_count`` instances of its
        region and two of each other region.
        """
        self._start_count += 1
        member = messages.Member(
            name, region, f"{region}-z", "127.0.0.1:1", self._start_count
        )
        swim = membership.Swim(
            member, random.Random(self.rng.random()), self.now
        )
        for other_region, names in self._regions.items():
            count = (
                self.seed_count
                if other_region == region
                else OTHER_REGION_SEEDS
            )
            seeds = names[:count]
            for other in seeds:
                swim.add_seed(
                    messages.Member(
                        other, other_region, f"{other_region}-z", "h:1", 0
                    ),
                    self.now,
                )
        self.running_members[name] = swim

    def crash(self, name: str) -> None:
        """Stops an instance without notice."""
        self.running_members.pop(name, None)

    def leave(self, name: str) -> None:
        """Stops an instance after it has announced that it leaves."""
        self.running_members[name].leave(self.now)
        self._send_outbox(name)
        self.crash(name)

    def block_link(self, sender: str, receiver: str) -> None:
        """Drops all datagrams from one instance to another."""
        self.blocked_links.add((sender, receiver))

    def run(self, seconds: float) -> None:
        """Advances the time in steps of ``TICK_S``."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self._deliver()
            for name in list(self.running_members):
                if name not in self.paused:
                    self.running_members[name].tick(self.now)
                    self._send_outbox(name)
            self.check()

    def _deliver(self) -> None:
        due = [d for d in self._in_flight if d.due_s <= self.now]
        self._in_flight = [d for d in self._in_flight if d.due_s > self.now]
        for datagram in due:
            swim = self.running_members.get(datagram.receiver)
            if swim is None or datagram.receiver in self.paused:
                continue
            swim.receive(datagram.sender, datagram.message, self.now)
            self._send_outbox(datagram.receiver)

    def _send_outbox(self, name: str) -> None:
        swim = self.running_members[name]
        swim.take_changes()
        for receiver, message in swim.take_outbox():
            self.sent[name] = self.sent.get(name, 0) + 1
            self.on_send(name, message)
            if (name, receiver) in self.blocked_links:
                continue
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.expovariate(1 / self.delay_s)
            self._in_flight.append(
                Datagram(self.now + delay, name, receiver, message)
            )

    def status(self, observer: str, name: str) -> str:
        """Returns the status of an instance as seen by another one."""
        state = self.running_members[observer].members.get(name)
        return state.member.status if state is not None else "unknown"

    def observed_statuses(self, name: str) -> set[str]:
        """Returns all statuses of an instance as seen within its region."""
        home_region = next(
            region for region, names in self._regions.items() if name in names
        )
        return {
            self.status(other, name)
            for other in self._regions[home_region]
            if other != name and other in self.running_members
        }

    def check(self) -> None:
        """Asserts the invariants of all instances."""
        self.check_count += 1
        for swim in self.running_members.values():
            swim.check_invariants()
