"""What other writers say of targets is checked before it is listed."""

import asyncio
import json
import random

import builders
from chivelb_core import document
from chivelb_core import rollout
from chivelb_core import targets
from chivelb_node import context as context_lib
from chivelb_node.control import weights
from chivelb_node.links import http_pool
from chivelb_node.links import target_replication
from chivelb_node.wire import messages
from chivelb_platform import control_api
from chivelb_platform import runner_client
import pytest
import replicas
import scripted
import simulated_runners

HEARTBEAT = {
    "Service": "s",
    "Address": "10.1.0.9:5",
    "Zone": "z1",
    "Slots": 4,
    "State": "ready",
    "Sequence": 7,
    "Version": "v1.2",
    "born": 11,
    "Models": [{"Name": "m", "Version": 2}],
}
# Time for a rollout, in seconds.
ROLLOUT_S = 14.0
NESTED = b'{"x":' + b"[" * 100_000


def make_replication(context):
    (member,) = replicas.make_members(1, 0)
    return target_replication.TargetReplication(
        context,
        replicas.MemoryHub(member.name, replicas.MemoryNetwork()),
        replicas.StaticGossip([member], member.name, random.Random(1)),
    )


# Guards against a core process that ends because of one heartbeat of another
# writer, and against targets without an address that are listed for good.
@pytest.mark.parametrize(
    "fields",
    [
        {"Address": "10.1.0.9"},
        {"Address": "10.1.0.9:"},
        {"Address": "10.1.0.9:0"},
        {"Address": "10.1.0.9:65536"},
        {"Address": "10.1.0.9:\u00b2"},
        {"Address": "10.1.0.9 :5"},
        {"Address": "10.1.0.9\r\nX: y:5"},
        {"Address": "\u0000:5"},
        {"Address": "1" * 5_000 + ":5"},
        {"born": 2**128},
        {"born": 2**63},
        {"born": -1},
        {"Sequence": 2**64},
        {"Sequence": -1},
        {"Slots": 0},
        {"Slots": 2**70},
        {"Zone": ""},
        {"Zone": "z" * 5_000},
        {"Service": ""},
        {"Version": "v" * 5_000},
        {"Models": [{"Name": "m", "Version": 2**64}]},
        {"Models": [{"Name": "m", "Version": -2}]},
        {"Models": [{"Name": "m" * 5_000, "Version": 2}]},
    ],
)
def test_a_heartbeat_with_a_value_out_of_range_names_no_target(fields):
    data = json.dumps({**HEARTBEAT, **fields}).encode()
    with pytest.raises(control_api.HeartbeatError):
        control_api.decode_heartbeat("i", data)


# Guards against an id that adds a header to the requests sent to a target.
@pytest.mark.parametrize(
    "identity", ["", " ", "i\r\nX: y", "i\x00", "i" * 5000]
)
def test_an_id_that_is_no_header_value_names_no_target(identity):
    data = json.dumps(HEARTBEAT).encode()
    with pytest.raises(control_api.HeartbeatError):
        control_api.decode_heartbeat(identity, data)


# Guards against a body whose depth ends the decoder with an error of its own.
def test_a_nested_heartbeat_names_no_target():
    with pytest.raises(control_api.HeartbeatError):
        control_api.decode_heartbeat("i", NESTED)


# Guards against a peer of an older build that passes a malformed record on.
@pytest.mark.parametrize(
    "fields",
    [
        {"address": "10.1.0.9"},
        {"incarnation": 2**64 - 1},
        {"slots": 0},
        {"weight_version": "two"},
        {"lease_s": float("nan")},
    ],
)
def test_a_malformed_record_of_a_peer_is_logged_once(fields, capsys):
    context = builders.make_context()
    replication = make_replication(context)
    values = {"weight_version": "2", "lease_s": 0.0}
    bad = builders.make_record("bad", **{**values, **fields})
    sound = builders.make_record("sound", **values)
    for _ in range(3):
        replication._on_target_updates(
            "peer", messages.TargetUpdates([bad, sound])
        )
    assert list(context.targets.entries) == ["sound"]
    assert capsys.readouterr().out.count("target refused") == 1


