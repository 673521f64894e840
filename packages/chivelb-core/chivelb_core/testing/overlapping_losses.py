"""Days on which stops of instances overlap with losses of disks.

Any number of instances may be stopped at the same time. As long as no more
disks are lost at once than the group must bear, it may be suspended until all
instances are back, but must then lead again with all that it acknowledged.
"""

import dataclasses
import random

from chivelb_core.testing import replacement_days

EVENTS_PER_DAY = 6
MAX_WAIT_S = 5.0
# Times between two steps of an event: within one exchange of messages, within
# one exchange of voters, and longer than the time-outs of the group.
PAUSES_S = (0.0, 0.05, 0.1, 0.2, 0.5, 1.0, 2.1, 3.0)


class OverlapSimulation(replacement_days.ReplacementSimulation):
    """Control group with any number of stops and a few lost disks.

    Attributes:
        committed: Commands that were acknowledged.
    """

    def __init__(
        self, seed: int, *, count: int, fault_tolerance: int, founders: int = 3
    ) -> None:
        """Creates a group and waits until all instances are members.

        Args:
            seed: Seed of the members' randomness.
            count: Number of instances.
            fault_tolerance: Disks that may be lost at the same time.
            founders: Number of instances that found the group.
        """
        names = tuple(f"c{number}" for number in range(count))
        super().__init__(
            seed, names[:founders], fault_tolerance=fault_tolerance
        )
        self.committed: list[bytes] = []
        self.run(3.0)
        for _ in names[founders:]:
            self.add_successor()
        self.run(2 * replacement_days.CATCH_UP_S)

    def acknowledge(self, data: bytes) -> bool:
        """Commits a command and records it if it was acknowledged."""
        is_committed = self.commit(data)
        if is_committed:
            self.committed.append(data)
        return is_committed

    def leader_name(self) -> str:
        """Returns the name of the leader's instance, or empty."""
        leader = self.leader()
        return "" if leader is None else leader.member_id.split("/")[0]

    def missing_commands(self) -> list[bytes]:
        """Returns acknowledged commands that the leader's log has not."""
        leader = self.leader()
        if leader is None:
            return self.committed
        held = {entry.data for entry in leader.log.entries}
        return [data for data in self.committed if data not in held]


@dataclasses.dataclass(slots=True)
class DayReport:
    """Outcome of a random day.

    Attributes:
        events: What happened, in order, with its time in seconds.
        problems: What went wrong; empty if the group kept its promises.
    """

    events: list[str] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)


def run_day(seed: int) -> DayReport:
    """Runs a random day of stops, cuts and lost disks that overlap."""
    rng = random.Random(seed)
    fault_tolerance = rng.choice((1, 1, 2, 2, 2, 3))
    count = 2 * fault_tolerance + 1 + rng.choice((0, 0, 1, 1, 2))
    day = OverlapSimulation(seed, count=count, fault_tolerance=fault_tolerance)
    report = DayReport(
        events=[f"{count} instances, {fault_tolerance} disks may be lost"]
    )
    for number in range(EVENTS_PER_DAY):
        _run_event(day, rng, report, number)
        if not day.acknowledge(f"day {number}".encode()):
            report.problems.append(f"{day.now:.1f}: nothing is committed")
            return report
        if missing := day.missing_commands():
            report.problems.append(f"{day.now:.1f}: lost {missing}")
            return report
        day.run(replacement_days.CATCH_UP_S)
    return report


def _run_event(
    day: OverlapSimulation, rng: random.Random, report: DayReport, number: int
) -> None:
    """Stops some instances and erases some disks, in random order."""
    stopped = rng.sample(day.names, rng.randint(0, len(day.names)))
    wiped = rng.sample(day.names, rng.randint(0, day.fault_tolerance))
    steps = [
        *((name, rng.choice(("stop", "cut"))) for name in stopped),
        *((name, "wipe") for name in wiped),
    ]
    rng.shuffle(steps)
    for name, kind in steps:
        report.events.append(f"{day.now:.2f}: {kind} {name}")
        if kind == "stop":
            day.crash(name)
        elif kind == "cut":
            day.isolate(name)
        else:
            day.wipe(name)
            if rng.random() < 0.5:
                day.start(name)
        day.run(rng.choice(PAUSES_S))
        if rng.random() < 0.2:
            report.events.append(f"{day.now:.2f}: command")
            _propose_at_leader(day, f"event {number} {len(report.events)}")
    day.run(rng.random() * MAX_WAIT_S)
    report.events.append(f"{day.now:.2f}: all are back")
    day.heal()
    returning = list(day.names)
    rng.shuffle(returning)
    for name in returning:
        day.start(name)
        day.run(rng.choice((0.0, 0.0, 0.3)))


def _propose_at_leader(day: OverlapSimulation, text: str) -> None:
    """Proposes a command, which counts once it is acknowledged."""
    data = text.encode()
    if day.leader_name() and day.propose(day.leader_name(), data):
        day.run(0.2)
        if data in (known for _, known in day.acknowledged):
            day.committed.append(data)
