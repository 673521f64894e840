"""Targets that start again under their identity, and other writers' records.

A start is told apart by the incarnation, the ``born`` of a heartbeat.
"""

import asyncio
import json

import builders
from chivelb_core import routing
from chivelb_core.forwarding import request_limits
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.links import http_pool
from chivelb_node.links import reachability
from chivelb_platform import control_api
import fake_ports
import pytest
import test_target_checks

LISTED = {"service": "lm", "weight_version": "1", "address": "127.0.0.1:9"}


def restart(context, incarnation=2, **options):
    """Announces a target that has started again."""
    values = {**LISTED, "lease_s": 0.0, "incarnation": incarnation}
    record = builders.make_record("t", **{**values, **options})
    assert context.targets.announce(record, context_lib.monotonic())
    return record


# Guards against a target that is taken for what it was before its restart.
def test_nothing_is_kept_of_what_was_known_before_a_restart():
    context = builders.make_context(t=LISTED)
    now = context_lib.monotonic()
    table, load = context.targets, context.load
    directory = parts_lib.PartDirectory()
    context.forget_parts = directory.forget
    key = parts_lib.part_key("scope", "p0")
    directory.apply_events(
        LISTED["address"],
        epoch=1,
        since=0,
        until=1,
        events=[parts_lib.PartUpdate(key, 100)],
        now=now,
    )
    table.record_failure("t", now)
    table.record_unreachable("t")
    table.pause("t", 1, now + 60.0)
    table.rest("t", 1, now + 60.0)
    table.set_brittle("t", 1, is_brittle=True)
    table.mark_leaving("t", 1)
    context.request_limits.apply("t", request_limits.RequestLimit(0.0, now))
    load.apply_report("t", 8, 9_000, now)
    load.apply_peer_load("peer", "t", routing.PeerLoad(now, 7, 10, 10))
    load.apply_told_load("t", routing.PeerLoad(now, 7, 10, 10))
    load.record_send("t", now, 10, 10)
    restart(context)
    later = context_lib.monotonic()
    assert table.is_eligible("t", later)
    assert not table.is_unreachable("t")
    assert not list(table.recent_failures(later, 60.0))
    assert not table.needs_room("t", later)
    assert context.request_limits.rate_per_s("t") is None
    assert load.running("t", later) == 0
    assert load.pending("t", later) == 0
    assert load.used_kv_tokens("t", later) == 0
    assert not directory.tokens_by_source.get(key)
    load.check_invariants()


# Guards against a count that becomes negative, or an assertion that fails, when
# requests end that were sent before a restart.
def test_requests_from_before_a_restart_are_not_counted_when_they_end():
    context = builders.make_context(t=LISTED)
    harness = fake_ports.ForwardingHarness(context)
    queue = harness.admission_queue

    async def run():
        now = context_lib.monotonic()
        before = await queue.reserve(
            builders.make_call(arrived_at=now, deadline=now + 5.0)
        )
        restart(context)
        after = await queue.reserve(
            builders.make_call(arrived_at=now, deadline=now + 5.0)
        )
        assert harness.running() == 1
        queue.release(before, "lm")
        assert harness.running() == 1
        assert context.load.own_load("t")[1] == after.pending_tokens
        queue.release(after, "lm")
        assert context.load.own_load("t") == (0, 0, 0, 0)

    asyncio.run(run())


# Guards against a target that is not used any more because a request to its
# predecessor at the address failed after the restart was known: its check ended
# at once, and nothing else made it reachable again.
def test_a_failure_from_before_a_restart_does_not_count():
    context = builders.make_context(t=LISTED)
    checks = reachability.ReachabilityChecks(context, http_pool.HttpPool())
    before = context.targets.entries["t"].record
    restart(context)

    async def run():
        checks.start_checking(before)

    asyncio.run(run())
    now = context_lib.monotonic()
    context.targets.record_failure("t", now, incarnation=1)
    assert not context.targets.is_unreachable("t")
    assert not list(context.targets.recent_failures(now, 60.0))


# Guards against an earlier lifetime that comes back with a delayed heartbeat.
def test_an_earlier_lifetime_does_not_return():
    context = builders.make_context(t=LISTED)
    restart(context, incarnation=5)
    late = builders.make_record(
        "t", incarnation=4, sequence=99, lease_s=0.0, **LISTED
    )
    assert not context.targets.announce(late, context_lib.monotonic())
    assert context.targets.entries["t"].record.incarnation == 5


REQUIRED = (
    "Service",
    "Address",
    "Zone",
    "Version",
    "Slots",
    "State",
    "Sequence",
)
OTHER_TYPES = (None, True, 1.5, "x", [], {})


# Guards against a target that is listed although its writer means another
# protocol, and against one that takes others with it.
@pytest.mark.parametrize("name", REQUIRED)
def test_a_heartbeat_without_a_field_names_no_target(name):
    fields = dict(test_target_checks.HEARTBEAT)
    del fields[name]
    with pytest.raises(control_api.HeartbeatError):
        control_api.decode_heartbeat("i", json.dumps(fields).encode())


@pytest.mark.parametrize("value", OTHER_TYPES)
@pytest.mark.parametrize("name", [*REQUIRED, "born", "Models"])
def test_a_field_of_another_type_names_no_target_or_a_sound_one(name, value):
    data = json.dumps({**test_target_checks.HEARTBEAT, name: value}).encode()
    try:
        record = control_api.decode_heartbeat("i", data)
    except control_api.HeartbeatError:
        return
    assert isinstance(value, (str, list))
    assert record.identity == "i"


def test_fields_that_are_not_known_are_ignored():
    data = json.dumps({**test_target_checks.HEARTBEAT, "Colour": [1]}).encode()
    assert control_api.decode_heartbeat("i", data).incarnation == 11
