"""Membership: failures, refutations and the traffic of a group.

Load pattern: besides single failures, a large deployment of which all instances
start at once, with processors that are too busy to answer in time.
"""

from chivelb_core.membership import messages
from chivelb_core.membership import swim as swim_lib
from chivelb_core.testing import swim_group
import pytest

ZONE = [f"n{number}" for number in range(5)]


def make_group(seed=1, **options):
    group = swim_group.SwimSimulation({"r": ZONE}, seed=seed, **options)
    group.run(6.0)
    return group


@pytest.mark.parametrize("seed", range(4))
def test_a_crashed_instance_is_detected_within_bounds(seed):
    group = make_group(seed)
    group.crash("n2")
    # 15 s for a group of any size: ``len(ZONE) ** 0`` is 1.
    group.run(5 * len(ZONE) ** 0 + 10.0)
    assert group.observed_statuses("n2") == {"dead"}


def test_a_leaving_instance_is_reported_within_a_second():
    group = make_group()
    group.leave("n2")
    group.run(1.0)
    assert group.observed_statuses("n2") == {"left"}


def test_a_paused_instance_refutes_when_it_goes_on():
    group = make_group()
    group.paused.add("n1")
    group.run(12.0)
    assert group.observed_statuses("n1") == {"dead"}
    group.paused.clear()
    group.run(12.0)
    assert group.observed_statuses("n1") == {"alive"}
    assert all(group.observed_statuses(name) == {"alive"} for name in ZONE)


def test_a_short_pause_declares_no_other_instance_dead():
    group = make_group()
    group.paused.add("n1")
    group.run(4.0)
    group.paused.clear()
    group.run(0.5)
    others = [n for n in ZONE if n != "n1"]
    assert all(group.status("n1", n) in ("alive", "suspect") for n in others)
    group.run(8.0)
    assert all(group.observed_statuses(name) == {"alive"} for name in ZONE)


def test_a_one_way_link_failure_is_bridged_by_indirect_probes():
    group = make_group()
    group.block_link("n0", "n1")
    group.run(20.0)
    assert group.status("n0", "n1") == "alive"
    assert group.observed_statuses("n1") == {"alive"}


def test_a_flapping_link_leaves_all_alive_in_the_end():
    group = make_group()
    for _ in range(6):
        for other in ZONE[1:]:
            group.block_link("n0", other)
            group.block_link(other, "n0")
        group.run(1.5)
        group.blocked_links.clear()
        group.run(1.5)
    group.run(12.0)
    assert all(group.observed_statuses(name) == {"alive"} for name in ZONE)


def test_a_partitioned_group_heals():
    group = make_group()
    for one in ("n0", "n1"):
        for other in ("n2", "n3", "n4"):
            group.block_link(one, other)
            group.block_link(other, one)
    group.run(15.0)
    assert group.status("n0", "n3") == "dead"
    assert group.status("n0", "n1") == "alive"
    group.blocked_links.clear()
    group.run(40.0)
    assert all(group.observed_statuses(name) == {"alive"} for name in ZONE)


def test_loss_of_a_fifth_of_the_messages_leaves_nobody_dead():
    group = swim_group.SwimSimulation({"r": ZONE}, seed=2, loss=0.2)
    group.run(60.0)
    group.loss = 0.0
    group.run(10.0)
    assert all(group.observed_statuses(name) == {"alive"} for name in ZONE)


def test_a_restarted_instance_is_alive_again():
    group = make_group()
    group.crash("n2")
    group.run(15.0)
    group.start("r", "n2")
    group.run(12.0)
    assert group.observed_statuses("n2") == {"alive"}


def test_only_delegates_of_other_regions_are_tracked():
    regions = {
        "east": [f"e{number}" for number in range(12)],
        "west": [f"w{number}" for number in range(12)],
    }
    group = swim_group.SwimSimulation(regions, seed=3)
    group.run(20.0)
    swim = group.running_members["e0"]
    assert len(swim.live_members("east")) == 11
    assert 1 <= len(swim.live_members("west")) <= 4


def test_traffic_of_an_instance_does_not_grow_with_the_group():
    rates = {}
    for size in (5, 40):
        names = [f"n{number}" for number in range(size)]
        group = swim_group.SwimSimulation({"r": names}, seed=4)
        group.run(20.0)
        group.sent.clear()
        group.run(20.0)
        rates[size] = max(group.sent.values()) / 20.0
    assert rates[40] <= rates[5] * 2


@pytest.mark.parametrize("seed", range(3))
def test_a_large_group_survives_a_start_in_which_most_probes_time_out(seed):
    names = [f"n{number}" for number in range(63)]
    group = swim_group.SwimSimulation(
        {"r": names}, seed=seed, loss=0.4, delay_s=0.2, seed_count=3
    )
    group.run(6.0)
    group.loss, group.delay_s = 0.0, 0.005
    group.run(10.0)
    for name in names:
        assert group.observed_statuses(name) <= {"alive", "unknown"}
    group.run(10.0)
    unknown = [
        (observer, name)
        for observer in names
        for name in names
        if observer != name and group.status(observer, name) != "alive"
    ]
    assert len(unknown) <= 0.002 * len(names) ** 2


def test_all_members_of_a_large_group_know_each_other_soon_after_the_start():
    names = [f"n{number}" for number in range(63)]
    group = swim_group.SwimSimulation({"r": names}, seed=5, seed_count=3)
    group.run(6.0)
    for name in names:
        assert group.observed_statuses(name) == {"alive"}


# Load pattern: all of 200 instances come back at once, and each asks for all
# members. Guards against whole tables that bring nothing new, while callers
# wait for the instances to serve.
def test_instances_that_start_together_send_few_whole_tables():
    count = 200
    sim = swim_group.SwimSimulation(
        {"r": [f"i{number}" for number in range(count)]}, seed=1, seed_count=3
    )
    tables = []

    def record(sender, message):
        if isinstance(message, messages.Ack) and message.sequence == 0:
            tables.append(sender)

    sim.on_send = record
    sim.run(5.0)
    known = [len(swim.members) for swim in sim.running_members.values()]
    assert min(known) == count - 1
    sim.run(4.0)
    datagrams_of_a_table = count / swim_lib.MAX_UPDATES_PER_DATAGRAM
    assert len(tables) / count <= 3 * datagrams_of_a_table
