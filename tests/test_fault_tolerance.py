"""Groups that lose as many disks as the settings allow, beside stops.

Fault pattern: the leader removes voters that it can't reach, so that the
remaining voters no longer bear the loss of as many disks as the settings say
may be lost at the same time.
"""

from chivelb_core.testing import overlapping_losses
from chivelb_core.testing import replacement_days
import pytest

LOSSES = (1, 2, 3)


def make_group(fault_tolerance, *, spare=0, seed=1):
    return overlapping_losses.OverlapSimulation(
        seed,
        count=2 * fault_tolerance + 1 + spare,
        fault_tolerance=fault_tolerance,
    )


def return_all(group):
    group.heal()
    group.start_all()
    assert group.acknowledge(b"all are back")
    assert not group.missing_commands()


def non_leaders(group):
    return [name for name in group.names if name != group.leader_name()]


# Guards against a group without a leader for good (review/6): three of six
# instances are stopped, a change is acknowledged, two disks are lost.
@pytest.mark.parametrize("seed", range(5))
def test_two_disks_are_lost_while_three_instances_are_stopped(seed):
    group = make_group(2, spare=1, seed=seed)
    for name in ("new1", "new2", "new3"):
        group.crash(name)
    group.run(8.0)
    assert group.acknowledge(b"before the losses")
    for name in ("c0", "c1"):
        group.wipe(name)
    group.run(1.0)
    return_all(group)


# Guards against the same fault after a milder disruption: two of five
# instances are frozen for 4 s, and two others lose their disks.
@pytest.mark.parametrize("seed", range(5))
def test_two_disks_are_lost_after_two_instances_were_frozen(seed):
    group = make_group(2, seed=seed)
    frozen = non_leaders(group)[:2]
    for name in frozen:
        group.isolate(name)
    group.run(4.0)
    assert group.acknowledge(b"while two are frozen")
    for name in [name for name in group.names if name not in frozen][:2]:
        group.wipe(name)
    return_all(group)


# Guards against an acknowledged change that stands on too few disks, and
# against a group that is too small to bear the losses afterwards.
@pytest.mark.parametrize("fault_tolerance", LOSSES)
@pytest.mark.parametrize("spare", [0, 1, 2])
def test_no_group_is_smaller_than_its_losses_require(fault_tolerance, spare):
    group = make_group(fault_tolerance, spare=spare)
    assert len(group.voter_names()) >= 2 * fault_tolerance + 1
    for name in non_leaders(group)[:fault_tolerance]:
        group.crash(name)
        for _ in range(60):
            group.run(0.1)
            voters = group.leader().group.voters
            assert len(voters) >= 2 * fault_tolerance + 1
    assert group.acknowledge(b"while some are stopped")
    holders = [
        name
        for name, disk in group.disks.items()
        if any(e.data == b"while some are stopped" for e in disk.entries)
    ]
    assert len(holders) > fault_tolerance


# Guards against an exchange of voters that is not safe in its middle: a voter
# is stopped, and the disks are lost at any moment until a standby has taken
# its place.
@pytest.mark.parametrize("fault_tolerance", LOSSES)
@pytest.mark.parametrize("steps", range(30, 60))
def test_disks_are_lost_during_the_exchange_of_a_voter(fault_tolerance, steps):
    group = make_group(fault_tolerance, spare=1)
    assert group.acknowledge(b"before the stop")
    voters = sorted(group.voter_names())
    stopped = next(n for n in voters if n != group.leader_name())
    group.crash(stopped)
    group.run(steps * replacement_days.STEP_S)
    others = [name for name in voters if name != stopped]
    for name in others[:fault_tolerance]:
        group.wipe(name)
    group.run(1.0)
    return_all(group)


# Guards against a group of a first start that stays as small as its founders,
# or waits longer than it takes the others to catch up.
def test_a_new_group_grows_to_the_size_that_its_losses_require():
    group = overlapping_losses.OverlapSimulation(1, count=3, fault_tolerance=2)
    assert len(group.voter_names()) == 3
    for _ in range(2):
        group.add_successor()
    group.run(1.0)
    assert len(group.voter_names()) == 5


# Guards against successors that get no vote because the group is smaller than
# its settings ask for: a group of three whose settings name two losses.
def test_a_replaced_instance_stops_counting_in_a_group_that_is_too_small():
    group = overlapping_losses.OverlapSimulation(1, count=3, fault_tolerance=2)
    group.lose_for_good("c1")
    group.run(1.0)
    group.add_successor()
    group.run(2 * replacement_days.CATCH_UP_S)
    assert group.voter_names() == {"c0", "c2", "new1"}
    group.crash("c2")
    assert group.acknowledge(b"after the replacement")


# Guards against a group that shrinks although nothing may be lost, and against
# one that never shrinks: five instances, of which one loss must be borne.
@pytest.mark.parametrize(("fault_tolerance", "left"), [(1, 3), (2, 5)])
def test_unreachable_voters_are_removed_down_to_the_required_number(
    fault_tolerance, left
):
    group = overlapping_losses.OverlapSimulation(
        1, count=5, fault_tolerance=fault_tolerance
    )
    for name in non_leaders(group)[:2]:
        group.crash(name)
    group.run(replacement_days.CATCH_UP_S)
    assert len(group.voter_names()) == left
    return_all(group)
    group.run(2 * replacement_days.CATCH_UP_S)
    assert len(group.voter_names()) == 5


# Guards against any order of stops, cuts and losses of disks after which the
# group has lost a change or leads no more.
@pytest.mark.parametrize("seed", range(60))
def test_a_group_survives_a_random_day_of_overlapping_losses(seed):
    report = overlapping_losses.run_day(seed)
    assert not report.problems, "\n".join([*report.events, *report.problems])
