"""Evacuation of an availability zone: decisions, orders and their failures.

Load pattern: an operator orders that nothing more be sent to the targets of a
zone, or revokes that, while calls go on at all instances and instances, links
and voters fail.
"""

import asyncio
import contextlib
import random
import types

import aiohttp
import builders
from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import state as state_lib
from chivelb_node import context as context_lib
from chivelb_node.control import evacuations
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.edge import status as status_lib
from chivelb_node.forwarding import source_links
from chivelb_node.wire import messages
from chivelb_platform import control_api
import control_groups
import fake_ports
import pytest
import replicas as replicas_lib
import test_forwarder
import test_parts
import test_relays

COMMITTED = voter_client_lib.OrderOutcome.COMMITTED
SUPERSEDED = voter_client_lib.OrderOutcome.SUPERSEDED
UNKNOWN = voter_client_lib.OrderOutcome.UNKNOWN
NOW = 100.0


def order(state, zone="z2", *, evacuate=True, known=None):
    known_version = state.version if known is None else known
    return state.order_evacuation(
        zone, evacuate=evacuate, known_version=known_version
    )


def put_in_force(context, *zones):
    """Puts a document state in force in which these zones are evacuated."""
    current = context.document_state
    state = document.DocumentState(
        document=current.document,
        version=current.version + 1,
        number=current.number,
        evacuated_zones={zone: current.version + 1 for zone in zones},
    )
    assert context.apply_document_state(state)


# The replicated state.


# Guards against an evacuation that a new document ends.
def test_a_new_document_does_not_end_an_evacuation():
    state = builders.make_document_state()
    assert order(state)
    assert state.replace(
        builders.make_replacement(9, builders.make_routed_document())
    )
    state.apply_change(builders.make_change(base=state.version))
    assert state.evacuated_zones == {"z2": 2}
    assert order(state, evacuate=False)
    assert state.evacuated_zones == {}


# Guards against replicas that miss an order, or lose it with a snapshot.
def test_deltas_replicas_and_snapshots_carry_the_evacuated_zones():
    state = builders.make_document_state()
    replica = state.to_replica()
    assert order(state) and order(state, "z3")
    assert state.replace(
        builders.make_replacement(5, builders.make_routed_document())
    )
    followed = replica.apply_deltas(state.deltas_since(replica.version))
    assert followed.evacuated_zones == {"z2": 2, "z3": 3}
    for copied in (
        state_lib.decode_document_state(state_lib.encode_document_state(state)),
        state_lib.decode_document_state(
            state_lib.encode_replica(state, 1_000_000)
        ),
        state.copy(),
    ):
        assert copied.evacuated_zones == {"z2": 2, "z3": 3}
    assert order(state, evacuate=False)
    deltas = deltas_lib.decode_deltas(
        builders.encode_deltas(state.deltas_since(followed.version))
    )
    assert followed.apply_deltas(deltas).evacuated_zones == {"z3": 3}
    assert followed.apply_deltas([]).evacuated_zones == {"z2": 2, "z3": 3}


# Guards against an order that is applied twice: the status would tell of
# another version than that since which the zone is evacuated.
def test_a_repeated_order_leaves_the_zone_as_it_is():
    state = builders.make_document_state()
    for _ in range(3):
        assert order(state, known=1)
    assert state.evacuated_zones == {"z2": 2}
    for _ in range(2):
        assert order(state, evacuate=False)
    assert state.evacuated_zones == {}


# Guards against an order that an instance was still submitting when the
# operator, who had sent it again elsewhere, ordered the opposite.
def test_an_order_that_comes_after_a_newer_one_has_no_effect():
    state = builders.make_document_state()
    received_at = state.version
    assert order(state)
    assert order(state, evacuate=False)
    version = state.version
    assert not order(state, known=received_at)
    assert (state.evacuated_zones, state.version) == ({}, version)
    # Also if the order had never had an effect before the opposite one.
    assert order(state, evacuate=False)
    assert not order(state, known=version)
    # Other zones are not concerned, and neither is a new order.
    assert order(state, "z3", known=received_at)
    assert order(state)
    assert set(state.evacuated_zones) == {"z2", "z3"}


