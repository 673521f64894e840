"""Targets that may have started again before their heartbeats tell so."""

import asyncio

import builders
from chivelb_node import context as context_lib
import fake_ports
import pytest
import target_groups

make_target = target_groups.make_target
SERVED = {"service": "lm", "weight_version": "1"}


def make_harness(*replies, versions=("v1",), **options):
    targets = {
        f"t{number}": {
            **SERVED,
            "address": f"h:{number + 1}",
            "software_version": version,
            **options,
        }
        for number, version in enumerate(versions)
    }
    return fake_ports.ForwardingHarness(
        builders.make_context(**targets), *replies
    )


def eligible(harness, **options):
    now = context_lib.monotonic()
    call = builders.make_call(arrived_at=now, deadline=now + 5.0)
    for name, value in options.items():
        setattr(call, name, value)
    records = harness.placement_policy.eligible(call, now)
    return [record.identity for record in records]


# Guards against a stream that goes on at a target of another software version:
# it had crashed and was back, and its heartbeat was still on its way
# (review/9).
def test_a_stream_is_taken_up_only_where_the_version_is_sure():
    harness = make_harness(versions=["v1", "v1"])
    table = harness.context.targets
    table.record_lost("t0", 1)
    assert eligible(harness, software_version="v1") == ["t1"]
    # A stream that begins elsewhere can be taken up.
    route = builders.make_route(resumable=True)
    assert eligible(harness, route=route) == ["t1"]
    assert eligible(harness) == ["t0", "t1"]
    for sequence, is_fresh in ((2, False), (3, True)):
        assert eligible(harness, software_version="v1") == ["t1"]
        heartbeat = builders.make_record(
            "t0",
            sequence=sequence,
            address="h:1",
            software_version="v1",
            lease_s=0.0,
            **SERVED,
        )
        now = context_lib.monotonic()
        assert table.announce(heartbeat, now, is_fresh=is_fresh)
    assert eligible(harness, software_version="v1") == ["t0", "t1"]


# Guards against requests that are refused because all targets were lost.
def test_streams_begin_also_where_no_version_is_sure():
    harness = make_harness()
    harness.context.targets.record_lost("t0", 1)
    route = builders.make_route(resumable=True)
    assert eligible(harness, route=route) == ["t0"]


# Guards against streams that wait for a heartbeat where each start of a target
# has an identity of its own.
def test_a_target_without_a_known_start_needs_no_heartbeat():
    harness = make_harness(incarnation=0)
    harness.context.targets.record_lost("t0", 0)
    assert eligible(harness, software_version="v1") == ["t0"]


@pytest.mark.parametrize("crashed", [True, False])
def test_only_a_lost_connection_makes_a_start_unsure(crashed):
    harness = make_harness(fake_ports.unknown(target_crashed=crashed))
    table = harness.context.targets

    async def run():
        now = context_lib.monotonic()
        call = builders.make_call(arrived_at=now, deadline=now + 5.0)
        reservation = await harness.admission_queue.reserve(call)
        harness.forwarder._record_failure(
            call,
            reservation.record,
            fake_ports.unknown(target_crashed=crashed).outcome,
            has_begun=False,
        )

    asyncio.run(run())
    assert list(table.unconfirmed()) == (["t0"] if crashed else [])


# Guards against the same for streams that begin at such a target: they were
# recorded as streams of the version before.
def test_a_stream_that_begins_at_an_unsure_target_has_no_known_version():
    harness = make_harness()
    recorded = []
    harness.forwarder.origins.record = lambda call, origin: recorded.append(
        origin.software_version
    )

    async def run():
        now = context_lib.monotonic()
        call = builders.make_call(arrived_at=now, deadline=now + 5.0)
        reservation = await harness.admission_queue.reserve(call)
        harness.context.targets.record_lost("t0", 1)
        harness.forwarder._record_events(call, reservation)
        return call

    call = asyncio.run(run())
    assert recorded == [""]
    assert not call.may_go_to("v1")


# Guards against an entry that waits for good: control instances send on only
# what changes, and any of them may receive the heartbeats.
@pytest.mark.parametrize("control", ["core-0", "core-1"])
@pytest.mark.parametrize("restarts", [True, False])
def test_an_entry_is_sent_the_next_heartbeat_that_it_needs(
    monkeypatch, control, restarts
):
    group = target_groups.TargetGroup(monkeypatch)
    record = group.beat(control, make_target(), 6.0)
    table = group.table("front-0")
    table.record_lost("sound", 100)
    group.repair("front-0", control)
    assert list(table.unconfirmed()) == ["sound"]

    async def watch():
        group.instances["front-0"]._watch_unconfirmed()
        await target_groups.settle()

    asyncio.run(watch())
    if restarts:
        record = make_target(incarnation=200, software_version="v2")
    group.announce(control, record)
    assert not list(table.unconfirmed())
    entry = table.entries["sound"]
    assert entry.record.incarnation == (200 if restarts else 100)
    # Later ones are not sent on.
    count = group.network.message_count
    group.announce(control, target_groups.next_beat(record))
    assert group.network.message_count == count