def test_a_malformed_hold_of_a_peer_changes_no_target():
    context = builders.make_context(r1={"weight_version": "2"})
    replication = make_replication(context)
    for hold_s, version in ((0.0, "two"), (float("inf"), ""), (-1.0, "")):
        replication._on_hold(
            "peer", messages.TargetHold("r1", 1, hold_s, version)
        )
    assert context.targets.entries["r1"].record.weight_version == "2"
    assert context.targets.is_eligible("r1", context_lib.monotonic())


# Guards against a wrong address that ends the service that uses the pool.
@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.1.0.9",
        "h:",
        ":1",
        "127.0.0.1:99999",
        "a..b:1",
        "\x00:1",
        "h:\u00b2",
    ],
)
def test_a_request_to_a_wrong_address_is_not_sent(address):
    async def run():
        pool = http_pool.HttpPool()
        with pytest.raises(http_pool.NotSentError):
            await pool.send(address, b"")
        with pytest.raises(http_pool.NotSentError):
            await pool.open_idle(address)

    asyncio.run(run())


# Guards against an order that can't be encoded, and a report that a runner
# answers with a value that fits into no message.
@pytest.mark.parametrize(
    "body",
    [
        b'{"Models":[],"Busy":false,"Sequence":%d}' % 2**70,
        b'{"Models":[],"Busy":false,"Sequence":-1}',
        b'{"Models":[{"Name":"m","Version":%d}],"Busy":false,"Sequence":1}'
        % 2**64,
        b'{"Models":[],"Busy":false,"Sequence":1,"Running":-4}',
        NESTED,
        b'{"Models":[{"Name":"\xff"',
    ],
    ids=["sequence", "negative", "version", "running", "nested", "bytes"],
)
def test_a_malformed_report_is_none(body):
    target = scripted.ScriptedTarget([scripted.answer(body)])

    async def run():
        pool = http_pool.HttpPool()
        record = builders.make_record(address=target.address)
        try:
            async with asyncio.timeout(5), target.serve():
                client = runner_client.RunnerClient(pool, "i1")
                return await client.get_report(record, "m")
        finally:
            pool.close()

    assert asyncio.run(run()) is None


class FailingPort:
    """Raises for one runner; the others report old weights, and obey."""

    def __init__(self, failing):
        self.failing = failing
        self.ordered = []

    async def get_report(self, record, model):
        if record.identity == self.failing == "report":
            raise ValueError(record.identity)
        obeyed = record.identity in self.ordered
        if obeyed and record.identity != self.failing:
            return rollout.RunnerReport(2, False, 1)
        return rollout.RunnerReport(1, False, 0)

    async def send_order(self, record, model, order, token):
        self.ordered.append(record.identity)
        if record.identity == self.failing:
            raise ValueError(record.identity)
        return "202"


# Guards against one runner for which an order, or the query before it, fails
# with any error, and which ends the service, so that no other gets one.
@pytest.mark.parametrize("failing", ["report", "order"])
def test_an_error_for_one_runner_ends_no_rollout(failing, capsys, monkeypatch):
    async def run():
        names = [failing, *(f"r{number}" for number in range(4))]
        context = builders.make_context(
            **{name: {"weight_version": "1"} for name in names}
        )
        context.apply_document_state(
            document.DocumentState(
                document=context.document, version=2, weights={"lm": 2}
            )
        )
        port = FailingPort(failing)
        service = weights.WeightRolloutService(
            context,
            simulated_runners.LeaseHolder(),
            simulated_runners.HoldReplication(context),
            port,
        )
        await service.start()
        await asyncio.sleep(ROLLOUT_S)
        crashed = service.crashed
        await service.stop()
        return crashed, port.ordered

    crashed, ordered = simulated_runners.run_in_virtual_time(run, monkeypatch)
    assert not crashed
    assert set(ordered) >= {"r0", "r1", "r2", "r3"}
    assert "ValueError" in capsys.readouterr().out


def test_a_sound_record_is_listed():
    record = control_api.decode_heartbeat("i", json.dumps(HEARTBEAT).encode())
    assert targets.validate_listed_record(record) == []
