"""Random days of a fleet in which requests crash targets, by seed.

python tests/crash_days.py 1000 1400    # these seeds, by hand
"""

import asyncio
import dataclasses
import random
import sys

import builders
import crashing_fleet
import seeded_days

CONTACT_S = 3.0
CRASHES = 5
MAX_LATER_ARRIVALS = 3
MIN_BEGUN_RATIO = 0.5
BEGIN_S = 5.0
END_S = 25.0
PARTS = ("bad", "bad-2")
KINDS = (
    "one part",
    "two parts",
    "companion",
    "restarts",
    "full targets",
    "broken connections",
    "other crashes",
)


@dataclasses.dataclass(slots=True)
class CrashDay:
    """A day and what happens in it.

    Attributes:
        seed: Seed of all random choices.
        kind: One of ``KINDS``.
        rng: Source of randomness.
        restarts: Time of each restart, and the instance.
    """

    seed: int
    kind: str
    rng: random.Random
    restarts: list[tuple[float, str]] = dataclasses.field(default_factory=list)

    def fleet_options(self):
        """Returns the size of the fleet."""
        options = {
            "seed": self.seed,
            "instance_count": self.rng.choice([2, 4, 9]),
        }
        if self.kind == "full targets":
            options.update(target_count=6, slots=4)
        return options

    async def play(self, fleet):
        """Runs the day."""
        fleet.crashing_parts = set(PARTS[: 1 + (self.kind == "two parts")])
        if self.kind == "broken connections":
            fleet.reset_ratio = 0.05
        if self.kind == "other crashes":
            for at in (6.0, 9.0, 12.0):
                self._at(at, fleet.crash_some, 0.4)
        if self.kind == "restarts":
            self._plan_restarts(fleet)
        await fleet.run_traffic(
            END_S,
            per_s=self.rng.uniform(20.0, 60.0),
            also=list(self._senders(fleet)),
        )

    def _at(self, at, function, *arguments):
        asyncio.get_running_loop().call_later(at, function, *arguments)

    def _plan_restarts(self, fleet):
        members = [m for m in fleet.members if not m.anchor]
        for _ in range(4):
            at = self.rng.uniform(6.0, 20.0)
            member = self.rng.choice(members)
            self.restarts.append((at, member.name))
            self._at(at, fleet.start_instance, member)

    def _senders(self, fleet):
        """Yields rates and senders of the requests that crash targets."""
        per_s = self.rng.uniform(0.5, 15.0)
        route = builders.make_route(max_attempts=1)
        if self.rng.random() < 0.5:
            route = builders.make_route(max_attempts=2, resumable=True)

        def send_after(at, *parts):
            def send_one():
                if fleet.now() > at:
                    first = f"first-{fleet.rng.randrange(2)}"
                    fleet.send(first, *parts, route=route)

            return send_one

        if self.kind == "companion":
            yield per_s, send_after(BEGIN_S, "companion", PARTS[0])
            yield 1.0, send_after(12.0, "companion")
            yield 1.0, send_after(15.0, PARTS[0])
            return
        for part in sorted(fleet.crashing_parts):
            yield per_s, send_after(BEGIN_S, part)

    def problems(self, fleet):
        """Yields what callers were promised and did not get."""
        for part in sorted(fleet.crashing_parts):
            crashes = fleet.crashes[part]
            if len(crashes) < CRASHES:
                continue
            later = [
                arrival
                for arrival in fleet.arrivals_after(
                    part, crashes[CRASHES - 1] + CONTACT_S
                )
                if self._is_in_touch(arrival)
            ]
            if len(later) > MAX_LATER_ARRIVALS:
                yield f"{len(later)} requests with {part} reached targets later"
        if self.kind != "full targets":
            yield from self._lost(fleet)

    def _is_in_touch(self, arrival):
        return not any(
            name == arrival.sender and at <= arrival.at < at + CONTACT_S
            for at, name in self.restarts
        )

    def _lost(self, fleet):
        last = max(c[:CRASHES][-1] for c in fleet.crashes.values())
        start = last + 2 * CONTACT_S
        if start > END_S - 5.0:
            return
        for name in (None, "first-0", "first-1"):
            before = fleet.begun_between(1.0, BEGIN_S, name) / (BEGIN_S - 1.0)
            after = fleet.begun_between(start, END_S, name) / (END_S - start)
            if after < MIN_BEGUN_RATIO * before:
                yield f"{after:.1f} answers a second begin, {before:.1f} before"


def run_day(seed, monkeypatch):
    """Plays the day of a seed.

    Returns:
        The day, the fleet and the problems.
    """
    rng = random.Random(seed)
    day = CrashDay(seed, rng.choice(KINDS), rng)

    def make_fleet():
        return crashing_fleet.Fleet(**day.fleet_options())

    return day, *seeded_days.run_day(day, make_fleet, monkeypatch)


def _describe(seed, attributes):
    day, fleet, problems = run_day(seed, attributes)
    crashes = {part: len(times) for part, times in fleet.crashes.items()}
    refused = sum(
        not fleet.crashing_parts & set(call.shared_part_ids)
        for _, call in fleet.refused
    )
    return seed, day.kind, crashes, refused, problems


def main():
    """Plays the days of a range of seeds and prints those with problems."""
    results = seeded_days.play_seeds(_describe)
    for seed, kind, crashes, refused, problems in results:
        if problems or refused > 50:
            print(seed, kind, crashes, f"{refused} sound refused", problems)
    broken = sum(bool(problems) for *_, problems in results)
    most = max(max(crashes.values()) for _, _, crashes, _, _ in results)
    print(
        f"{len(results)} days, {broken} with problems, {most} crashes at most"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
