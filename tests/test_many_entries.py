"""Placement by many instances that have few requests each.

Load pattern: the same load for each runner, sent by more and more instances.
What an instance believes of a runner's load is then older than the requests
that it counts, unless it asks before it chooses.
"""

import asyncio
import functools

import builders
from chivelb_core import routing
from chivelb_core.forwarding import assignment
from chivelb_core.forwarding import waiting
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node.forwarding import admission
from chivelb_node.forwarding import placement
from chivelb_node.links import load_owners
from chivelb_node.wire import messages
import many_entries
import pytest
import simulated_runners

SINCE_S = 1.0


@pytest.fixture
def run_fleet(monkeypatch):
    return functools.partial(
        many_entries.run_fleet, monkeypatch, simulated_runners
    )


def median_and_p99_s(fleet):
    return [fleet.first_token_s(s, since=SINCE_S) for s in (0.5, 0.99)]


# Guards against requests that wait in the queues of some runners while others
# have room, because many instances place by loads that are out of date.
@pytest.mark.parametrize("seed", [1, 2])
def test_many_instances_place_as_well_as_a_few(run_fleet, seed):
    few = run_fleet(
        instance_count=19, runner_count=14, asks_owners=True, seed=seed
    )
    many = run_fleet(
        instance_count=195,
        runner_count=47,
        asks_owners=True,
        seed=seed,
        seconds=5.0,
    )
    assert not few.refused and not many.refused
    for few_s, many_s in zip(
        median_and_p99_s(few), median_and_p99_s(many), strict=True
    ):
        assert many_s <= 1.25 * few_s
    assert many.mean_error(since=SINCE_S) <= 1.0


# Guards against messages that grow with the number of instances.
def test_messages_of_an_instance_go_with_its_requests(run_fleet):
    rates = []
    for instances, runners in ((15, 5), (60, 20)):
        fleet = run_fleet(
            instance_count=instances,
            runner_count=runners,
            asks_owners=True,
            seconds=5.0,
        )
        rates.append(fleet.messages_per_s(5.0))
    assert rates[1] <= 1.3 * rates[0]


# Guards against calls that wait, or are placed blindly, behind an owner that
# was lost: the next instance by rank takes its place.
def test_calls_are_placed_while_owners_do_not_reply(monkeypatch, run_fleet):
    original = many_entries.Fleet.run

    async def run_with_silent_owners(fleet, seconds):
        # A third of the instances, and with them owners of a third of the
        # runners, take calls but are not reached by others.
        fleet.network.silent.update(
            member.name for member in fleet.members[::3]
        )
        return await original(fleet, seconds)

    monkeypatch.setattr(many_entries.Fleet, "run", run_with_silent_owners)
    fleet = run_fleet(instance_count=60, runner_count=20, asks_owners=True)
    assert not fleet.refused
    assert fleet.first_token_s(0.99, since=SINCE_S) <= 0.8
    waited_s = max(sent.waited_s for sent in fleet.sent)
    assert waited_s <= 4 * load_owners.QUERY_TIMEOUT_S


# Guards against an instance that serves nothing because it reaches no owner.
def test_an_instance_that_is_cut_off_places_by_its_own_requests(
    monkeypatch, run_fleet
):
    original = many_entries.Fleet.run
    lone = []

    async def run_with_a_lone_instance(fleet, seconds):
        name = fleet.members[0].name
        for other in fleet.network.hubs:
            fleet.network.cut |= {(name, other), (other, name)}
        lone.append(fleet.instances[0])
        fleet.receivers += fleet.instances[:1] * 4
        return await original(fleet, seconds)

    monkeypatch.setattr(many_entries.Fleet, "run", run_with_a_lone_instance)
    fleet = run_fleet(instance_count=20, runner_count=9, asks_owners=True)
    assert not fleet.refused
    assert lone[0].context.load.loads


def make_instance(*, instance_count=20):
    fleet = many_entries.Fleet(
        instance_count=instance_count, runner_count=9, asks_owners=True
    )
    return fleet, fleet.instances[0]


