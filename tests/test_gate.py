"""Reservations of slots at targets are used or released in every case."""

import asyncio

import builders
from chivelb_core import codes
from chivelb_node import context as context_lib
from chivelb_node.edge import responses
import fake_ports
import pytest


def make_harness():
    engine = builders.make_engine(slots=1)
    services = builders.make_routed_document().services
    services["lm"].engine = engine
    routed = builders.make_routed_document(services=services)
    context = builders.make_context(
        routed, a={"service": "lm", "weight_version": "1"}
    )
    return fake_ports.ForwardingHarness(context)


def make_call(name="quote", **options):
    now = context_lib.monotonic()
    route = builders.make_route(**options)
    return builders.make_call(route, arrived_at=now, deadline=now + 5.0)


def run(scenario):
    asyncio.run(scenario())


def test_a_call_cancelled_as_it_gets_a_reservation_releases_it():
    # Guards against a leaked reservation: the call is cancelled after its
    # future is resolved and before its task resumes.
    harness = make_harness()

    async def scenario():
        first = await harness.admission_queue.reserve(make_call())
        waiting = asyncio.create_task(
            harness.admission_queue.reserve(make_call())
        )
        await asyncio.sleep(0)
        harness.admission_queue.release(first, "lm")
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert harness.running() == 0

    run(scenario)


def test_a_released_reservation_starts_the_next_call():
    harness = make_harness()

    async def scenario():
        first = await harness.admission_queue.reserve(make_call())
        second = asyncio.create_task(
            harness.admission_queue.reserve(make_call())
        )
        third = asyncio.create_task(
            harness.admission_queue.reserve(make_call())
        )
        await asyncio.sleep(0)
        harness.admission_queue.release(first, "lm")
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        async with asyncio.timeout(1):
            reservation = await third
        assert harness.running() == 1
        harness.admission_queue.release(reservation, "lm")
        assert harness.running() == 0

    run(scenario)


def test_a_call_that_cannot_start_within_its_maximum_wait_is_rejected():
    harness = make_harness()

    async def scenario():
        reservation = await harness.admission_queue.reserve(make_call())
        call = make_call(patience_s=0.05)
        started = context_lib.monotonic()
        with pytest.raises(responses.RequestError) as caught:
            await harness.admission_queue.reserve(call)
        assert caught.value.error_detail.code is codes.OVERLOADED
        assert context_lib.monotonic() - started < 1.0
        assert not harness.admission_queue.waiting_lists["lm"].calls
        harness.admission_queue.release(reservation, "lm")

    run(scenario)


def test_without_a_target_a_reservation_fails_at_once():
    context = builders.make_context()
    harness = fake_ports.ForwardingHarness(context)

    async def scenario():
        with pytest.raises(responses.RequestError) as caught:
            await harness.admission_queue.reserve(make_call())
        assert caught.value.error_detail.code is codes.NO_TARGET

    run(scenario)
