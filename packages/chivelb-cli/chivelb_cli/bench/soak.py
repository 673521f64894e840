"""Long randomised simulations of the core, reproducible by seed.

The simulations are those of the Raft group of the voters (control group), of
the replicas of the idempotency claims, and of the membership protocol.
"""

import random
import time

from chivelb_core.testing import claim_keepers
from chivelb_core.testing import control_group
from chivelb_core.testing import swim_group

STEPS_PER_ROUND = 2_000
# Steps between two calls of ``converge``, which heals all links, starts all
# voters and waits for a leader.
CONVERGE_INTERVAL_STEPS = 250
# Membership: share of datagrams that are lost, faults of a round, and simulated
# time after each of them and after all.
DATAGRAM_LOSS = 0.05
FAULTS_PER_ROUND = 8
FAULT_PERIOD_S = 3.0
RECOVERY_S = 60.0
INSTANCE_NAMES = [f"n{number}" for number in range(7)]


class SoakError(Exception):
    """Raised when a round fails; the message names its seed."""


def run(*, seed: int, minutes: float) -> dict[str, int]:
    """Runs rounds until the time limit is reached.

    Args:
        seed: Seed of the first round; each round adds one to it.
        minutes: Time limit in minutes; a round in progress is completed.

    Returns:
        Number of steps by simulation, and number of rounds.

    Raises:
        SoakError: A round raised an exception.
    """
    steps = {"control group": 0, "claims": 0, "membership": 0, "rounds": 0}
    deadline = time.monotonic() + minutes * 60
    while time.monotonic() < deadline:
        try:
            _run_round(seed, steps)
        except Exception as error:
            error_type = type(error).__name__
            raise SoakError(f"seed {seed}: {error_type}: {error}") from error
        steps["rounds"] += 1
        seed += 1
    return steps


def _run_round(seed: int, steps: dict[str, int]) -> None:
    rng = random.Random(seed)
    voter_names = ("a", "b", "c") if seed % 2 else ("a", "b", "c", "d", "e")
    group = control_group.ControlGroupSimulation(seed, voter_names)
    for step in range(STEPS_PER_ROUND):
        control_group.take_random_step(group, rng)
        if step % CONVERGE_INTERVAL_STEPS == 0:
            group.converge()
    leader = group.converge()
    assert group.propose(leader, b"last")
    group.converge()
    steps["control group"] += group.check_count
    claims = claim_keepers.ClaimSimulation()
    for _ in range(STEPS_PER_ROUND):
        claim_keepers.take_random_step(claims, rng)
    steps["claims"] += claims.check_count
    steps["membership"] += _run_membership(seed, rng)


def _run_membership(seed: int, rng: random.Random) -> int:
    # All instances in one region.
    group = swim_group.SwimSimulation(
        {"r": INSTANCE_NAMES}, seed=seed, loss=DATAGRAM_LOSS
    )
    for _ in range(FAULTS_PER_ROUND):
        name = rng.choice(INSTANCE_NAMES)
        other = rng.choice(INSTANCE_NAMES)
        match rng.randrange(5):
            case 0:
                group.crash(name)
            case 1:
                group.paused.add(name)
            case 2:
                group.block_link(name, other)
            case 3:
                group.blocked_links.clear()
            case 4:
                group.paused.clear()
        group.run(FAULT_PERIOD_S)
        if name not in group.running_members:
            group.start("r", name)
    group.paused.clear()
    group.blocked_links.clear()
    group.loss = 0.0
    group.run(RECOVERY_S)
    for name in INSTANCE_NAMES:
        assert group.observed_statuses(name) == {"alive"}, (
            f"{name} is not reported alive by all instances"
        )
    return group.check_count
