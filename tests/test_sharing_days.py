"""Leases on the sharing epoch under faults, in long random runs."""

import random

import pytest
import sharing_days

STEPS = 4_000
# In all, so that the runs are known to meet what they look for.
MIN_LEASES = 200
MIN_EARLY_ENDS = 4


def run(seed, names=("a", "b", "c", "d")):
    simulation = sharing_days.SharingSimulation(seed, names)
    rng = random.Random(seed)
    for _ in range(STEPS):
        sharing_days.take_random_step(simulation, rng)
    return simulation


# Guards against an instance that shares under an old document after the change
# of isolation was acknowledged: crashed and paused voters, lost disks, changes
# of the group, late and repeated messages.
@pytest.mark.parametrize("first_seed", range(0, 12, 4))
def test_nobody_shares_under_an_epoch_whose_end_was_acknowledged(first_seed):
    days = [run(seed) for seed in range(first_seed, first_seed + 4)]
    assert sum(day.leases for day in days) > MIN_LEASES
    assert sum(day.early_ends for day in days) > MIN_EARLY_ENDS
    assert any(day.acknowledged_version for day in days)
