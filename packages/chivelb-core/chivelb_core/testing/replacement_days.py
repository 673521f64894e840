"""Days on which instances of a control group are replaced and others lost.

A replaced instance is gone for good; its successor has another name, an empty
disk and no other knowledge than the names of running instances.
"""

import dataclasses
import random

from chivelb_core import consensus
from chivelb_core.consensus import states
from chivelb_core.testing import control_group

STEP_S = 0.05
# Time after which a lost instance that has returned, or a successor, no longer
# counts as lost.
CATCH_UP_S = 4.0
# Time from the return of a majority until the group must lead again.
RECOVERY_S = 8.0
MAX_STOP_S = 7.0
EVENTS_PER_DAY = 8


class ReplacementSimulation(control_group.ControlGroupSimulation):
    """Control group whose instances are replaced under other names.

    Attributes:
        gone: Names of instances that are gone for good.
        successor_count: Number of successors so far.
    """

    def __init__(
        self, seed: int, names: tuple[str, ...], *, fault_tolerance: int = 1
    ) -> None:
        """Creates a group that the named instances found."""
        super().__init__(seed, names, fault_tolerance=fault_tolerance)
        self.gone: set[str] = set()
        self.successor_count = 0

    def add_successor(self) -> str:
        """Starts a new instance with an empty disk; returns its name."""
        self.successor_count += 1
        name = f"new{self.successor_count}"
        self.names = (*self.names, name)
        member_id = f"{name}/joined"
        self.joining[name] = member_id
        self.disks[name] = control_group.Disk(
            member_id, states.HardState(), (0, 0), b"", []
        )
        self.start(name)
        return name

    def lose_for_good(self, name: str) -> None:
        """Removes an instance with its disk."""
        self.crash(name)
        self.gone.add(name)
        self.names = tuple(other for other in self.names if other != name)
        self.disks.pop(name, None)
        self.joining.pop(name, None)

    def wipe(self, name: str) -> None:
        """Stops an instance, erases its disk and starts it under its name."""
        self.crash(name)
        self._lost_disk_count += 1
        self.joining[name] = f"{name}/wiped{self._lost_disk_count}"
        self.disks[name] = control_group.Disk(
            self.joining[name], states.HardState(), (0, 0), b"", []
        )

    def power_off_all(self) -> None:
        """Stops all instances; messages in flight are lost."""
        for name in list(self.voters):
            self.crash(name)
        self.in_flight.clear()

    def start_all(self) -> None:
        """Starts all instances that are not gone."""
        for name in self.names:
            self.start(name)

    def run(self, seconds: float) -> None:
        """Advances the time; each message arrives within a step."""
        for _ in range(round(seconds / STEP_S)):
            self.advance(STEP_S)
            for _ in range(len(self.in_flight)):
                self.deliver(0)

    def leader(self) -> consensus.Voter | None:
        """Returns the leader of the newest term that may lead, or None."""
        leaders = [
            voter
            for voter in self.voters.values()
            if voter.role is states.Role.LEADER
            and voter.has_quorum_contact(self.now)
        ]
        return max(leaders, key=lambda v: v.hard_state.term, default=None)

    def commit(self, data: bytes) -> bool:
        """Proposes a command and returns whether it was committed in time."""
        started = self.now
        while self.now - started < RECOVERY_S:
            leader = self.leader()
            if leader is not None and self.propose(
                leader.member_id.split("/")[0], data
            ):
                self.run(1.0)
                if data in (known for _, known in self.acknowledged):
                    return True
            self.run(STEP_S)
        return False

    def voter_names(self) -> set[str]:
        """Returns the names of the leader's voters."""
        leader = self.leader()
        assert leader is not None, "no leader"
        members = leader.group.members
        return {members[voter].name for voter in leader.group.voters}