# Guards against a zone that is not as the last acknowledged order says, with
# orders that are sent again, arrive late or twice, and instances that are
# behind. Load: 60 orders of one operator for two zones.
@pytest.mark.parametrize("seed", range(40))
def test_the_last_acknowledged_order_holds(seed):
    rng = random.Random(seed)
    state = builders.make_document_state()
    delayed = []

    def deliver_late():
        for submission in list(delayed):
            if rng.random() < 0.3:
                order(state, submission[0], **submission[1])
                if rng.random() < 0.5:
                    delayed.remove(submission)

    expected = {}
    for _ in range(60):
        zone, evacuate = rng.choice(["z1", "z2"]), rng.random() < 0.5
        for _ in range(rng.randrange(3)):
            lag = rng.randrange(4)
            known = max(0, state.version - lag)
            delayed.append((zone, {"evacuate": evacuate, "known": known}))
        deliver_late()
        if rng.random() < 0.3:
            # The operator gives up; the order may take effect later.
            expected.pop(zone, None)
            continue
        while not order(
            state,
            zone,
            evacuate=evacuate,
            known=max(0, state.version - rng.randrange(3)),
        ):
            deliver_late()
        expected[zone] = evacuate
        deliver_late()
        for each, is_evacuated in expected.items():
            assert (each in state.evacuated_zones) == is_evacuated


# Eligibility.


def make_context(**options):
    return builders.make_context(
        a={"service": "lm", "address": "a:1", "zone": "z1", **options},
        b={"service": "lm", "address": "b:1", "zone": "z2", **options},
    )


def eligible(context, service="lm"):
    now = context_lib.monotonic()
    return [r.identity for r in context.targets.eligible(service, now)]


# Guards against new work for a zone that is evacuated, and against a zone that
# gets none for ever.
def test_targets_of_an_evacuated_zone_are_not_eligible_until_it_ends():
    context = make_context()
    put_in_force(context, "z2")
    assert eligible(context) == ["a"]
    assert not context.targets.is_eligible("b", context_lib.monotonic())
    # A target that is announced later is none either.
    record = builders.make_record("c", zone="z2", service="lm", lease_s=0.0)
    context.targets.announce(record, context_lib.monotonic())
    assert eligible(context) == ["a"]
    gauge = context.metrics.render().decode()
    assert 'chivelb_evacuated_zone{zone="z2"} 1.0' in gauge
    put_in_force(context)
    assert set(eligible(context)) == {"a", "b", "c"}
    assert "evacuated_zone{" not in context.metrics.render().decode()


def test_a_service_is_evacuated_if_no_target_is_left_for_that_reason_alone():
    context = make_context()
    table = context.targets
    now = context_lib.monotonic()
    assert not table.is_evacuated("lm", now)
    put_in_force(context, "z2")
    assert not table.is_evacuated("lm", now)
    table.mark_leaving("a", 1)
    assert table.is_evacuated("lm", now)
    assert not table.is_evacuated("web", now)
    table.mark_leaving("b", 1)
    assert not table.is_evacuated("lm", now)


# Guards against calls that wait for the end of a rest in an evacuated zone.
def test_a_resting_target_of_an_evacuated_zone_is_not_waited_for():
    context = make_context()
    now = context_lib.monotonic()
    context.targets.rest("b", 1, now + 1.0)
    assert context.targets.rest_ends_at("lm", now) == now + 1.0
    put_in_force(context, "z2")
    assert context.targets.rest_ends_at("lm", now) == float("inf")


# Calls.


def make_harness(*replies, **records):
    harness = test_forwarder.make_harness(
        *replies,
        **records
        or {
            "a": {"service": "lm", "zone": "z1"},
            "b": {"service": "lm", "zone": "z2"},
        },
    )
    return harness


# Guards against first attempts in the zone.
def test_no_first_attempt_goes_to_an_evacuated_zone():
    replies = [test_forwarder.stream(test_forwarder.E1) for _ in range(12)]
    harness = make_harness(*replies)
    # The own zone, whose targets are preferred otherwise.
    put_in_force(harness.context, "z1")
    for _ in replies:
        assert harness.run_call(test_forwarder.make_call()).end == "finished"
    assert {sent.record.identity for sent in harness.targets.sent} == {"b"}