def test_the_owner_is_in_the_zone_of_the_target_and_the_same_for_all():
    fleet, _ = make_instance()
    zones = {member.name: member.zone for member in fleet.members}
    for identity, (_, zone) in fleet.runners.items():
        owners = {i.owners.owner(identity) for i in fleet.instances}
        assert len(owners) == 1
        assert zones[owners.pop()] == zone


def test_a_zone_without_instances_has_owners_elsewhere():
    assert assignment.load_owners("t", "z9", {"z1": ["a"]}) == ["a"]


def test_few_instances_tell_all_and_ask_nobody():
    _, instance = make_instance(instance_count=load_owners.MIN_INSTANCES - 1)
    assert not instance.owners.is_active
    _, instance = make_instance(instance_count=load_owners.MIN_INSTANCES)
    assert instance.owners.is_active


def test_the_reply_leaves_out_the_load_of_the_one_that_asks():
    fleet, instance = make_instance()
    load = instance.context.load
    load.on_change = lambda identity: None
    now = many_entries.context_lib.monotonic()
    load.record_send("runner-0", now, 100, 300)
    for peer in ("front-1", "front-2"):
        load.apply_peer_load(
            peer, "runner-0", routing.PeerLoad(now, 2, 50, 60, 0)
        )
    query = messages.LoadQuery(["runner-0", "gone"])
    reply = instance.owners._on_query("front-1", query)
    assert reply.entries == [messages.SendEntry("runner-0", 3, 150, 360, 0)]


def test_what_the_owner_told_replaces_the_reports_of_peers_and_expires():
    view = routing.LoadView()
    view.apply_peer_load("p", "t", routing.PeerLoad(0.0, 2, 0, 0))
    view.apply_told_load("t", routing.PeerLoad(0.5, 5, 100, 0))
    assert view.running("t", 0.6) == 5
    assert view.pending("t", 0.6) == 100
    assert view.running("t", 3.0) == 0
    view.check_invariants()


# Guards against instances that all take the same capacity, or targets of which
# they know nothing, while more is asked for than the runners can do.
def test_calls_of_many_instances_wait_for_capacity_that_is_known(
    monkeypatch, run_fleet
):
    monkeypatch.setattr(many_entries, "CALLS_PER_RUNNER_S", 26.0)
    fleet = run_fleet(
        instance_count=90, runner_count=20, asks_owners=True, seconds=4.0
    )
    assert fleet.mean_error(since=SINCE_S) <= 1.0
    # The largest prompt of a call takes 0.12 s, and prompts that await prefill
    # at a runner are limited to 16,000 tokens, 0.32 s.
    queued = sorted(sent.queued_s for sent in fleet.sent if sent.at >= SINCE_S)
    assert queued[int(0.95 * len(queued))] <= 1.0


class RecordingOwners:
    """Owners that reply to all questions; implements ``ports.LoadPort``."""

    is_active = True

    def __init__(self):
        self.asked = set()

    def is_known(self, identity, now):
        return identity in self.asked

    async def refresh(self, identities):
        self.asked.update(identities)
        return True


# Guards against calls that starve behind one that is bound to targets of
# another software version, because only its targets are asked for their load.
def test_owners_are_asked_for_calls_of_each_software_version():
    routed = builders.make_routed_document()
    context = builders.make_context(
        routed,
        old={"service": "lm", "software_version": "1", "address": "h:1"},
        new={"service": "lm", "software_version": "2", "address": "h:2"},
    )
    owners = RecordingOwners()
    queue = admission.AdmissionQueue(
        context,
        placement.PlacementPolicy(context, parts_lib.PartDirectory()),
        is_refused=lambda call, now: False,
        owners=owners,
    )
    waiting_list = queue.waiting_lists["lm"] = waiting.WaitingList()
    for version in ("1", None):
        call = builders.make_call(builders.make_route())
        call.software_version = version
        waiting_list.join(call, wait_started_at=0.0, item=None)
    asyncio.run(queue._ask_for_waiting_calls())
    assert owners.asked == {"old", "new"}
