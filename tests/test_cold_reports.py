"""How targets report their cold times, and how instances tell each other."""

import asyncio
import json
import random

import builders
from chivelb_core import targets
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_server
from chivelb_node.links import target_replication
from chivelb_node.links import target_signals
from chivelb_node.wire import messages
from chivelb_platform import control_api
from chivelb_platform import wire_document
import fake_ports
import msgspec
import pytest
import replicas
import scripted
import test_cold_targets
import test_document_numbers
import test_relays
import test_target_checks
import wire_calls


def decode(**fields):
    data = json.dumps({**test_target_checks.HEARTBEAT, **fields}).encode()
    ignored = []
    record = control_api.decode_heartbeat("i", data, on_ignored=ignored.append)
    return record, ignored


@pytest.mark.parametrize(
    ("value", "expected"),
    [(0, 0.0), (2_500, 2.5), (0.5, 0.0005), (3_600_000, 3_600.0)],
)
def test_a_cold_time_of_a_heartbeat_is_decoded(value, expected):
    record, ignored = decode(ColdRemainingMs=value)
    assert (record.cold_s, record.tells_cold, ignored) == (expected, True, [])


@pytest.mark.parametrize("fields", [{}, {"ColdRemainingMs": None}])
def test_a_heartbeat_without_a_cold_time_reports_none(fields):
    record, ignored = decode(**fields)
    assert not record.tells_cold
    assert not ignored


# Guards against a target that is lost because of a wrong cold time.
@pytest.mark.parametrize(
    "value",
    [-1, 3_600_001, 1e300, 10**400, "2500", True, [], {"a": 1}],
)
def test_a_wrong_cold_time_is_ignored_and_the_heartbeat_kept(value):
    record, ignored = decode(ColdRemainingMs=value)
    assert targets.validate_listed_record(record) == []
    assert not record.tells_cold
    assert len(ignored) == 1


def test_a_service_declares_its_cold_starts():
    data = test_document_numbers.encode_document(
        Services=[
            {
                "Name": "s",
                "Engine": test_document_numbers.ENGINE,
                "ColdStartS": 3.0,
                "ColdPerS": 8.2,
            },
            {"Name": "web", "ColdStartS": 1, "ColdPerS": 2},
        ]
    )
    services = wire_document.decode_replacement(data).document.services
    assert services["s"].cold_start_s == 3.0
    assert services["s"].cold_requests_per_s == 8.2
    assert services["web"].cold_requests_per_s == 2.0


# Guards against instances of an older release, which refuse fields that they
# don't know, and would get no document beside newer voters.
def test_what_is_not_declared_is_not_sent():
    encoded = msgspec.msgpack.encode(builders.make_routed_document())
    assert b"cold_" not in encoded


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"ColdStartS": -1}, "services/s/cold_start_s"),
        ({"ColdStartS": 3_601}, "services/s/cold_start_s"),
        ({"ColdPerS": -0.1}, "services/s/cold_requests_per_s"),
        ({"ColdPerS": "many"}, "ColdPerS"),
    ],
)
def test_a_wrong_declaration_is_refused(fields, named):
    data = test_document_numbers.encode_document(
        Services=[
            {"Name": "s", "Engine": test_document_numbers.ENGINE, **fields}
        ]
    )
    with pytest.raises(wire_document.DocumentError, match=named):
        wire_document.decode_replacement(data)


def make_replications():
    """Returns a control instance, an entry instance and their network."""
    members = replicas.make_members(1, 1)
    network = replicas.MemoryNetwork()
    return *(
        target_replication.TargetReplication(
            test_cold_targets.make_cold_context(),
            replicas.MemoryHub(member.name, network),
            replicas.StaticGossip(members, member.name, random.Random(1)),
        )
        for member in members
    ), network


def heartbeat(sequence, cold_s=None, **options):
    values = {
        "service": "lm",
        "weight_version": "1",
        "lease_s": 0.0,
        "sequence": sequence,
        "cold_s": cold_s or 0.0,
        "tells_cold": cold_s is not None,
    }
    return builders.make_record("t", **{**values, **options})


# Guards against a message to every peer for each heartbeat of a cold target,
# and against a change that they are not told.
def test_peers_are_told_of_changes_alone():
    control, entry, network = make_replications()
    told = []
    sequence = 0

    async def announce(cold_s=None, **options):
        nonlocal sequence
        sequence += 1
        network.requests.clear()
        await control.apply_announcement(heartbeat(sequence, cold_s, **options))
        told.append(len(network.requests))
        now = context_lib.monotonic()
        return round(entry.context.targets.cold_s("t", now), 1)

    async def run():
        return [
            await announce(3.0),
            await announce(2.99),
            await announce(2.98),
            await announce(9.0),
            await announce(8.99),
            await announce(0.0),
            await announce(0.0),
            await announce(),
            await announce(5.0),
        ]

    cold = asyncio.run(run())
    assert told == [1, 0, 0, 1, 0, 1, 0, 0, 1]
    assert cold == [3.0, 3.0, 3.0, 9.0, 9.0, 0.0, 0.0, 0.0, 5.0]