# Guards against retries and resumed streams that begin before the order and go
# to the zone after it.
@pytest.mark.parametrize("has_begun", [False, True])
def test_an_order_during_a_call_keeps_its_next_attempt_out(has_begun):
    first = [test_forwarder.E1] if has_begun else []
    harness = make_harness(
        test_forwarder.stream(*first, 0.05, fake_ports.unknown()),
        test_forwarder.stream(test_forwarder.E2),
        a={"service": "lm", "zone": "z2"},
        b={"service": "lm", "zone": "z2"},
        c={"service": "lm", "zone": "z1"},
    )
    table = harness.context.targets
    table.mark_leaving("c", 1)

    async def run():
        call = test_forwarder.make_call()
        task = asyncio.create_task(harness.serve(call))
        while not harness.targets.sent:
            await asyncio.sleep(0.005)
        put_in_force(harness.context, "z2")
        return await task

    caller = asyncio.run(run())
    # The attempt that ran goes on to its end; no other target is left.
    assert len(harness.targets.sent) == 1
    assert caller.end == ("aborted" if has_begun else "refused")


# Guards against a request that is broken off because its zone is evacuated.
def test_a_request_that_runs_in_the_zone_ends_normally():
    harness = make_harness(
        test_forwarder.stream(test_forwarder.E1, 0.05, test_forwarder.E2),
        b={"service": "lm", "zone": "z2"},
    )

    async def run():
        call = test_forwarder.make_call()
        task = asyncio.create_task(harness.serve(call))
        while not harness.targets.sent:
            await asyncio.sleep(0.005)
        put_in_force(harness.context, "z2")
        return await task

    caller = asyncio.run(run())
    assert caller.end == "finished"
    assert caller.body == test_forwarder.E1 + test_forwarder.E2


# Guards against callers who wait for targets that get no requests.
def test_a_call_for_an_evacuated_service_is_refused_at_once():
    harness = make_harness(b={"service": "lm", "zone": "z2"})
    put_in_force(harness.context, "z2")
    call = test_forwarder.make_call(deadline=context_lib.monotonic() + 3_600)

    async def run():
        async with asyncio.timeout(5):
            return await harness.serve(call)

    caller = asyncio.run(run())
    assert caller.error_detail.code is codes.NO_TARGET
    assert "evacuated availability zones: z2" in caller.error_detail.detail
    assert caller.error_detail.retry_after_s
    assert harness.targets.sent == []


# Guards against calls that wait on after their zone was evacuated.
def test_a_call_that_waits_is_refused_once_its_targets_are_evacuated():
    harness = make_harness(b={"service": "lm", "zone": "z2"})
    context = harness.context
    now = context_lib.monotonic()
    # The only runner is full.
    context.load.record_send("b", now, 0, 100_000)
    call = test_forwarder.make_call(deadline=now + 3_600)
    queue = harness.admission_queue

    async def run():
        async with asyncio.timeout(5):
            task = asyncio.create_task(harness.serve(call))
            while not any(w.calls for w in queue.waiting_lists.values()):
                await asyncio.sleep(0.005)
            put_in_force(context, "z2")
            queue.update_queues()
            return await task

    caller = asyncio.run(run())
    assert caller.error_detail.code is codes.NO_TARGET
    assert "evacuated" in caller.error_detail.detail


# KV cache.


# Guards against runners that fetch KV cache from an evacuated zone, or save
# some there.
def test_sources_and_stores_of_an_evacuated_zone_are_left_out():
    near = builders.make_store(address="s1:1", zone="z1")
    far = builders.make_store(address="s2:1", zone="z2")
    routed = builders.make_routed_document()
    routed.services.update(near=near, far=far)
    context = builders.make_context(
        routed,
        a={"service": "lm", "address": "a:1", "zone": "z1"},
        b={"service": "lm", "address": "b:1", "zone": "z2"},
    )
    parts = {0: 100}
    directory = test_parts.make_directory(
        **{"a:1": parts, "b:1": parts, "s1:1": parts, "s2:1": parts}
    )
    links = source_links.SourceLinks(context, directory)
    engine = builders.make_engine()

    def addresses():
        runners = links.runner_links("lm", engine, {"a:1", "b:1"}, 0.0)
        return set(runners), {store.address for store in links.stores(0.0)}

    assert addresses() == ({"a:1", "b:1"}, {"s1:1", "s2:1"})
    put_in_force(context, "z2")
    assert addresses() == ({"a:1"}, {"s1:1"})
    kept = source_links.permitted_addresses(
        context, ["b:1", "a:1", "", "s2:1", "s1:1", "unknown:1"], None
    )
    assert kept == ["", "a:1", "", "", "s1:1", "unknown:1"]
    put_in_force(context)
    assert addresses() == ({"a:1", "b:1"}, {"s1:1", "s2:1"})


