"""Random days of a fleet whose targets name request limits, by seed.

python tests/limit_days.py 1000 1400    # these seeds, by hand
"""

import asyncio
import dataclasses
import random
import sys

import limited_fleet
import seeded_days

NAMED_AT_S = 5.0
CHANGED_AT_S = 16.0
ENDED_AT_S = 26.0
END_S = 34.0
RATES_PER_S = (0.0, 0.1, 1.0, 2.5, 4.4, 4.4, 12.0, 60.0)
# Share of the limits that instances use if callers want more than that.
MIN_USED_RATIO = 0.5
# Share of its caller's time that a call may wait before it is refused.
MAX_REFUSED_AFTER = 0.75


@dataclasses.dataclass(slots=True)
class LimitDay:
    """A day and what happens in it.

    Attributes:
        rng: Source of randomness.
        all_limited: Whether all targets name a limit, or only some.
        first: Limit that is named at first.
        second: Limit that is named later; None if the first one goes on.
        instance_count: Number of instances.
        per_s: Calls in a second.
        has_disturbances: Whether instances start again or are cut off.
    """

    rng: random.Random
    all_limited: bool
    first: float
    second: float | None
    instance_count: int
    per_s: float
    has_disturbances: bool

    async def play(self, fleet):
        """Runs the day."""
        names = sorted(fleet.targets)
        limited = names if self.all_limited else names[: len(names) // 2]
        for name in limited:
            target = fleet.targets[name]
            target.limits.append((NAMED_AT_S, self.first))
            if self.second is not None:
                target.limits.append((CHANGED_AT_S, self.second))
            target.limits.append((ENDED_AT_S, None))
        if self.has_disturbances:
            self._plan_disturbances(fleet)
        await fleet.run_traffic(END_S, per_s=self.per_s)

    def _plan_disturbances(self, fleet):
        loop = asyncio.get_running_loop()
        names = sorted(fleet.instances)
        for name in self.rng.sample(names, max(1, len(names) // 4)):
            at = self.rng.uniform(6.0, 24.0)
            if self.rng.random() < 0.5:
                loop.call_later(at, fleet.start_instance, name)
                continue
            loop.call_later(at, fleet.cut, name)
            loop.call_later(
                at + self.rng.uniform(1.0, 5.0),
                lambda name=name: fleet.cut(name, heal=True),
            )

    def problems(self, fleet):
        """Yields what targets and callers were promised and did not get."""
        yield from fleet.excesses()
        if self.all_limited:
            yield from self._unused(fleet)
        elif len(fleet.refused) > 0.01 * len(fleet.served):
            yield f"{len(fleet.refused)} refused, others could have served"
        for at, waited_s, error_detail in fleet.refused:
            limit_s = MAX_REFUSED_AFTER * limited_fleet.CALLER_TIMEOUT_S
            if waited_s > limit_s or error_detail.retry_after_s is None:
                yield f"refused at {at:.1f} after {waited_s:.1f} s"
                break
        before = fleet.served_share(1.0, NAMED_AT_S - 1.0)
        after = fleet.served_share(ENDED_AT_S + 6.0, END_S)
        if after < 0.99 * before:
            yield f"{after:.2f} served after the end, {before:.2f} before"

    def _unused(self, fleet):
        for start, end, rate in (
            (NAMED_AT_S + 3.0, CHANGED_AT_S, self.first),
            (
                CHANGED_AT_S + 3.0,
                ENDED_AT_S,
                self.first if self.second is None else self.second,
            ),
        ):
            usable = min(rate * len(fleet.targets), self.per_s)
            used = fleet.arrived_per_s(start, end)
            if used < MIN_USED_RATIO * usable:
                yield f"{used:.1f} requests a second of {usable:.1f}"


def make_day(seed):
    """Returns the day of a seed."""
    rng = random.Random(seed)
    return LimitDay(
        rng,
        all_limited=rng.random() < 0.4,
        first=rng.choice(RATES_PER_S),
        second=rng.choice((None, *RATES_PER_S)),
        instance_count=rng.choice((1, 3, 9, 9, 30, 62)),
        per_s=rng.choice((20.0, 60.0, 150.0)),
        has_disturbances=rng.random() < 0.5,
    )


def run_day(seed, monkeypatch):
    """Plays the day of a seed.

    Returns:
        The day, the fleet and the problems.
    """
    day = make_day(seed)

    def make_fleet():
        return limited_fleet.Fleet(seed=seed, instance_count=day.instance_count)

    return day, *seeded_days.run_day(day, make_fleet, monkeypatch)


def _describe(seed, attributes):
    day, _, problems = run_day(seed, attributes)
    return seed, day, problems


def main():
    """Plays the days of a range of seeds and prints those with problems."""
    results = seeded_days.play_seeds(_describe)
    broken = [result for result in results if result[2]]
    for seed, day, problems in broken:
        print(seed, day, problems[:4])
    print(f"{len(results)} days, {len(broken)} with problems")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