# Guards against targets that an instance takes to be cold because a control
# instance has restarted, and knows them from now on only.
def test_a_presumed_cold_time_is_not_told():
    control, entry, _ = make_replications()
    now = context_lib.monotonic()
    entry.context.targets.announce(heartbeat(1, 0.0), now)
    asyncio.run(control.apply_announcement(heartbeat(5)))
    assert control.context.targets.cold_s("t", now) > 0.0
    assert entry.context.targets.cold_s("t", now) == 0.0
    page = control._on_digest("front-0", messages.TargetDigest(0)).records
    assert not page[0].tells_cold


# Guards against a repair whose older records end a cold time.
def test_a_repair_tells_of_cold_times_and_ends_none():
    control, entry, _ = make_replications()
    now = context_lib.monotonic()
    control.context.targets.announce(heartbeat(1, 3.0), now)
    asyncio.run(entry._repair_from("core-0"))
    assert 2.0 < entry.context.targets.cold_s("t", now) <= 3.1
    entry.context.targets.set_cold("t", 1, 9.0, now)
    control.context.targets.announce(heartbeat(2, 0.0), now)
    page = control._on_digest("front-0", messages.TargetDigest(0))
    entry._apply_updates("core-0", page, is_fresh=False)
    assert entry.context.targets.cold_s("t", now) > 8.0


@pytest.mark.parametrize("cold_s", [-1.0, float("nan"), float("inf"), 1e9])
def test_a_wrong_cold_time_of_a_peer_changes_nothing(cold_s, capsys):
    _, entry, _ = make_replications()
    now = context_lib.monotonic()
    entry.context.targets.announce(heartbeat(1, 0.0), now)
    entry._on_cold("core-0", messages.TargetCold("t", 1, cold_s))
    record = heartbeat(2, cold_s)
    entry._on_target_updates("core-0", messages.TargetUpdates([record]))
    assert entry.context.targets.cold_s("t", now) == 0.0
    assert "malformed cold time" in capsys.readouterr().out


def make_signals(**records):
    context = test_cold_targets.make_cold_context(**records)
    members = replicas.make_members(1, 2)
    context.settings.instance.name = "front-1"
    hub = replicas.MemoryHub("front-1", replicas.MemoryNetwork())
    gossip = replicas.StaticGossip(members, "front-1", context.rng)
    told = []
    hub.broadcast = lambda peers, message: told.append((peers, message))
    signals = target_signals.TargetSignals(
        context, hub, gossip, lambda *_: None, mark_leaving=None
    )
    return signals, told


def test_a_response_tells_that_a_target_is_cold(capsys):
    signals, told = make_signals(t={"service": "lm", "tells_cold": True})
    table = signals.context.targets
    record = table.entries["t"].record

    def answer(*values):
        now = context_lib.monotonic()
        signals.record_answer(record, ports.Signals(cold_times=values), now)
        return round(table.cold_s("t", context_lib.monotonic()), 1)

    assert answer() == 0.0
    assert answer("2500") == 2.5
    assert answer("2499") == 2.5
    assert answer("-5") == 2.5
    assert answer() == 2.5
    assert answer("0") == 0.0
    assert [message.cold_s for _, message in told] == [2.5, 0.0]
    assert told[0][0] == ["core-0", "front-0"]
    lines = capsys.readouterr().out
    assert lines.count("target is cold") == 1
    assert lines.count("target is warm") == 1
    assert lines.count("cold time not understood") == 1


def test_the_header_of_a_cold_time_is_decoded():
    told = []
    wire_calls.run_calls(
        [wire_calls.make_request(wire_calls.STREAM_PATH)],
        [
            scripted.ScriptedTarget(
                [
                    b"HTTP/1.1 404 No\r\nx-cold-MS: 1200\r\n"
                    b"Content-Length: 0\r\n\r\n"
                ]
            )
        ],
        idle_s=0.5,
        record_signals=lambda record, signals, _: told.append(signals),
    )
    assert told == [ports.Signals(cold_times=["1200"])]