# Relayed attempts.


def relay(prepare, *, during_body=lambda peer: None):
    """Has a cut-off instance send a request through a peer.

    Returns:
        What the peer sent to targets, and the outcome if the attempt failed.
    """

    async def run():
        peer = test_relays.Instance("peer", fake_ports.FakeReply(b"ok"))
        prepare(peer)
        receive = test_relays.relay_server.relay_channel.receive_attempt

        async def receive_and_change(*arguments):
            attempt = await receive(*arguments)
            during_body(peer)
            return attempt

        async with test_relays.instances(peer) as cut:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(
                    test_relays.relay_server.relay_channel,
                    "receive_attempt",
                    receive_and_change,
                )
                try:
                    await test_relays.body_of(await cut.send())
                except calls.AttemptError as error:
                    return peer.targets.sent, error.outcome
        return peer.targets.sent, None

    return asyncio.run(run())


# Guards against an instance that does not know of the order and has a peer, who
# does, send requests to the zone.
@pytest.mark.parametrize("when", ["before", "during the body"])
def test_a_peer_relays_nothing_to_an_evacuated_zone(when):
    def evacuate(peer):
        put_in_force(peer.context, "z1")

    if when == "before":
        sent, outcome = relay(evacuate)
    else:
        sent, outcome = relay(lambda peer: None, during_body=evacuate)
    assert sent == []
    assert outcome.kind is calls.OutcomeKind.NOT_RUN


# Guards against a relayed request that has a runner fetch from the zone.
def test_a_peer_removes_sources_in_an_evacuated_zone():
    def prepare(peer):
        record = builders.make_record(
            "b", address="b:1", zone="z2", service="lm", lease_s=0.0
        )
        peer.context.targets.announce(record, context_lib.monotonic())
        put_in_force(peer.context, "z2")

    (assignment,), outcome = relay(prepare)
    assert outcome is None
    assert assignment.fetch_addresses == ["", ""]
    (assignment,), _ = relay(lambda peer: None)
    assert assignment.fetch_addresses == ["", "b:1"]


# Orders and the voters.


def make_client(group, name="operator"):
    context = builders.make_context()
    context.settings.control.voters = control_groups.SEEDS
    hub = replicas_lib.MemoryHub(name, group.network)
    # The voters see no control instance in it.
    del group.network.hubs[name]
    return voter_client_lib.VoterClient(context, hub)


async def submit(client, zone="z2", *, evacuate=True, timeout_s=20.0):
    return await client.submit_evacuation(
        zone, evacuate=evacuate, timeout_s=timeout_s
    )


def states(group):
    return [s.document_state for s in group.services.values()]


async def until_all_have(group, zones):
    await group.wait_until(
        lambda: all(set(s.evacuated_zones) == zones for s in states(group))
    )


