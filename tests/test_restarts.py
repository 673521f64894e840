"""Calls that arrive while an instance is starting.

Load pattern: all instances are killed at once and start together, while
callers go on sending. No instance has a document until the control group has a
leader, and targets are known only after their next heartbeats.
"""

import asyncio

import builders
from chivelb_core import codes
from chivelb_core.forwarding import retry_delay
from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import call_factory
import fake_ports
import pytest


def make_starting_context():
    """Returns the context of an instance that has no document yet."""
    context = builders.make_context()
    context.readiness.clear()
    context.sources_known.clear()
    restart(context)
    return context


def restart(context):
    context.startup_ends_at = context_lib.monotonic() + context_lib.STARTUP_S


def make_head(wait_s=5.0):
    return call_factory.RequestHead(
        request_id="r-1",
        host="a.example",
        path="/x/",
        key="key-w",
        wait_s=wait_s,
        prompt=builders.make_prompt(100),
        at=context_lib.monotonic(),
    )


def wait_seconds(context, head, ready_after_s=None):
    """Returns for how long a request waited."""

    async def run():
        if ready_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(ready_after_s, context.readiness.set)
            loop.call_later(ready_after_s, context.sources_known.set)
        started = context_lib.monotonic()
        await call_factory.wait_until_ready(context, head)
        return context_lib.monotonic() - started

    return asyncio.run(run())


def test_a_call_waits_for_the_first_document_and_is_served():
    context = make_starting_context()
    head = make_head()
    assert 0.04 < wait_seconds(context, head, ready_after_s=0.05) < 1.0
    assert call_factory.create_call(context, head).route_name == "quote"


def test_a_call_waits_until_it_is_known_which_parts_are_cached():
    context = make_starting_context()
    context.readiness.set()

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, context.sources_known.set)
        started = context_lib.monotonic()
        await call_factory.wait_until_ready(context, make_head())
        return context_lib.monotonic() - started

    assert 0.04 < asyncio.run(run()) < 1.0


# Guards against a start at which shared parts are read once for each workspace:
# calls that had waited went out before the instance had its sharing lease.
def test_a_call_waits_until_workspaces_may_share():
    context = make_starting_context()
    context.readiness.set()
    context.sources_known.set()
    context.sharing_known.clear()

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, context.sharing_known.set)
        started = context_lib.monotonic()
        await call_factory.wait_until_ready(context, make_head())
        return context_lib.monotonic() - started

    assert 0.04 < asyncio.run(run()) < 1.0


def test_a_call_waits_no_longer_than_half_of_its_callers_time():
    context = make_starting_context()
    head = make_head(wait_s=0.1)
    assert 0.04 < wait_seconds(context, head) < 0.5
    with pytest.raises(responses.RequestError) as caught:
        call_factory.create_call(context, head)
    assert caught.value.error_detail.code is codes.NOT_READY


def test_an_instance_that_is_long_without_a_document_rejects_at_once():
    context = make_starting_context()
    context.startup_ends_at = 0.0
    assert wait_seconds(context, make_head()) < 0.04


def test_callers_refused_at_the_start_return_when_a_document_is_expected():
    rng = builders.make_context().rng
    delays = [
        retry_delay.retry_delay_s(codes.NOT_READY, rng) for _ in range(50)
    ]
    assert min(delays) >= retry_delay.STARTUP_DELAY_S


def test_a_call_waits_for_the_targets_of_an_instance_that_is_starting():
    context = builders.make_context()
    restart(context)
    harness = fake_ports.ForwardingHarness(context)
    now = context_lib.monotonic()
    call = builders.make_call(arrived_at=now, deadline=now + 5.0)

    async def run():
        waiting = asyncio.create_task(harness.admission_queue.reserve(call))
        await asyncio.sleep(0)
        record = builders.make_record("a", service="lm", lease_s=0.0)
        context.targets.announce(record, context_lib.monotonic())
        harness.admission_queue.dispatch("lm")
        return await waiting

    assert asyncio.run(run()).record.identity == "a"


def test_a_call_is_refused_at_once_if_no_target_has_been_announced_for_long():
    context = builders.make_context()
    harness = fake_ports.ForwardingHarness(context)
    now = context_lib.monotonic()
    call = builders.make_call(arrived_at=now, deadline=now + 5.0)
    with pytest.raises(responses.RequestError) as caught:
        asyncio.run(harness.admission_queue.reserve(call))
    assert caught.value.error_detail.code is codes.NO_TARGET


def test_a_call_waits_for_targets_only_until_the_start_is_over():
    context = builders.make_context()
    context.startup_ends_at = context_lib.monotonic() + 0.05
    harness = fake_ports.ForwardingHarness(context)
    now = context_lib.monotonic()
    call = builders.make_call(arrived_at=now, deadline=now + 5.0)
    with pytest.raises(responses.RequestError) as caught:
        asyncio.run(harness.admission_queue.reserve(call))
    assert caught.value.error_detail.code is codes.NO_TARGET
    assert context_lib.monotonic() - now < 2.0
