"""Targets that ask for rest, or leave, in their answers.

Load pattern: more calls than the targets of a service take; each of them turns
requests away and asks who sent them for some seconds of rest.
"""

import asyncio

import brittle_fleet
import builders
from chivelb_core.forwarding import rests
from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
import fake_ports
import pytest
import scripted
import simulated_runners
import wire_calls


def answer(status, *headers, body=b"ok"):
    """Returns a complete response; ``status`` is its code and reason."""
    lines = [f"HTTP/1.1 {status}".encode(), *headers]
    lines.append(b"Content-Length: %d" % len(body))
    return [b"\r\n".join(lines) + b"\r\n\r\n" + body]


def refusal(*values):
    rests = [b"Retry-After: " + value.encode() for value in values]
    return answer("503 Busy", b"X-Not-Executed: 1", *rests, body=b"")


def ok(*headers):
    return answer("200 OK", b"X-Request-Id: r-1", *headers)


def send(count, *targets):
    """Sends requests one after the other and returns what callers got."""
    request = wire_calls.make_request(wire_calls.STREAM_PATH)
    received = wire_calls.run_calls([request] * count, targets, idle_s=0.3)
    return [each.data for each in received]


# Guards against a target that gets requests from an instance that it has asked
# for rest (BUDGET): more than two in that time break the users' rule.
def test_a_target_that_asks_for_rest_gets_no_further_requests():
    resting = scripted.ScriptedTarget(*[refusal("60")] * 8)
    received = send(8, resting)
    assert len(resting.requests) == 1
    assert all(data.startswith(b"HTTP/1.1 503") for data in received)


# Guards against a target that gets requests from an instance after it has said
# that it leaves (DRAIN).
def test_a_target_that_says_that_it_leaves_gets_no_further_requests():
    leaving = scripted.ScriptedTarget(*[ok(b"Server-Leaving: 1")] * 5)
    staying = scripted.ScriptedTarget(*[ok()] * 5)
    received = send(5, leaving, staying)
    assert len(leaving.requests) == 1
    assert len(staying.requests) == 4
    assert all(data.startswith(b"HTTP/1.1 200") for data in received)


# Guards against heartbeats that do not say so yet, and against a target that is
# lost for good when it comes back.
def test_a_target_that_left_is_used_again_in_its_next_lifetime():
    context = builders.make_context(t={"service": "lm"})
    signals = fake_ports.make_signals(context)
    record = context.targets.entries["t"].record
    now = context_lib.monotonic()
    signals.record_answer(record, ports.Signals(is_leaving=True), now)
    later = builders.make_record("t", service="lm", sequence=9, lease_s=0.0)
    context.targets.announce(later, now)
    assert not list(context.targets.eligible("lm", now))
    again = builders.make_record("t", service="lm", incarnation=2, lease_s=0.0)
    context.targets.announce(again, now)
    assert list(context.targets.eligible("lm", now))


@pytest.mark.parametrize("value", [b"0", b"", b"no"])
def test_only_1_says_that_a_target_leaves(value):
    target = scripted.ScriptedTarget(*[ok(b"Server-Leaving: " + value)] * 2)
    send(2, target)
    assert len(target.requests) == 2


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], 0.0),
        (["0"], 0.0),
        (["3"], 3.0),
        ([" 0.25 "], 0.25),
        (["1000000000"], rests.MAX_REST_S),
    ],
)
def test_a_rest_is_a_number_of_seconds(values, expected):
    assert rests.parse_rest(values) == expected


# Guards against a target that is lost, or overrun, because of a value that is
# no time.
@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["-1"],
        ["soon"],
        ["nan"],
        ["inf"],
        ["1e9"],
        ["3", "4"],
        ["Fri, 04 Dec 2026 17:00:00 GMT"],
    ],
)
def test_other_values_make_a_short_rest(values):
    with pytest.raises(rests.RestError):
        rests.parse_rest(values)
    table, now = rest_of(values)
    assert not list(table.eligible("lm", now))
    assert list(table.eligible("lm", now + 2 * rests.DEFAULT_REST_S))


