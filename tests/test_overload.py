"""The admission queue of an instance while targets have too little room."""

import asyncio

import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.edge import responses
import fake_ports
import pytest
import simulated_runners

SMALL, LARGE = 800, 12_000


def make_harness(*, runners=1, kv_tokens=20_000, **decisions):
    engine = builders.make_engine(slots=16, kv_tokens=kv_tokens)
    services = {"lm": document.Service(kind="model", engine=engine)}
    routed = builders.make_routed_document(services=services)
    records = {
        f"r{number}": {
            "service": "lm",
            "address": f"h:{number}",
            "weight_version": "1",
        }
        for number in range(runners)
    }
    context = builders.make_context(routed, **records)
    context.settings.decisions = settings_lib.Decisions(**decisions)
    return fake_ports.ForwardingHarness(context)


def make_call(tokens=SMALL, *, timeout_s=5.0, **options):
    now = context_lib.monotonic()
    return builders.make_call(
        builders.make_route(target_latency_s=0.5),
        prompt=builders.make_prompt(tokens, max_output=0),
        arrived_at=now,
        deadline=now + timeout_s,
        **options,
    )


def run(scenario, monkeypatch):
    return simulated_runners.run_in_virtual_time(scenario, monkeypatch)


async def join(harness, call):
    """Returns the task of a call that waits."""
    task = asyncio.create_task(harness.admission_queue.reserve(call))
    await asyncio.sleep(0.001)
    return task


async def fill(harness, tokens):
    """Fills all runners with calls of which the prompts have been read."""
    reservations = []
    for _ in harness.context.targets.entries:
        reservation = await harness.admission_queue.reserve(make_call(tokens))
        harness.admission_queue.record_first_event(reservation)
        reservations.append(reservation)
    return reservations


# Load: large calls that wait for KV cache beside urgent ones. Guards against
# an urgent call that joins them, although a target has room for it.
def test_an_urgent_call_does_not_wait_behind_large_ones(monkeypatch):
    harness = make_harness()

    async def scenario():
        queue = harness.admission_queue
        await fill(harness, 11_000)
        large = await join(harness, make_call(LARGE, priority=2))
        assert not large.done()
        reservation = await queue.reserve(make_call(priority=0))
        assert reservation.record.identity == "r0"
        assert len(queue.waiting_lists["lm"].calls) == 1
        large.cancel()

    run(scenario, monkeypatch)


# Load: a large call waits, small ones of its priority come. Guards against
# runners that stay idle meanwhile, and against small calls that take the room
# for which the large one waits.
def test_small_calls_leave_one_runner_to_a_large_one(monkeypatch):
    harness = make_harness(runners=3)

    async def scenario():
        queue = harness.admission_queue
        held = await fill(harness, 11_000)
        large = await join(harness, make_call(LARGE))
        small = [await join(harness, make_call()) for _ in range(6)]
        placed = {task.result().record.identity for task in small}
        (reserved,) = queue.waiting_lists["lm"].reservations
        assert placed == {"r0", "r1", "r2"} - {reserved}
        for reservation in held:
            if reservation.record.identity == reserved:
                queue.release(reservation, "lm")
        assert (await large).record.identity == reserved
        assert not queue.waiting_lists["lm"].reservations

    run(scenario, monkeypatch)


def test_without_the_fair_order_small_calls_wait_behind_large_ones(
    monkeypatch,
):
    harness = make_harness(runners=3, fair_order=False)

    async def scenario():
        await fill(harness, 11_000)
        tasks = [
            await join(harness, make_call(tokens)) for tokens in (LARGE, SMALL)
        ]
        assert not any(task.done() for task in tasks)
        for task in tasks:
            task.cancel()

    run(scenario, monkeypatch)


# Load: overload of one priority. Guards against callers with a short time that
# are refused only when most of it has passed, and refusals without an account.
def test_a_call_that_cannot_start_in_time_is_refused_when_it_comes(
    monkeypatch,
):
    harness = make_harness()
    lines = []
    monkeypatch.setattr(
        "chivelb_node.forwarding.admission._log.info",
        lambda event, **fields: lines.append((event, fields)),
    )

    async def scenario():
        queue = harness.admission_queue
        held = await fill(harness, 18_000)
        waiting = [await join(harness, make_call(18_000)) for _ in range(12)]
        for _ in range(6):
            await asyncio.sleep(0.3)
            queue.release(held.pop(), "lm")
            await asyncio.sleep(0)
            started = [t for t in waiting if t.done()]
            held = [t.result() for t in started][-1:]
        # New calls go before those that are late by now: two of them can be
        # in time.
        waiting += [await join(harness, make_call(18_000)) for _ in range(3)]
        now = context_lib.monotonic()
        with pytest.raises(responses.RequestError) as caught:
            await queue.reserve(make_call(18_000, timeout_s=0.68))
        assert context_lib.monotonic() - now <= 0.5 / 8
        error = caught.value
        assert error.error_detail.code is codes.OVERLOADED
        # Nine calls wait, of which one starts in 0.3 s; new ones overtake.
        assert 2.7 - 0.3 <= error.backlog_s <= 4 * 2.7
        queue.update_queues()
        count = len(queue.waiting_lists["lm"].calls)
        for task in waiting:
            task.cancel()
        return count

    count = run(scenario, monkeypatch)
    fields = dict(reversed(lines))["waiting call refused"]
    assert fields["reason"] == "expected wait"
    assert fields["waits_for"] == "kv_cache"
    assert 6 <= fields["position"] <= 9
    assert fields["expected_wait_ms"] > 680
    refused = [f for event, f in lines if event == "waiting call refused"]
    text = harness.context.metrics.render().decode()
    assert (
        'waiting_refusals_total{class_name="quote",reason="expected wait"} '
        f"{len(refused)}.0"
    ) in text
    assert f'chivelb_waiting_calls{{class_name="quote"}} {count}.0' in text
    assert "chivelb_oldest_waiting_call_seconds" in text


# Load: urgent calls take all that becomes free, and one of the least priority
# waits. Guards against a call that never starts, because room for it never
# becomes free at one target.
def test_a_call_of_low_priority_starts_beside_urgent_ones(monkeypatch):
    harness = make_harness(runners=2)

    async def scenario():
        queue = harness.admission_queue
        await queue.start()

        async def urgent():
            try:
                reservation = await queue.reserve(make_call(3_000))
            except responses.RequestError:
                return
            queue.record_first_event(reservation)
            await asyncio.sleep(0.4)
            queue.release(reservation, "lm")

        tasks = []
        large = None
        for number in range(400):
            tasks.append(asyncio.create_task(urgent()))
            await asyncio.sleep(0.02)
            if number == 50:
                now = context_lib.monotonic()
                call = make_call(LARGE, priority=2, timeout_s=20.0)
                large = asyncio.create_task(queue.reserve(call))
            if large is not None and large.done():
                break
        assert large.done()
        waited_s = context_lib.monotonic() - now
        await queue.stop()
        for task in tasks:
            task.cancel()
        return waited_s

    # The longest time between starts, and that of the requests that occupy
    # the target that is left to it.
    assert run(scenario, monkeypatch) <= 4.0 + 0.4 + 0.1
