"""Long randomised runs of the aggregates, by seed."""

import random
import time

from chivelb_core.testing import claim_site
from chivelb_core.testing import control_group
from chivelb_core.testing import swim_group

STEPS_PER_ROUND = 2_000
SETTLE_EVERY = 250
NAMES = [f"n{number}" for number in range(7)]


class SoakError(Exception):
    """A round that failed; the text names its seed."""


def run(*, seed: int, minutes: float) -> dict[str, int]:
    """Runs rounds until the time is over.

    Args:
        seed: Seed of the first round; each round has the next one.
        minutes: Longest time; a round that has begun is ended.

    Returns:
        Steps taken by aggregate.

    Raises:
        SoakError: A round ended with any exception.
    """
    steps = {"control group": 0, "claims": 0, "membership": 0, "rounds": 0}
    deadline = time.monotonic() + minutes * 60
    while time.monotonic() < deadline:
        try:
            _run_round(seed, steps)
        except Exception as error:
            kind = type(error).__name__
            raise SoakError(f"seed {seed}: {kind}: {error}") from error
        steps["rounds"] += 1
        seed += 1
    return steps


def _run_round(seed: int, steps: dict[str, int]) -> None:
    rng = random.Random(seed)
    names = ("a", "b", "c") if seed % 2 else ("a", "b", "c", "d", "e")
    group = control_group.ControlGroup(seed, names)
    for step in range(STEPS_PER_ROUND):
        control_group.take_random_step(group, rng)
        if step % SETTLE_EVERY == 0:
            group.settle()
    leader = group.settle()
    assert group.propose(leader, b"last")
    group.settle()
    steps["control group"] += group.steps
    site = claim_site.ClaimSite()
    for _ in range(STEPS_PER_ROUND):
        claim_site.take_random_step(site, rng)
    steps["claims"] += site.steps
    steps["membership"] += _run_membership(seed, rng)


def _run_membership(seed: int, rng: random.Random) -> int:
    group = swim_group.SwimGroup({"r": NAMES}, seed=seed, loss=0.05)
    for _ in range(8):
        name = rng.choice(NAMES)
        other = rng.choice(NAMES)
        match rng.randrange(5):
            case 0:
                group.crash(name)
            case 1:
                group.frozen.add(name)
            case 2:
                group.cut(name, other)
            case 3:
                group.cuts.clear()
            case 4:
                group.frozen.clear()
        group.run(3.0)
        if name not in group.swims:
            group.start("r", name)
    group.frozen.clear()
    group.cuts.clear()
    group.loss = 0.0
    group.run(60.0)
    for name in NAMES:
        assert group.statuses(name) == {"alive"}, f"{name} is not alive"
    return group.steps
