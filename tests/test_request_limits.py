"""Limits that targets name, the grants to send to them, and their wire form."""

import asyncio
import random

import builders
from chivelb_core import codes
from chivelb_core.forwarding import request_limits as limits_lib
from chivelb_node import context as context_lib
from chivelb_node.links import limit_sharing
from chivelb_node.wire import messages
import fake_ports
import pytest
import replicas
import scripted
import simulated_runners
import wire_calls


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        (["4.4"], 4.4),
        ([" 12 "], 12.0),
        (["0"], 0.0),
        ([".5"], 0.5),
        (["3."], 3.0),
    ],
)
def test_a_limit_is_a_decimal_number(values, expected):
    assert limits_lib.parse_limit(values) == expected


# Guards against a target that is never or always sent requests because of a
# value that is no limit.
@pytest.mark.parametrize(
    "values",
    [
        [""],
        ["many"],
        ["-1"],
        ["+1"],
        ["nan"],
        ["inf"],
        ["1e400"],
        ["1e3"],
        ["1_0"],
        ["٣"],
        ["9" * 400],
        ["4", "4"],
        ["4, 4"],
    ],
)
def test_other_values_are_refused_with_what_they_are(values):
    with pytest.raises(limits_lib.LimitError, match="limit named|decimal"):
        limits_lib.parse_limit(values)


def make_table(rate_per_s=4.0, learned_at=10.0):
    table = limits_lib.LimitTable()
    limit = limits_lib.RequestLimit(rate_per_s, learned_at)
    assert table.apply("t", limit)
    return table


# Guards against an answer from before the limit that overtakes the one that
# named it, and ends it.
def test_a_limit_ends_only_with_an_answer_to_a_later_request():
    table = make_table(learned_at=10.0)
    assert not table.record_answer("t", None, sent_at=9.9, now=10.5)
    assert table.rate_per_s("t") == 4.0
    assert table.record_answer("t", None, sent_at=10.1, now=10.6)
    assert table.may_send("t", 10.6)


def test_news_that_is_older_than_what_is_known_changes_nothing():
    table = make_table(learned_at=10.0)
    assert not table.apply("t", limits_lib.RequestLimit(None, 9.0))
    assert not table.apply("t", limits_lib.RequestLimit(8.0, 10.0))
    assert table.rate_per_s("t") == 4.0


# Guards against the return of an ended limit through an instance that has not
# heard of its end.
def test_the_end_of_a_limit_is_remembered_against_older_news():
    table = make_table(learned_at=10.0)
    assert table.apply("t", limits_lib.RequestLimit(None, 12.0))
    table.forget([], now=12.0 + limits_lib.ENDED_RETENTION_S)
    assert not table.apply("t", limits_lib.RequestLimit(4.0, 11.0))
    table.forget([], now=12.1 + limits_lib.ENDED_RETENTION_S)
    assert not table.limits


def test_a_grant_is_used_once_and_only_in_its_time():
    table = make_table()
    table.add_grant("t", limits_lib.Grant(11.0, 11.5))
    assert not table.may_send("t", 10.9)
    assert table.may_send("t", 11.0)
    assert not table.may_send("t", 11.5)
    table.add_grant("t", limits_lib.Grant(12.0, 12.5))
    table.spend("t")
    assert not table.may_send("t", 12.1)


# Guards against grants by a limit that is no longer in force.
def test_a_change_of_the_limit_voids_grants_and_refusals():
    table = make_table()
    table.add_grant("t", limits_lib.Grant(11.0, 11.5))
    table.refuse("t", 30.0)
    assert table.apply("t", limits_lib.RequestLimit(1.0, 10.9))
    assert not table.may_send("t", 11.1)
    assert table.expected_wait_s("t", 11.1) == 0.0


def test_no_more_grants_are_wanted_than_calls_wait():
    table = limits_lib.LimitTable()
    wanted = []
    table.on_want = wanted.append
    names = ["t1", "t2", "t3"]
    for name in names:
        table.apply(name, limits_lib.RequestLimit(4.0, 1.0))

    def want(calls):
        table.want(names, calls=calls, now=2.0, rng=random.Random(1))

    want(1)
    want(1)
    assert len(wanted) == 1
    want(2)
    assert len(wanted) == 2
    want(9)
    assert sorted(wanted) == names


@pytest.mark.parametrize("rate_per_s", [0.0, 0.1, 1.0, 4.4, 100.0])
def test_grants_are_as_far_apart_as_the_limit_asks(rate_per_s):
    schedule = limits_lib.GrantSchedule()
    rng = random.Random(3)
    now, granted = 0.0, []
    while now < 60.0:
        now += rng.expovariate(300.0)
        is_granted, delay_s = schedule.grant(rate_per_s, now)
        if is_granted:
            granted.append(now + delay_s)
            assert delay_s <= limits_lib.MAX_GRANT_DELAY_S
        else:
            assert 0.0 < delay_s <= limits_lib.MAX_ASK_DELAY_S
    least_s = 1.0 / max(rate_per_s, limits_lib.MIN_RATE_PER_S)
    gaps = [b - a for a, b in zip(granted, granted[1:], strict=False)]
    assert min(gaps) >= least_s - 1e-9
    assert len(granted) >= 0.8 * 60.0 / least_s


