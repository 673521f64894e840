"""A handful of voters with modelled disks and a lossy network."""

import copy
import dataclasses
import random
from typing import Any

from chivelb_core import codes
from chivelb_core import consensus
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import joining
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states

MAX_IN_FLIGHT = 400
SETTLE_STEPS = 400
STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Disk:
    """What one voter has synced.

    Attributes:
        member_id: Its id.
        hard: Hard state.
        base: Index and term that the snapshot covers.
        snapshot: The newest snapshot.
        entries: Entries above it.
    """

    member_id: str
    hard: states.HardState
    base: tuple[int, int]
    snapshot: bytes
    entries: list[log_lib.Entry]

    def log(self) -> log_lib.Log:
        """Returns the log as recovered."""
        log = log_lib.Log(*self.base)
        log.entries = list(self.entries)
        return log


@dataclasses.dataclass(slots=True)
class Letter:
    """A message on its way.

    Attributes:
        sender: Name of the sending instance.
        receiver: Name of the receiving instance.
        message: The message.
    """

    sender: str
    receiver: str
    message: Any


class ControlGroup:
    """Voters, disks and network, driven step by step.

    After each step ``check`` asserts: one leader a term; committed entries
    equal everywhere and for ever; acknowledged proposals are kept.

    Attributes:
        now: Time in seconds.
        voters: Running voters by instance name.
        disks: Synced state by instance name.
        in_flight: Messages on their way.
        cuts: Pairs of sender and receiver whose messages are lost.
        ledger: Committed entries by index.
        acknowledged: Indexes and data of acknowledged proposals.
        steps: Number of steps taken.
    """

    def __init__(self, seed: int, names: tuple[str, ...] = ("a", "b", "c")):
        """Creates a group whose members are all new.

        Args:
            seed: Seed of the voters' randomness.
            names: Names of the instances.
        """
        self.rng = random.Random(seed)
        self.names = names
        self.now = 0.0
        self.steps = 0
        self.voters: dict[str, consensus.Voter] = {}
        self.disks: dict[str, Disk] = {}
        self.in_flight: list[Letter] = []
        self.cuts: set[tuple[str, str]] = set()
        self.ledger: dict[int, log_lib.Entry] = {}
        self.acknowledged: list[tuple[int, bytes]] = []
        self.leaders: dict[int, str] = {}
        self.joining: dict[str, str] = {}
        self._proposals: dict[tuple[int, int], bytes] = {}
        self._lives = 0
        first = group_lib.Group(
            {f"{n}/1": group_lib.Member(f"{n}/1", n, True) for n in names}
        )
        snapshot = snapshots.encode_snapshot(first, b"")
        for name in names:
            self.disks[name] = Disk(
                f"{name}/1", states.HardState(), (0, 0), snapshot, []
            )
            self.start(name)

    # Steps.

    def start(self, name: str) -> None:
        """Starts an instance with what its disk holds."""
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
            hard=copy.copy(disk.hard),
            log=disk.log(),
            snapshot_data=disk.snapshot,
        )

    def crash(self, name: str) -> None:
        """Ends an instance; what was not synced is lost."""
        self.voters.pop(name, None)

    def crash_before_sync(self, name: str) -> None:
        """Ends an instance between a step and its sync."""
        voter = self.voters.get(name)
        if voter is not None:
            voter.tick(self.now + 3.0)
            voter.take_effects()
        self.crash(name)

    def lose_disk(self, name: str) -> None:
        """Ends an instance and loses its disk; it comes back as new."""
        self.crash(name)
        if self._may_lose(name):
            self._lives += 1
            member_id = f"{name}/new{self._lives}"
            self.joining[name] = member_id
            self.disks[name] = Disk(
                member_id, states.HardState(), (0, 0), b"", []
            )

    def _may_lose(self, name: str) -> bool:
        """A second disk is lost only after the first one is repaired."""
        return not self.joining or set(self.joining) == {name}

    def advance(self, seconds: float) -> None:
        """Lets time pass for all."""
        self.now += seconds
        for name in list(self.voters):
            self.voters[name].tick(self.now)
            self._carry_out(name)
        self._ask_to_join()
        self.check()

    def pause_then_tick(self, name: str, seconds: float) -> None:
        """Lets time pass while one instance is frozen."""
        self.now += seconds
        for other in list(self.voters):
            if other != name:
                self.voters[other].tick(self.now)
                self._carry_out(other)
        self.check()

    def deliver(self, position: int, *, again: bool = False) -> None:
        """Delivers a message on its way; ``again`` leaves a copy there."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        letter = self.in_flight[position]
        if not again:
            del self.in_flight[position]
        voter = self.voters.get(letter.receiver)
        if voter is None or (letter.sender, letter.receiver) in self.cuts:
            return
        voter.receive(letter.message, self.now)
        self._carry_out(letter.receiver)
        self.check()

    def drop(self, position: int) -> None:
        """Loses a message on its way."""
        if self.in_flight:
            del self.in_flight[position % len(self.in_flight)]

    def cut(self, sender: str, receiver: str) -> None:
        """Loses what one instance sends to another from now on."""
        if sender != receiver:
            self.cuts.add((sender, receiver))

    def isolate(self, name: str) -> None:
        """Cuts an instance off from all others, both ways."""
        for other in self.names:
            self.cut(name, other)
            self.cut(other, name)

    def strand_leader(self, data: bytes) -> None:
        """Cuts a leader off with a fresh proposal until others elect one."""
        for name, voter in list(self.voters.items()):
            if voter.role is not states.Role.LEADER:
                continue
            self.isolate(name)
            self.propose(name, data)
            for _ in range(60):
                self.advance(STEP_S)
                for _ in range(len(self.in_flight)):
                    self.deliver(0)
            return

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def propose(self, name: str, data: bytes) -> bool:
        """Proposes at an instance; False when it does not lead."""
        voter = self.voters.get(name)
        if voter is None:
            return False
        placed = voter.propose("change", data, self.now)
        if placed is not None:
            self._proposals[placed] = data
        self._carry_out(name)
        self.check()
        return placed is not None

    def compact(self, name: str) -> None:
        """Lets an instance take a snapshot of all it has applied."""
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

    def settle(self) -> str:
        """Heals and starts all, and returns the leader that results.

        Raises:
            AssertionError: No leader can commit, though all are up.
        """
        self.heal()
        for name in self.names:
            self.start(name)
        for _ in range(SETTLE_STEPS):
            self.advance(STEP_S)
            while self.in_flight:
                self.deliver(0)
            leader = self._settled_leader()
            if leader:
                return leader
        raise AssertionError("no leader though all instances are up")

    def _settled_leader(self) -> str:
        for name, voter in self.voters.items():
            if voter.role is not states.Role.LEADER:
                continue
            equal = all(
                other.commit_index == voter.log.last_index
                for other in self.voters.values()
                if other.member_id in voter.group.voters
            )
            if equal and not self.joining:
                return name
        return ""

    # What the node does around the aggregate.

    def _carry_out(self, name: str) -> None:
        voter = self.voters[name]
        for _ in range(2):
            effects = voter.take_effects()
            self._sync(name, effects)
            if effects.entries:
                voter.note_synced(effects.entries[-1].index, self.now)
            for message in effects.outgoing:
                self._send(name, message)
            for entry in effects.committed:
                self._apply(name, entry)
        if voter.role is states.Role.LEADER:
            step = joining.plan_next_step(voter)
            if step is not None:
                voter.propose_group(step, self.now)

    def _sync(self, name: str, effects: consensus.Effects) -> None:
        disk = self.disks[name]
        if effects.snapshot is not None:
            index, term, data = effects.snapshot
            disk.base = (index, term)
            disk.snapshot = data
            disk.entries = []
        if effects.hard_state is not None:
            disk.hard = effects.hard_state
        if effects.truncate_from is not None:
            disk.entries = [
                e for e in disk.entries if e.index < effects.truncate_from
            ]
        disk.entries += effects.entries

    def _send(self, name: str, message: Any) -> None:
        receiver = message.to_member.split("/")[0]
        if (name, receiver) in self.cuts:
            return
        self.in_flight.append(Letter(name, receiver, message))
        if len(self.in_flight) > MAX_IN_FLIGHT:
            del self.in_flight[0]

    def _apply(self, name: str, entry: log_lib.Entry) -> None:
        known = self.ledger.setdefault(entry.index, entry)
        assert known == entry, f"{name} applied another entry {entry.index}"
        proposed = self._proposals.pop((entry.index, entry.term), None)
        if proposed is not None:
            self.acknowledged.append((entry.index, proposed))

    def _ask_to_join(self) -> None:
        for name, member_id in list(self.joining.items()):
            for voter in list(self.voters.values()):
                if voter.role is not states.Role.LEADER:
                    continue
                member = voter.group.members.get(member_id)
                if member is None:
                    placed = voter.propose_group(
                        joining.admit_learner(voter.group, member_id, name),
                        self.now,
                    )
                    assert placed is not None
                    if isinstance(placed, codes.Fault):
                        continue
                elif member.votes and member_id in (
                    voter.committed_group().voters
                ):
                    del self.joining[name]
                    break

    # Invariants.

    def check(self) -> None:
        """Asserts what must hold after each step."""
        self.steps += 1
        for name, voter in self.voters.items():
            voter.check_invariants()
            if voter.role is states.Role.LEADER:
                term = voter.hard.term
                known = self.leaders.setdefault(term, voter.member_id)
                assert known == voter.member_id, f"two leaders in {term}"
            for entry in voter.log.entries:
                committed = self.ledger.get(entry.index)
                if entry.index <= voter.commit_index and committed:
                    assert committed == entry, f"{name} reverted"
        for index, data in self.acknowledged[-3:]:
            assert self.ledger[index].data == data, "an acknowledged change"


def take_random_step(group: ControlGroup, rng: random.Random) -> None:
    """Takes one random step; long runs by seed are made of these."""
    name = rng.choice(group.names)
    other = rng.choice(group.names)
    steps = [
        (30, lambda: group.deliver(rng.randrange(1 << 16))),
        (60, lambda: group.deliver(0)),
        (8, lambda: group.advance(rng.choice((0.02, 0.1)))),
        (4, lambda: group.deliver(rng.randrange(1 << 16), again=True)),
        (2, lambda: group.drop(rng.randrange(1 << 16))),
        (12, lambda: group.propose(name, rng.randbytes(4))),
        (0.3, lambda: group.advance(2.5)),
        (0.3, lambda: group.pause_then_tick(name, 2.0)),
        (0.5, lambda: group.crash(name)),
        (0.3, lambda: group.crash_before_sync(name)),
        (4, lambda: group.start(name)),
        (0.4, lambda: group.cut(name, other)),
        (0.3, lambda: group.isolate(name)),
        (0.2, lambda: group.strand_leader(rng.randbytes(4))),
        (1, group.heal),
        (1, lambda: group.compact(name)),
        (0.1, lambda: group.lose_disk(name)),
    ]
    weights = [weight for weight, _ in steps]
    rng.choices([step for _, step in steps], weights)[0]()
