"""Control instances that are replaced, and others that are lost later.

Fault pattern: the successor of an instance has another address, hence another
name; the replaced one stays a voter for ever. Each replacement makes the
quorum harder to reach, until one more loss leaves the group without a leader.
"""

from chivelb_core.testing import replacement_days
import pytest

NAMES = ("a", "b", "c")


def make_group(seed=1):
    group = replacement_days.ReplacementSimulation(seed, NAMES)
    group.run(3.0)
    return group


def replace(group, name, *, planned):
    if planned:
        successor = group.add_successor()
        group.run(1.0)
        group.lose_for_good(name)
    else:
        group.lose_for_good(name)
        group.run(1.0)
        successor = group.add_successor()
    group.run(replacement_days.CATCH_UP_S)
    return successor


def leader_name(group):
    return group.leader().member_id.split("/")[0]


# Guards against a group that elects no leader any more after a replacement
# and one more loss, because the replaced instance still counts as a voter.
@pytest.mark.parametrize("planned", [True, False])
@pytest.mark.parametrize("replaced", NAMES)
def test_a_group_survives_the_loss_of_an_instance_after_a_replacement(
    planned, replaced
):
    group = make_group()
    successor = replace(group, replaced, planned=planned)
    assert group.voter_names() == {*NAMES, successor} - {replaced}
    group.crash(next(name for name in NAMES if name != replaced))
    assert group.commit(b"after the loss")


# Guards against a leader that goes away and takes the group with it.
@pytest.mark.parametrize("planned", [True, False])
def test_a_group_survives_the_replacement_of_each_leader_in_turn(planned):
    group = make_group()
    for number in range(5):
        replace(group, leader_name(group), planned=planned)
        assert group.commit(f"replaced {number}".encode())
    assert len(group.voter_names()) == len(NAMES)
    assert not group.voter_names() & group.gone


# Guards against a replacement of two at once after which each loss is one
# too many.
def test_two_instances_that_are_replaced_at_once_stop_counting():
    group = make_group()
    for _ in range(2):
        group.add_successor()
    group.run(replacement_days.CATCH_UP_S)
    group.lose_for_good("a")
    group.lose_for_good("b")
    group.run(replacement_days.CATCH_UP_S)
    assert group.voter_names() == set(group.names)
    group.crash("c")
    assert group.commit(b"after the loss")


# Guards against a loss of all power in the middle of a replacement after
# which no majority is left.
@pytest.mark.parametrize("planned", [True, False])
@pytest.mark.parametrize("tenths", range(0, 40, 3))
def test_a_group_survives_a_loss_of_power_during_a_replacement(planned, tenths):
    group = make_group(seed=tenths)
    if planned:
        group.add_successor()
        group.run(1.0)
    group.lose_for_good("b")
    if not planned:
        group.run(1.0)
        group.add_successor()
    group.run(tenths / 10)
    group.power_off_all()
    group.start_all()
    assert group.commit(b"after the power is back")
    group.run(2 * replacement_days.CATCH_UP_S)
    assert group.voter_names() == set(group.names)


# Guards against an instance that was taken for gone and stays without a vote
# although it runs.
def test_an_instance_that_was_cut_off_during_a_replacement_returns():
    group = make_group()
    group.isolate("a")
    successor = group.add_successor()
    group.run(replacement_days.CATCH_UP_S)
    assert group.voter_names() == {"b", "c", successor}
    group.heal()
    group.run(replacement_days.CATCH_UP_S)
    assert group.commit(b"all are there")
    group.crash("b")
    group.run(replacement_days.CATCH_UP_S)
    assert group.voter_names() == {"a", "c", successor}
    group.crash("c")
    assert group.commit(b"two of three are left")


# Guards against any order of replacements, losses, cuts and power failures,
# within what a group must bear, after which it commits nothing any more.
@pytest.mark.parametrize("seed", range(1, 25))
def test_a_group_survives_a_random_day_of_replacements(seed):
    report = replacement_days.run_day(seed)
    assert not report.problems, report.events
