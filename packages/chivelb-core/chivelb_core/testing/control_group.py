"""Simulation of a control group with modelled disks and a lossy network."""

import copy
import dataclasses
import random
from typing import Any

from chivelb_core import consensus
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import replacement as replacement_lib
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states
from chivelb_core.testing import steps as steps_lib

MAX_IN_FLIGHT_MESSAGES = 400
MAX_WAIT_STEPS = 400
STEP_S = 0.05
# Steps for which a leader stays isolated. They last longer than any election
# delay, which is less than twice the election time-out of 1 s.
ISOLATION_STEPS = 60
# Times of a usual step of a random run.
USUAL_STEPS_S = (0.02, 0.1)
# Time in which the election deadlines of all members pass at once.
LONG_STEP_S = 2.5
# Time for which one instance is paused.
PAUSE_S = 2.0
# Time from the newest step to the last tick before a crash. All deadlines pass
# in it, so that the tick has effects.
CRASH_TICK_DELAY_S = 3.0
# Newest acknowledged proposals that each check looks up.
CHECKED_ACKNOWLEDGEMENTS = 3


@dataclasses.dataclass(slots=True)
class Disk:
    """State that one member has synced to disk.

    Attributes:
        member_id: Id of the member.
        hard_state: Persistent state: term and vote.
        base: Last index that the snapshot covers, and its term.
        snapshot: Newest snapshot, encoded.
        entries: Log entries after the snapshot.
    """

    member_id: str
    hard_state: states.HardState
    base: tuple[int, int]
    snapshot: bytes
    entries: list[log_lib.Entry]

    def log(self) -> log_lib.Log:
        """Returns the log as recovered after a restart."""
        log = log_lib.Log(*self.base)
        for entry in self.entries:
            log.append(entry)
        return log


@dataclasses.dataclass(slots=True)
class Packet:
    """A message in flight.

    Attributes:
        sender: Name of the sending instance.
        receiver: Name of the receiving instance.
        message: The message.
    """

    sender: str
    receiver: str
    message: Any