def make_sharing(count):
    """Returns the services of some instances, by name."""
    members = replicas.make_members(0, count)
    network = replicas.MemoryNetwork()
    services = {}
    for number, member in enumerate(members):
        context = builders.make_context(t={})
        context.settings.instance.name = member.name
        rng = random.Random(number)
        services[member.name] = limit_sharing.LimitSharing(
            context,
            replicas.MemoryHub(member.name, network),
            replicas.StaticGossip(members, member.name, rng),
        )
    return services, network


def limits_at(services):
    return {
        service.context.request_limits.rate_per_s("t")
        for service in services.values()
    }


# Guards against instances that obey a limit only once they were told
# themselves.
def test_one_answer_tells_all_instances(monkeypatch):
    async def run():
        services, network = make_sharing(9)
        service = services["front-3"]
        service.record_answer("t", ["4.4"], 0.0)
        await asyncio.sleep(0.1)
        assert limits_at(services) == {4.4}
        told = [r[messages.LimitNotice] for r in network.received.values()]
        assert sum(told) < 100 * len(services)
        service.record_answer("t", [], asyncio.get_running_loop().time())
        await asyncio.sleep(0.1)
        assert limits_at(services) == {None}

    simulated_runners.run_in_virtual_time(run, monkeypatch)


# Guards against a target that nobody may send to because its owner is silent.
def test_another_instance_grants_while_the_owner_is_silent(monkeypatch):
    async def run():
        services, network = make_sharing(4)
        owner = next(iter(services.values()))._owners("t")[0]
        asker = next(s for name, s in services.items() if name != owner)
        for service in services.values():
            service.record_answer("t", ["4.4"], 0.0)
        network.silent.add(owner)
        await asker.request_grant("t")
        now = asyncio.get_running_loop().time()
        return asker.context.request_limits.may_send("t", now + 0.01)

    assert simulated_runners.run_in_virtual_time(run, monkeypatch)


def test_invalid_news_of_a_peer_is_ignored():
    services, _ = make_sharing(2)
    service = services["front-0"]
    for rate, age in ((float("nan"), 0.0), (-1.0, 0.0), (1.0, float("inf"))):
        notice = messages.LimitNotice("t", True, rate, age)
        service._on_notice("front-1", notice)
        request = messages.GrantRequest(notice)
        assert service._on_grant_request("front-1", request) is None
    assert limits_at(services) == {None}


def named(value):
    return scripted.stream(
        scripted.event(1), X_Request_Id="r-1", Server_Limit=value
    )


NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nServer-Limit: 2.5\r\n"
    b"X-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n"
)
REPLACED = (
    b"HTTP/1.1 421 Other\r\nX-Instance-Id: other\r\nServer-Limit: 9\r\n"
    b"X-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n"
)
TWICE = (
    b"HTTP/1.1 200 OK\r\nServer-Limit: 1\r\nserver-limit: 2\r\n"
    b"X-Request-Id: r-1\r\nContent-Length: 2\r\n\r\nok"
)


# Guards against a limit that is only heard in answers that were executed, or in
# those of another target at the same address.
@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([*named("4.4"), scripted.END], [("t0", ["4.4"])]),
        ([NOT_RUN], [("t0", ["2.5"])]),
        ([REPLACED], []),
        ([TWICE], [("t0", ["1", "2"])]),
    ],
)
def test_each_answer_of_a_target_tells_its_limit(script, expected):
    told = []
    wire_calls.run_calls(
        [wire_calls.make_request(wire_calls.STREAM_PATH)],
        [scripted.ScriptedTarget(script)],
        idle_s=0.5,
        record_signals=lambda record, signals, _: told.append(
            (record.identity, signals.limits)
        ),
    )
    assert told == expected


def test_a_call_for_a_limited_service_is_refused_at_once_with_a_delay():
    context = builders.make_context(t={"service": "lm"})
    harness = fake_ports.ForwardingHarness(context)
    now = context_lib.monotonic()
    limits = context.request_limits
    limits.apply("t", limits_lib.RequestLimit(0.1, now))
    limits.refuse("t", now + 20.0)
    call = builders.make_call(arrived_at=now, deadline=now + 5.0)
    caller = harness.run_call(call)
    assert caller.error_detail.code is codes.OVERLOADED
    assert caller.error_detail.retry_after_s >= 20.0