# Guards against parts of prompts that are counted as cached at a target that
# has lost them.
@pytest.mark.parametrize("incarnation", [1, 2])
def test_a_cold_target_holds_no_parts(incarnation):
    context = test_cold_targets.make_cold_context(t={"service": "lm"})
    directory = parts_lib.PartDirectory()
    context.forget_parts = directory.forget
    record = context.targets.entries["t"].record
    key = parts_lib.part_key("scope", "p0")
    directory.add_expected(record.address, key, 1e9)
    directory.apply_events(
        record.address,
        epoch=1,
        since=0,
        until=1,
        events=[parts_lib.PartUpdate(key, 100)],
        now=context_lib.monotonic(),
    )
    assert directory.tokens_by_source[key]
    now = context_lib.monotonic() + 10.0
    context.targets.announce(heartbeat(9, 3.0, incarnation=incarnation), now)
    assert not directory.tokens_by_source.get(key)


def run_waiting_call(wait_s, *, next_turn_s, cold_s=30.0):
    """Serves a call whose only target is cold.

    Returns:
        Seconds that it took, and its caller.
    """
    context = test_cold_targets.make_cold_context(
        t={"service": "lm", "weight_version": "1"}
    )
    harness = fake_ports.ForwardingHarness(context, fake_ports.FakeReply(b"ok"))
    route = builders.make_routed_document().routes["once"]

    async def run():
        now = context_lib.monotonic()
        context.targets.set_cold("t", 1, cold_s, now)
        interval_s = 1.1
        context.cold_targets.record_send("t", now - interval_s + next_turn_s)
        call = builders.make_call(route, arrived_at=now, deadline=now + wait_s)
        task = asyncio.create_task(harness.serve(call))
        while not task.done():
            await asyncio.sleep(0.02)
            harness.admission_queue.update_queues()
        return context_lib.monotonic() - now, task.result()

    return asyncio.run(run())


# Guards against calls that are refused although a turn comes in time, and
# against calls that wait for one that does not.
def test_a_call_waits_for_the_next_turn():
    took_s, caller = run_waiting_call(4.0, next_turn_s=0.3)
    assert caller.status == 200
    assert took_s >= 0.29


def test_a_call_waits_for_the_end_of_the_cold_time():
    took_s, caller = run_waiting_call(4.0, next_turn_s=1.0, cold_s=0.2)
    assert caller.status == 200
    assert took_s >= 0.19


def test_a_call_that_no_turn_comes_in_time_for_is_refused_at_once():
    took_s, caller = run_waiting_call(1.0, next_turn_s=0.9)
    assert caller.end == "refused"
    assert took_s < 0.5
    assert caller.error_detail.retry_after_s >= 0.9 - took_s


# Guards against calls that wait for a target that takes requests, but not
# theirs.
@pytest.mark.parametrize("is_open", [False, True])
def test_a_call_does_not_wait_for_a_cold_target_of_another_version(is_open):
    context = test_cold_targets.make_cold_context(
        t={"service": "lm", "weight_version": "1", "software_version": "v1"}
    )
    harness = fake_ports.ForwardingHarness(context)

    async def run():
        now = context_lib.monotonic()
        context.targets.set_cold("t", 1, 30.0, now)
        if not is_open:
            context.record_sent("t", now - 0.9)
        call = builders.make_call(arrived_at=now, deadline=now + 4.0)
        call.software_version = "v2"
        async with asyncio.timeout(1.0):
            await harness.admission_queue.reserve(call)

    with pytest.raises(responses.RequestError):
        asyncio.run(run())


# Guards against calls that wait in a line of which only some are served.
def test_calls_behind_others_are_refused_at_once():
    context = test_cold_targets.make_cold_context(
        t={"service": "lm", "weight_version": "1"}
    )
    harness = fake_ports.ForwardingHarness(
        context, *(fake_ports.FakeReply(b"ok") for _ in range(9))
    )
    route = builders.make_routed_document().routes["once"]

    async def run():
        now = context_lib.monotonic()
        context.targets.set_cold("t", 1, 30.0, now)

        async def serve():
            call = builders.make_call(route, arrived_at=now, deadline=now + 4.0)
            caller = await harness.serve(call)
            return context_lib.monotonic() - now, caller

        tasks = [asyncio.create_task(serve()) for _ in range(9)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.02)
            harness.admission_queue.update_queues()
        return [task.result() for task in tasks]

    results = asyncio.run(run())
    refused = [took_s for took_s, caller in results if caller.end == "refused"]
    assert len(refused) in range(4, 7)
    assert max(refused) < 0.3


def test_a_peer_makes_the_attempts_for_which_others_have_a_turn():
    context = test_cold_targets.make_cold_context(t={"service": "lm"})
    now = context_lib.monotonic()
    context.targets.set_cold("t", 1, 30.0, now)
    context.record_sent("t", now)
    assert not context.targets.is_eligible("t", now)
    relays = relay_server.RelayServer(
        context, fake_ports.FakeTargets(), check_reachability=None
    )
    request = msgspec.structs.replace(test_relays.make_request(0), identity="t")
    record = context.targets.entries["t"].record
    route = context.document.routes["quote"]
    assert relays._refusal(request, route, record) is None