class ControlGroupSimulation:
    """Members, disks and network, advanced step by step.

    After each step ``check`` asserts that each term has at most one leader,
    that committed entries are equal on all members and never change, and that
    acknowledged proposals are kept.

    Attributes:
        now: Simulated time in seconds.
        voters: Running members by instance name, learners included.
        disks: Synced state by instance name.
        in_flight: Messages in flight, oldest first.
        blocked_links: Pairs of sender and receiver whose messages are dropped.
        committed_entries: Committed entries by index.
        acknowledged: Indexes and data of acknowledged proposals.
        leaders_by_term: Id of the leader by term.
        joining: New member ids by name of instances that lost their disk
            and are not voters again yet.
        check_count: Number of invariant checks so far.
        fault_tolerance: Disks that may be lost at the same time.
    """

    def __init__(
        self,
        seed: int,
        names: tuple[str, ...] = ("a", "b", "c"),
        *,
        fault_tolerance: int = 1,
    ) -> None:
        """Creates a group of new members.

        Args:
            seed: Seed of the members' randomness.
            names: Names of the instances.
            fault_tolerance: Disks that may be lost at the same time.
        """
        self.fault_tolerance = fault_tolerance
        self.rng = random.Random(seed)
        self.names = names
        self.now = 0.0
        self.check_count = 0
        self.voters: dict[str, consensus.Voter] = {}
        self.disks: dict[str, Disk] = {}
        self.in_flight: list[Packet] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.committed_entries: dict[int, log_lib.Entry] = {}
        self.acknowledged: list[tuple[int, bytes]] = []
        self.leaders_by_term: dict[int, str] = {}
        self.joining: dict[str, str] = {}
        self._proposals: dict[tuple[int, int], bytes] = {}
        self._lost_disk_count = 0
        snapshot = snapshots.encode_snapshot(
            group_lib.initial_group(names), b""
        )
        for name in names:
            self.disks[name] = Disk(
                group_lib.original_member_id(name),
                states.HardState(),
                (0, 0),
                snapshot,
                [],
            )
            self.start(name)

    # Simulation steps.

    def start(self, name: str) -> None:
        """Starts an instance from its disk, unless it is running."""
        if name in self.voters or name not in self.disks:
            return
        disk = self.disks[name]
        group = group_lib.Group()
        if disk.snapshot:
            group = snapshots.decode_snapshot_group(disk.snapshot)
        self.voters[name] = consensus.Voter(
            disk.member_id,
            group,
            timing=states.Timing(),
            rng=random.Random(self.rng.random()),
            now=self.now,
            hard_state=copy.copy(disk.hard_state),
            log=disk.log(),
            snapshot_data=disk.snapshot,
        )

    def crash(self, name: str) -> None:
        """Stops an instance; state that was not synced is lost."""
        self.voters.pop(name, None)

    def crash_before_sync(self, name: str) -> None:
        """Stops an instance after a tick whose effects were not synced."""
        voter = self.voters.get(name)
        if voter is not None:
            voter.tick(self.now + CRASH_TICK_DELAY_S)
            voter.take_effects()
        self.crash(name)

    def lose_disk(self, name: str) -> None:
        """Stops an instance and erases its disk; it rejoins under a new id."""
        self.crash(name)
        if self._can_lose_disk(name):
            self._lost_disk_count += 1
            member_id = f"{name}/new{self._lost_disk_count}"
            self.joining[name] = member_id
            self.disks[name] = Disk(
                member_id, states.HardState(), (0, 0), b"", []
            )

    def _can_lose_disk(self, name: str) -> bool:
        """Returns whether no other instance is replacing a lost disk."""
        return not self.joining or set(self.joining) == {name}

    def advance(self, seconds: float) -> None:
        """Advances the time of all instances."""
        self.now += seconds
        for name in list(self.voters):
            self.voters[name].tick(self.now)
            self._process_effects(name)
        self._propose_joins()
        self.check()

    def advance_with_paused(self, name: str, seconds: float) -> None:
        """Advances the time of all instances but one, which is paused."""
        self.now += seconds
        for other in list(self.voters):
            if other != name:
                self.voters[other].tick(self.now)
                self._process_effects(other)
        self.check()

    def deliver(self, position: int, *, duplicate: bool = False) -> None:
        """Delivers a message in flight.

        Args:
            position: Position in ``in_flight``, modulo its length.
            duplicate: Whether a copy stays in flight.
        """
        packet = steps_lib.take_packet(
            self.in_flight, position, duplicate=duplicate
        )
        if packet is None:
            return
        voter = self.voters.get(packet.receiver)
        if (
            voter is None
            or (packet.sender, packet.receiver) in self.blocked_links
        ):
            return
        voter.receive(packet.message, self.now)
        self._process_effects(packet.receiver)
        self.check()

    def drop(self, position: int) -> None:
        """Drops a message in flight."""
        steps_lib.drop_packet(self.in_flight, position)

    def block_link(self, sender: str, receiver: str) -> None:
        """Drops all messages from one instance to another from now on."""
        if sender != receiver:
            self.blocked_links.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Partitions an instance from all others, in both directions."""
        for other in self.names:
            self.block_link(name, other)
            self.block_link(other, name)

    def isolate_leader_until_replaced(self, data: bytes) -> None:
        """Isolates a leader with a new proposal, so that others elect one."""
        for name, voter in list(self.voters.items()):
            if voter.role is not states.Role.LEADER:
                continue
            self.isolate(name)
            self.propose(name, data)
            for _ in range(ISOLATION_STEPS):
                self.advance(STEP_S)
                for _ in range(len(self.in_flight)):
                    self.deliver(0)
            return

    def heal(self) -> None:
        """Restores all links."""
        self.blocked_links.clear()

    def propose(self, name: str, data: bytes) -> bool:
        """Proposes a command; returns False if it was not appended."""
        voter = self.voters.get(name)
        if voter is None:
            return False
        appended = voter.propose("change", data, self.now)
        if appended is not None:
            self._proposals[appended] = data
        self._process_effects(name)
        self.check()
        return appended is not None

    def compact(self, name: str) -> None:
        """Compacts the log of an instance up to its applied index."""
        voter = self.voters.get(name)
        if voter is None or voter.applied_index <= voter.log.base_index:
            return
        index = voter.applied_index
        term = voter.log.term_at(index)
        data = snapshots.encode_snapshot(
            voter.committed_group(), str(index).encode()
        )
        disk = self.disks[name]
        voter.compact(index, data)
        disk.base = (index, term)
        disk.snapshot = data
        disk.entries = [e for e in disk.entries if e.index > index]

    def converge(self) -> str:
        """Restores all links and instances, and waits for a common log.

        Returns:
            Name of the leader, once all voters have committed its whole log
            and no instance is replacing a lost disk.

        Raises:
            AssertionError: No such leader after ``MAX_WAIT_STEPS`` steps.
        """
        self.heal()
        for name in self.names:
            self.start(name)
        for _ in range(MAX_WAIT_STEPS):
            self.advance(STEP_S)
            while self.in_flight:
                self.deliver(0)
            leader = self._find_caught_up_leader()
            if leader:
                return leader
        raise AssertionError(
            f"after {MAX_WAIT_STEPS} steps with all instances running, no "
            f"leader's log is committed on all voters: leaders by term "
            f"{self.leaders_by_term}, joining {self.joining}, commit indexes "
            f"{ {name: v.commit_index for name, v in self.voters.items()} }"
        )

    def _find_caught_up_leader(self) -> str:
        for name, voter in self.voters.items():
            if voter.role is not states.Role.LEADER:
                continue
            caught_up = all(
                other.commit_index == voter.log.last_index
                for other in self.voters.values()
                if other.member_id in voter.group.voters
            )
            if caught_up and not self.joining:
                return name
        return ""

    # The part of an instance that drives its member: it syncs, sends and
    # applies the effects.

    def _process_effects(self, name: str) -> None:
        voter = self.voters[name]
        # The second time for the effects of ``record_synced``.
        for _ in range(2):
            effects = voter.take_effects()
            self._sync(name, effects)
            if effects.entries:
                voter.record_synced(effects.entries[-1].index, self.now)
            for message in effects.outgoing:
                self._send(name, message)
            for entry in effects.committed:
                self._apply(name, entry)
        if voter.role is states.Role.LEADER:
            new_group = self._plan_change(voter)
            if new_group is not None:
                voter.propose_group(new_group, self.now)

    def _plan_change(self, voter: consensus.Voter) -> group_lib.Group | None:
        return replacement_lib.plan_membership_change(
            voter, self.now, fault_tolerance=self.fault_tolerance
        )

    def _sync(self, name: str, effects: consensus.Effects) -> None:
        disk = self.disks[name]
        if effects.snapshot is not None:
            index, term, data = effects.snapshot
            disk.base = (index, term)
            disk.snapshot = data
            disk.entries = []
        if effects.hard_state is not None:
            disk.hard_state = effects.hard_state
        if effects.truncate_from is not None:
            disk.entries = [
                e for e in disk.entries if e.index < effects.truncate_from
            ]
        disk.entries += effects.entries

    def _send(self, name: str, message: Any) -> None:
        receiver = group_lib.instance_name(message.to_member)
        if (name, receiver) in self.blocked_links:
            return
        self.in_flight.append(Packet(name, receiver, message))
        if len(self.in_flight) > MAX_IN_FLIGHT_MESSAGES:
            del self.in_flight[0]

    def _apply(self, name: str, entry: log_lib.Entry) -> None:
        known = self.committed_entries.setdefault(entry.index, entry)
        assert known == entry, (
            f"{name} applied {entry} at index {entry.index}, not {known}"
        )
        proposed = self._proposals.pop((entry.index, entry.term), None)
        if proposed is not None:
            self.acknowledged.append((entry.index, proposed))

    def _propose_joins(self) -> None:
        for name, member in list(self.voters.items()):
            if member.needs_admission(self.now):
                self._propose_learner(name, member.member_id)
        for name, member_id in list(self.joining.items()):
            if self._is_committed_voter(member_id):
                del self.joining[name]

    def _propose_learner(self, name: str, member_id: str) -> None:
        """Asks all leaders to admit a member as a learner."""
        for leader in self._leaders():
            if member_id in leader.group.members:
                continue
            appended = leader.propose_group(
                replacement_lib.admit_learner(leader.group, member_id, name),
                self.now,
            )
            assert appended is not None, (
                f"{leader.member_id} neither appended nor rejected the "
                f"learner {member_id}"
            )

    def _is_committed_voter(self, member_id: str) -> bool:
        return any(
            member_id in leader.committed_group().voters
            for leader in self._leaders()
        )

    def _leaders(self) -> list[consensus.Voter]:
        return [
            voter
            for voter in self.voters.values()
            if voter.role is states.Role.LEADER
        ]

    # Invariants.

    def check(self) -> None:
        """Asserts the invariants that must hold after each step."""
        self.check_count += 1
        for name, voter in self.voters.items():
            voter.check_invariants()
            if voter.role is states.Role.LEADER:
                term = voter.hard_state.term
                known = self.leaders_by_term.setdefault(term, voter.member_id)
                assert known == voter.member_id, (
                    f"both {known} and {voter.member_id} lead term {term}"
                )
            for entry in voter.log.entries:
                committed = self.committed_entries.get(entry.index)
                if entry.index <= voter.commit_index and committed:
                    assert committed == entry, (
                        f"{name} changed committed entry {entry.index} from "
                        f"{committed} to {entry}"
                    )
        for index, data in self.acknowledged[-CHECKED_ACKNOWLEDGEMENTS:]:
            assert self.committed_entries[index].data == data, (
                f"acknowledged proposal {data!r} is lost: entry {index} is "
                f"{self.committed_entries[index]}"
            )


def take_random_step(
    simulation: ControlGroupSimulation, rng: random.Random
) -> None:
    """Runs one random step, chosen by weight."""
    name = rng.choice(simulation.names)
    other = rng.choice(simulation.names)
    steps = [
        (30, lambda: simulation.deliver(steps_lib.random_position(rng))),
        (60, lambda: simulation.deliver(0)),
        (8, lambda: simulation.advance(rng.choice(USUAL_STEPS_S))),
        (
            4,
            lambda: simulation.deliver(
                steps_lib.random_position(rng), duplicate=True
            ),
        ),
        (2, lambda: simulation.drop(steps_lib.random_position(rng))),
        (12, lambda: simulation.propose(name, rng.randbytes(4))),
        (0.3, lambda: simulation.advance(LONG_STEP_S)),
        (0.3, lambda: simulation.advance_with_paused(name, PAUSE_S)),
        (0.5, lambda: simulation.crash(name)),
        (0.3, lambda: simulation.crash_before_sync(name)),
        (4, lambda: simulation.start(name)),
        (0.4, lambda: simulation.block_link(name, other)),
        (0.3, lambda: simulation.isolate(name)),
        (
            0.2,
            lambda: simulation.isolate_leader_until_replaced(rng.randbytes(4)),
        ),
        (1, simulation.heal),
        (1, lambda: simulation.compact(name)),
        (0.1, lambda: simulation.lose_disk(name)),
    ]
    steps_lib.run_weighted_step(steps, rng)