@dataclasses.dataclass(slots=True)
class DayReport:
    """Outcome of a random day.

    Attributes:
        events: What happened, in order, with its time in seconds.
        problems: What went wrong; empty if the group kept its promises.
        most_voters: Largest number of voters at any time.
    """

    events: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)
    most_voters: int = 0


def tolerated_losses(count: int) -> int:
    """Returns how many of the instances may be lost at once."""
    return (count - 1) // 2 if count < 6 else 2


def run_day(seed: int) -> DayReport:
    """Runs a random day of replacements, losses and power failures.

    As many instances are lost at once as the group must bear: one that has
    returned, or a successor, counts as lost for ``CATCH_UP_S`` more. All may
    lose power at any time, also in the middle of a replacement.
    """
    rng = random.Random(seed)
    count = rng.choice((3, 3, 3, 5, 6, 8))
    names = tuple(f"c{number}" for number in range(count))
    day = ReplacementSimulation(
        seed, names[:3], fault_tolerance=tolerated_losses(count)
    )
    report = DayReport([f"{count} instances"])
    day.run(3.0)
    for _ in names[3:]:
        day.add_successor()
    day.run(2 * CATCH_UP_S)
    for number in range(EVENTS_PER_DAY):
        _run_event(day, rng, report, count)
        if not day.commit(f"day {number}".encode()):
            report.problems.append(f"{day.now:.1f}: nothing is committed")
            return report
        day.run(CATCH_UP_S)
        _check_group(day, report, count)
    return report


def _run_event(
    day: ReplacementSimulation,
    rng: random.Random,
    report: DayReport,
    count: int,
) -> None:
    """Loses some instances, perhaps all power, and lets them return."""
    losses = rng.randint(1, tolerated_losses(count))
    victims = rng.sample(day.names, losses)
    events = {name: _choose_event(rng) for name in victims}
    report.events.append(f"{day.now:.1f}: {events}")
    returning = [_start_event(day, rng, *event) for event in events.items()]
    if rng.random() < 0.5:
        day.run(rng.choice((0.0, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0, 5.0)))
        report.events.append(f"{day.now:.1f}: power off")
        day.power_off_all()
        day.run(rng.random() * 2.0)
        for name in day.names:
            if name not in victims:
                day.start(name)
                day.run(rng.choice((0.0, 0.0, 0.3)))
    day.run(rng.random() * MAX_STOP_S)
    for finish in returning:
        finish()
    day.heal()
    day.start_all()


def _choose_event(rng: random.Random) -> str:
    return rng.choice(("planned", "planned", "lost", "wiped", "down", "cut"))


def _start_event(
    day: ReplacementSimulation, rng: random.Random, name: str, kind: str
):
    """Starts an event at an instance; returns what ends it."""
    if kind == "planned":
        day.add_successor()
        day.run(rng.choice((0.2, 1.0, 1.0, 3.0, 6.0)))
        day.lose_for_good(name)
        return lambda: None
    if kind == "lost":
        day.lose_for_good(name)
        day.run(1.0)
        day.add_successor()
        return lambda: None
    if kind == "wiped":
        day.wipe(name)
        return lambda: day.start(name)
    if kind == "down":
        day.crash(name)
        return lambda: day.start(name)
    day.isolate(name)
    return day.heal


def _check_group(
    day: ReplacementSimulation, report: DayReport, count: int
) -> None:
    """Checks that the voters are running instances, and enough of them."""
    names = day.voter_names()
    report.most_voters = max(report.most_voters, len(names))
    if names & day.gone and len(names) - len(names & day.gone) < (
        len(names) // 2 + 1 + tolerated_losses(count)
    ):
        report.problems.append(
            f"{day.now:.1f}: too few of the voters {sorted(names)} are left "
            f"without {sorted(day.gone)}"
        )
    if len(names - day.gone) < 2 * tolerated_losses(count) + 1:
        report.problems.append(
            f"{day.now:.1f}: only {sorted(names - day.gone)} vote"
        )