def rest_of(*answers):
    """Returns the table and the time after answers that ask for rest."""
    context = builders.make_context(t={"service": "lm"})
    signals = fake_ports.make_signals(context)
    record = context.targets.entries["t"].record
    now = context_lib.monotonic()
    for values in answers:
        asked = ports.Signals(rests=values, is_refused=True)
        signals.record_answer(record, asked, now)
    return context.targets, now


def test_the_longest_rest_holds_in_whatever_order_answers_come():
    for answers in ([["9"], ["2"], []], [["2"], [], ["9"]]):
        table, now = rest_of(*answers)
        assert not list(table.eligible("lm", now + 8.0))
        assert list(table.eligible("lm", now + 10.0))


def test_a_rest_ends_with_the_lifetime_of_the_target():
    table, now = rest_of(["60"])
    again = builders.make_record("t", service="lm", incarnation=2, lease_s=0.0)
    table.announce(again, now)
    assert list(table.eligible("lm", now))


def test_a_status_other_than_503_asks_for_no_rest():
    busy = answer("429 Busy", b"Retry-After: 60")
    target = scripted.ScriptedTarget(busy, busy)
    send(2, target)
    assert len(target.requests) == 2


def test_a_call_goes_to_a_target_that_does_not_rest():
    resting = scripted.ScriptedTarget(*[refusal("60")] * 4)
    other = scripted.ScriptedTarget(*[ok()] * 4)
    received = send(4, resting, other)
    assert len(resting.requests) == 1
    assert sum(data.startswith(b"HTTP/1.1 200") for data in received) >= 3


def run_day(monkeypatch, *, per_s, seed, rest_s=2.0, **options):
    async def run():
        fleet = brittle_fleet.Fleet(
            seed=seed, rest_s=rest_s, allowed=10**6, **options
        )
        await fleet.run_traffic(14.0, per_s=per_s)
        return fleet

    return simulated_runners.run_in_virtual_time(run, monkeypatch)


# Guards against requests within a rest, of whatever kind. The bound is the
# users': two from half a second after the answer on.
@pytest.mark.parametrize("seed", range(1, 3))
@pytest.mark.parametrize("per_s", [150, 500])
def test_no_target_gets_requests_within_its_rest(per_s, seed, monkeypatch):
    fleet = run_day(
        monkeypatch,
        per_s=per_s,
        seed=seed,
        instance_count=5,
        target_count=4,
        slots=8,
        foreign_load=0.3,
    )
    assert fleet.rests
    for identity, sender, start, end in fleet.rests:
        arrivals = [
            at
            for at, name in fleet.targets[identity].arrivals
            if name == sender and start + 0.5 < at < end
        ]
        assert len(arrivals) <= 2


# Guards against callers who wait in vain while all targets rest.
def test_while_all_targets_rest_calls_are_refused_soon_with_a_delay():
    context = builders.make_context(
        a={"service": "lm", "address": "127.0.0.1:9001"},
        b={"service": "lm", "address": "127.0.0.1:9002"},
    )
    harness = fake_ports.ForwardingHarness(context)
    now = context_lib.monotonic()
    context.targets.rest("a", 1, now + 20.0)
    context.targets.rest("b", 1, now + 30.0)
    call = builders.make_call(arrived_at=now, deadline=now + 10.0)
    caller = asyncio.run(harness.serve(call))
    assert caller.error_detail.code.status == 503
    assert caller.error_detail.retry_after_s >= 19.0
    assert harness.targets.sent == []


# Guards against a target that draws calls because it refuses them at once.
def test_a_target_that_refused_is_avoided_while_others_serve():
    refusing = scripted.ScriptedTarget(*[refusal()] * 4)
    other = scripted.ScriptedTarget(*[ok()] * 4)
    received = send(4, refusing, other)
    assert len(refusing.requests) <= 2
    assert sum(data.startswith(b"HTTP/1.1 200") for data in received) >= 2


def test_a_target_that_refused_is_used_if_no_other_remains():
    target = scripted.ScriptedTarget(refusal(), ok())
    received = send(2, target)
    assert received[1].startswith(b"HTTP/1.1 200")