# Guards against an order that is lost, or applied once more, when the leader
# crashes after the commit and before its answer.
def test_a_leader_that_crashes_before_its_answer(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            await group.commit()
            leader = group.leader()
            has_committed = asyncio.Event()
            handlers = group.network.hubs[leader.name].handlers
            apply = handlers[messages.CommandRequest]

            async def commit_and_crash(peer, request):
                await apply(peer, request)
                has_committed.set()
                await asyncio.Event().wait()

            handlers[messages.CommandRequest] = commit_and_crash
            task = asyncio.create_task(submit(make_client(group)))
            await has_committed.wait()
            since = leader.document_state.evacuated_zones["z2"]
            await group.stop(leader.name)
            assert await task is COMMITTED
            # So is the order that the operator sends again elsewhere.
            again = make_client(group, "operator-2")
            assert await submit(again) is COMMITTED
            await until_all_have(group, {"z2"})
            for state in states(group):
                assert state.evacuated_zones == {"z2": since}

    asyncio.run(run())


# Guards against an acknowledgement without a majority, and an order that can't
# be given any more once there is one again.
def test_without_a_majority_an_order_is_not_acknowledged(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            await group.commit()
            leader = group.leader().name
            lost = [name for name in control_groups.SEEDS if name != leader]
            for name in lost:
                await group.stop(name)
            client = make_client(group)
            assert await submit(client, timeout_s=0.5) is UNKNOWN
            assert states(group)[0].evacuated_zones == {}
            context = group.services[leader].context
            assert context.targets.evacuated_zones == frozenset()
            await group.start(lost[0], start="found")
            assert await submit(client) is COMMITTED
            await until_all_have(group, {"z2"})

    asyncio.run(run())


# Guards against an evacuation that ends as all voters restart.
def test_an_evacuation_survives_a_restart_of_all_voters(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            client = make_client(group)
            assert await submit(client) is COMMITTED
            assert await submit(client, "z3") is COMMITTED
            assert await submit(client, "z3", evacuate=False) is not UNKNOWN
            await group.commit()
            before = group.leader().document_state
            for name in control_groups.SEEDS:
                await group.stop(name)
            for name in control_groups.SEEDS:
                await group.start(name, start="found")
            await group.commit()
            await group.wait_until(
                lambda: all(s.version == before.version for s in states(group))
            )
            for service in group.services.values():
                state = service.document_state
                assert state.evacuated_zones == before.evacuated_zones
                assert state.evacuation_orders == before.evacuation_orders
                zones = service.context.targets.evacuated_zones
                assert zones == before.evacuated_zones.keys()

    asyncio.run(run())


# Guards against an order that ends an evacuation which its sender doesn't know
# of, and against submissions of it that go on until their timeout.
def test_a_superseded_order_is_not_acknowledged(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            client, behind = make_client(group), make_client(group, "behind")
            assert await submit(client) is COMMITTED
            state = group.leader().document_state
            client.context.apply_document_state(state.to_replica())
            assert await submit(client, evacuate=False) is COMMITTED
            async with asyncio.timeout(10):
                outcome = await submit(behind, timeout_s=3_600)
            assert outcome is SUPERSEDED
            assert group.leader().document_state.evacuated_zones == {}
            # The instance serves by the newer state in the meantime.
            state = group.leader().document_state
            behind.context.apply_document_state(state.to_replica())
            assert await submit(behind) is COMMITTED

    asyncio.run(run())


# Instances that are cut off, or restart.


def commit_evacuation(replicas, names, *zones):
    """Puts an evacuation in force at some instances, as voters do."""
    for name in names:
        context = replicas[name].context
        state = context.document_state.to_replica()
        for zone in zones:
            assert order(state, zone)
        assert context.apply_document_state(state)


@contextlib.asynccontextmanager
async def running(replicas):
    for replica in replicas:
        await replica.start()
    try:
        async with asyncio.timeout(20):
            yield
    finally:
        for replica in replicas:
            await replica.stop()


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


# Guards against an instance that was cut off during the order and goes on
# sending to the zone once it is connected again.
def test_an_instance_that_was_cut_off_applies_the_order_later():
    members = replicas_lib.make_members(control_count=3, entry_count=5)
    replicas, network = replicas_lib.make_replicas(members)
    cut = replicas["front-4"].context
    others = [r.context for n, r in replicas.items() if n != "front-4"]
    for name in replicas:
        network.cut |= {("front-4", name), (name, "front-4")}

    def zones_of(context):
        return set(context.targets.evacuated_zones)

    async def run():
        async with running(replicas.values()):
            voters = ["core-0", "core-1", "core-2"]
            commit_evacuation(replicas, voters, "z2")
            for name in voters:
                replicas[name].push_latest()
            await until(lambda: all(zones_of(c) == {"z2"} for c in others))
            assert zones_of(cut) == set()
            network.cut.clear()
            replicas["front-4"].gossip.swim.record_version("core-0", 2)
            await until(lambda: zones_of(cut) == {"z2"})

    asyncio.run(run())


# Guards against an instance that serves after its restart before it knows which
# zones are evacuated.
def test_a_restarted_instance_serves_once_it_knows_the_evacuated_zones():
    members = replicas_lib.make_members(control_count=3, entry_count=2)
    replicas, _ = replicas_lib.make_replicas(members)
    commit_evacuation(
        replicas, [n for n in replicas if n != "front-1"], "z2", "z3"
    )
    restarted = replicas["front-1"]
    context = restarted.context
    context.document_state = document.DocumentState()
    context.version = -1
    context.readiness.clear()
    restarted.hub.addresses.update(
        {name: ("h:1", "z1") for name in replicas if name != "front-1"}
    )
    when_ready = []

    async def run():
        async with running(replicas.values()):
            await context.readiness.wait()
            when_ready.append(set(context.targets.evacuated_zones))

    asyncio.run(run())
    assert when_ready == [{"z2", "z3"}]


# Status and the settings of zones.


def test_an_instance_tells_which_zones_are_evacuated_since_when():
    context = make_context()
    put_in_force(context, "z2")
    reporter = types.SimpleNamespace(
        context=context,
        gossip=types.SimpleNamespace(swim=types.SimpleNamespace(members={})),
        claim_keeper_service=None,
        _targets=lambda: [],
        _add_voter=lambda status: None,
    )
    status = status_lib.StatusReporter.describe(reporter)
    assert status.evacuated_zones == {"z2": 2}


@pytest.mark.parametrize(
    ("zone", "known_zones", "named"),
    [
        ("z9", {"z1": "r", "z2": "r"}, "z1, z2"),
        ("", {}, "1 to 128"),
        ("z" * 129, {}, "1 to 128"),
        ("", {"z1": "r"}, "z1"),
    ],
)
def test_an_invalid_zone_is_refused_by_name(zone, known_zones, named):
    with pytest.raises(evacuations.UnknownZoneError, match=named):
        evacuations.check_zone(zone, known_zones)
    evacuations.check_zone("z1", {})
    evacuations.check_zone("z1", {"z1": "r"})


# The platform's two calls.


class FakeVoterClient:
    """Answers orders with the next of some outcomes."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.orders = []

    async def submit_evacuation(self, zone, *, evacuate, timeout_s):
        self.orders.append((zone, evacuate))
        return self.outcomes.pop(0)


def call_api(*paths, outcomes=(), zones=("z1", "z2", "a b"), **options):
    """Posts to the control API; returns statuses, texts and orders."""
    context = builders.make_context()
    context.zone_regions = dict.fromkeys(zones, "north")
    client = FakeVoterClient(*outcomes)
    api = control_api.ControlApi(
        context,
        types.SimpleNamespace(voter_client=client),
        None,
        None,
        listen="127.0.0.1:0",
    )

    async def run():
        await api.on_start()
        host, port = api._server.sockets[0].getsockname()
        replies = []
        try:
            async with aiohttp.ClientSession() as session:
                for path in paths:
                    url = f"http://{host}:{port}{path}"
                    async with session.post(url, **options) as response:
                        replies.append((response.status, await response.text()))
        finally:
            await api.on_stop()
        return replies

    return asyncio.run(run()), client.orders


def test_the_platform_starts_and_stops_an_evacuation():
    replies, orders = call_api(
        "/evacuations/z2/start",
        "/evacuations/z2/stop",
        "/evacuations/a%20b/start",
        outcomes=[COMMITTED] * 3,
    )
    assert [status for status, _ in replies] == [200] * 3
    assert orders == [("z2", True), ("z2", False), ("a b", True)]


# Guards against an acknowledgement of an order that is not committed.
@pytest.mark.parametrize("outcome", [UNKNOWN, SUPERSEDED])
def test_an_order_that_is_not_committed_is_answered_with_503(outcome):
    replies, _ = call_api("/evacuations/z2/start", outcomes=[outcome])
    assert [status for status, _ in replies] == [503]


@pytest.mark.parametrize("zone", ["z9", "Z1", "z1%20", "%00"])
@pytest.mark.parametrize("kind", ["start", "stop"])
def test_a_zone_that_the_settings_do_not_list_is_refused(zone, kind):
    replies, orders = call_api(f"/evacuations/{zone}/{kind}")
    ((status, text),) = replies
    assert status == 400 and orders == []
    assert "a b, z1, z2" in text


# Guards against an order that is accepted although its body means something
# that is not understood.
@pytest.mark.parametrize("chunked", [False, True])
def test_an_order_with_a_body_is_refused(chunked):
    async def chunks():
        yield b"{}"

    data = chunks() if chunked else b"{}"
    replies, orders = call_api("/evacuations/z2/start", data=data)
    ((status, text),) = replies
    assert status == 400 and orders == []
    assert "a b, z1, z2" in text


def test_without_zones_in_the_settings_none_is_checked():
    replies, orders = call_api(
        "/evacuations/z7/start", outcomes=[COMMITTED], zones=()
    )
    assert replies[0][0] == 200
    assert orders == [("z7", True)]
