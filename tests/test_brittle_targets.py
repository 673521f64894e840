"""Targets that stop if they have to turn too many requests away.

Load pattern: more calls than the targets have slots for, at instances that hear
of each other's load with a delay, while the targets let no request wait.
"""

import asyncio

import brittle_fleet
import builders
from chivelb_core import document
from chivelb_core.forwarding import choice
from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import target_signals
import fake_ports
import pytest
import replicas
import scripted
import simulated_runners
import wire_calls

END_S = 13.0


def run_day(monkeypatch, *, per_s, foreign_load=0.0, **options):
    async def run():
        fleet = brittle_fleet.Fleet(**options)
        loop = asyncio.get_running_loop()
        loop.call_later(
            10.0, lambda: setattr(fleet, "foreign_load", foreign_load)
        )
        await fleet.run_traffic(END_S, per_s=per_s)
        return fleet

    return simulated_runners.run_in_virtual_time(run, monkeypatch)


# Guards against brittle targets that stop because all instances together send
# more than fits. The bound is the users': 2 + a tenth of the targets.
@pytest.mark.parametrize("seed", range(1, 3))
@pytest.mark.parametrize("per_s", [150, 450])
@pytest.mark.parametrize("allowed", [2, 6])
def test_brittle_targets_seldom_stop(allowed, per_s, seed, monkeypatch):
    fleet = run_day(
        monkeypatch,
        seed=seed,
        instance_count=9,
        target_count=6,
        slots=8,
        allowed=allowed,
        per_s=per_s,
    )
    assert len(fleet.stops) <= 2 + len(fleet.targets) / 10


# Guards against targets that have less room than the instances know of.
@pytest.mark.parametrize("seed", range(1, 3))
def test_targets_that_lose_room_seldom_stop(seed, monkeypatch):
    fleet = run_day(
        monkeypatch,
        seed=seed,
        instance_count=9,
        target_count=6,
        slots=16,
        per_s=200,
        foreign_load=0.4,
    )
    assert len(fleet.stops) <= 2 + len(fleet.targets) / 10
    assert fleet.served_share(10.0, END_S) > 0.5


def make_signals(**records):
    context = builders.make_context(**records)
    network = replicas.MemoryNetwork()
    members = replicas.make_members(0, 2)
    context.settings.instance.name = members[0].name
    hub = replicas.MemoryHub(members[0].name, network)
    gossip = replicas.StaticGossip(members, members[0].name, context.rng)
    signals = target_signals.TargetSignals(
        context, hub, gossip, lambda *_: None, mark_leaving=None
    )
    told = []
    hub.broadcast = lambda peers, message: told.append((peers, message))
    return signals, told


def test_a_brittle_target_that_refuses_rests_at_all_instances():
    signals, told = make_signals(t={"service": "lm"})
    context = signals.context
    record = context.targets.entries["t"].record
    now = context_lib.monotonic()
    refused = ports.Signals(brittle=["3"], is_refused=True)
    signals.record_answer(record, refused, now)
    signals.record_answer(record, refused, now)
    assert not list(context.targets.eligible("lm", now))
    later = now + 2 * target_signals.FULL_REST_S
    assert list(context.targets.eligible("lm", later))
    ((peers, message),) = told
    assert peers == ["front-1"]
    other, _ = make_signals(t={"service": "lm"})
    other._on_full("front-0", message)
    assert not list(other.context.targets.eligible("lm", now))
    assert other.context.targets.needs_room("t", now)


@pytest.mark.parametrize("values", [["3"], ["0"], ["?"], ["1", "2"], [""]])
def test_a_target_is_brittle_for_as_long_as_it_says_so(values):
    signals, _ = make_signals(t={"service": "lm"})
    record = signals.context.targets.entries["t"].record
    now = context_lib.monotonic()
    signals.record_answer(record, ports.Signals(brittle=values), now)
    assert signals.context.targets.needs_room("t", now)
    signals.record_answer(record, ports.Signals(), now)
    assert not signals.context.targets.needs_room("t", now)


def test_a_target_that_refuses_for_another_reason_goes_on():
    signals, told = make_signals(t={"service": "lm"})
    record = signals.context.targets.entries["t"].record
    now = context_lib.monotonic()
    signals.record_answer(record, ports.Signals(is_refused=True), now)
    assert list(signals.context.targets.eligible("lm", now))
    assert not told


def test_a_large_call_may_have_a_careful_runner_for_itself():
    engine = builders.make_engine(kv_tokens=400)
    call = builders.make_call(prompt=builders.make_prompt(390))
    candidate = choice.TargetCandidate(builders.make_record(), free_share=0)
    assert choice.has_capacity(call, candidate, engine)


# Guards against calls that are refused although a target will soon take them,
# and against calls that wait for one that will not.
@pytest.mark.parametrize(("rest_s", "is_served"), [(0.1, True), (3.0, False)])
def test_calls_wait_for_the_end_of_a_short_rest(rest_s, is_served):
    services = {"web": document.Service(kind="plain")}
    context = builders.make_context(
        builders.make_routed_document(services=services), t={"service": "web"}
    )
    harness = fake_ports.ForwardingHarness(context, fake_ports.FakeReply(b"ok"))
    route = builders.make_routed_document().routes["pdf"]

    async def run():
        now = context_lib.monotonic()
        context.targets.rest("t", 1, now + rest_s)
        call = builders.make_call(
            route, prompt=None, arrived_at=now, deadline=now + 2.0
        )
        task = asyncio.create_task(harness.serve(call))
        while not task.done():
            await asyncio.sleep(0.03)
            harness.admission_queue.update_queues()
        return context_lib.monotonic() - now, task.result()

    took_s, caller = asyncio.run(run())
    assert (caller.status == 200) is is_served
    if not is_served:
        assert took_s < 0.5
        assert caller.error_detail.retry_after_s >= rest_s - took_s


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (
            b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
            b"Server-Brittle: 4\r\nContent-Length: 0\r\n\r\n",
            ports.Signals(brittle=["4"], is_refused=True),
        ),
        (
            b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
            ports.Signals(),
        ),
    ],
)
def test_what_an_answer_tells_is_decoded(script, expected):
    told = []
    wire_calls.run_calls(
        [wire_calls.make_request(wire_calls.STREAM_PATH)],
        [scripted.ScriptedTarget([script])],
        idle_s=0.5,
        record_signals=lambda record, signals, _: told.append(signals),
    )
    assert told == [expected]
