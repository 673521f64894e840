"""Which calls begin and how all end during a planned stop, in virtual time."""

import asyncio
import random
import socket

from aiohttp import web
import builders
from chivelb_core import codes
from chivelb_node import context as context_lib
from chivelb_node.edge import connections
from chivelb_node.forwarding import draining
import fake_ports
import pytest
import simulated_runners

GRACE_S = 8.0
# The platform counts from here on how long a target was at work.
LAST_SIXTH_S = GRACE_S * 5 / 6
LONG_S = 100.0
# An answer that fits into the buffer of a transport, not into that of a socket.
ANSWER_BYTES = 60_000
SOCKET_BYTES = 4_096


class RecordingTargets(fake_ports.FakeTargets):
    """Records when requests are sent, in seconds of virtual time."""

    def __init__(self, *replies):
        super().__init__(*replies)
        self.sent_at = []

    async def send(self, call, message, assignment):
        self.sent_at.append(context_lib.monotonic())
        return await super().send(call, message, assignment)


def make_harness(*replies, slots=64):
    services = builders.make_routed_document().services
    services["lm"].engine = builders.make_engine(slots=slots)
    context = builders.make_context(
        builders.make_routed_document(services=services),
        a={"service": "lm", "weight_version": "1", "address": "a:1"},
        b={"service": "web", "weight_version": "", "address": "b:1"},
        c={"service": "web", "weight_version": "", "address": "c:1"},
    )
    harness = fake_ports.ForwardingHarness(context, *replies)
    harness.targets = RecordingTargets(*replies)
    harness.forwarder.target_port = harness.targets
    return harness


def begin_call(harness, route_name):
    """Serves a call in a task; returns the task, which returns its caller."""
    context = harness.context
    context.in_progress += 1
    now = context_lib.monotonic()
    call = builders.make_call(
        context.document.routes[route_name],
        route_name=route_name,
        prompt=builders.make_prompt(100) if route_name == "once" else None,
        arrived_at=now,
        deadline=now + LONG_S,
    )

    async def serve():
        try:
            return await harness.serve(call)
        finally:
            context.in_progress -= 1

    return asyncio.create_task(serve())


def run_stop(monkeypatch, scenario):
    """Runs a scenario, which gets a function that stops its harness."""

    async def stop(harness):
        await draining.drain(harness.context, grace_s=GRACE_S)

    simulated_runners.run_in_virtual_time(lambda: scenario(stop), monkeypatch)


# Guards against a request that waits for capacity when the instance stops, is
# sent to a target late in the grace period and then cut.
def test_a_call_that_waits_for_capacity_is_not_sent_late_in_a_stop(monkeypatch):
    async def scenario(stop):
        answer_s = draining.CONTINUE_SERVING_S + 1.0
        harness = make_harness(
            fake_ports.FakeReply(answer_s, b"x"),
            fake_ports.FakeReply(LONG_S, b"x"),
            slots=1,
        )
        first = begin_call(harness, "once")
        await asyncio.sleep(0.1)
        second = begin_call(harness, "once")
        await asyncio.sleep(0.1)
        await stop(harness)
        assert (await first).end == "finished"
        assert len(harness.targets.sent) == 1
        caller = await second
        assert caller.error_detail.code is codes.STOPPING
        assert harness.running() == 0

    run_stop(monkeypatch, scenario)


# Guards against a silent cut at the end of the grace period, and against an
# answer that promises that a request did not run.
@pytest.mark.parametrize("route_name", ["pdf", "status", "once"])
def test_a_call_at_a_target_at_the_end_of_a_stop_may_have_run(
    monkeypatch, route_name
):
    async def scenario(stop):
        harness = make_harness(
            *[fake_ports.FakeReply(LONG_S, b"x") for _ in range(2)]
        )
        call = begin_call(harness, route_name)
        await asyncio.sleep(0.1)
        await stop(harness)
        assert harness.context.in_progress == 0
        assert context_lib.monotonic() > LAST_SIXTH_S
        assert context_lib.monotonic() < GRACE_S
        caller = await call
        assert caller.error_detail.code is codes.OUTCOME_UNKNOWN
        # A safe call is not sent once more either.
        assert len(harness.targets.sent) == 1

    run_stop(monkeypatch, scenario)


# Guards against a stream that looks complete after the end of a stop.
def test_a_stream_in_progress_at_the_end_of_a_stop_is_aborted(monkeypatch):
    async def scenario(stop):
        event = b"id: 1\ndata: x\n\n"
        harness = make_harness(
            fake_ports.FakeReply(event, LONG_S, is_stream=True)
        )
        call = begin_call(harness, "once")
        await asyncio.sleep(0.1)
        await stop(harness)
        caller = await call
        assert (caller.body, caller.end) == (event, "aborted")

    run_stop(monkeypatch, scenario)


# Guards against any mix of arrivals and durations in which a call has no clear
# end, or is sent for the first time late in the grace period.
@pytest.mark.parametrize("seed", range(1, 21))
def test_all_calls_of_a_stop_end_clearly(monkeypatch, seed):
    rng = random.Random(seed)

    async def scenario(stop):
        durations_s = [rng.choice([0.1, 1.0, 3.0, LONG_S]) for _ in range(120)]
        harness = make_harness(
            *[fake_ports.FakeReply(s, b"x") for s in durations_s], slots=6
        )
        stopping = asyncio.create_task(stop(harness))
        callers = []
        for _ in range(100):
            await asyncio.sleep(rng.random() * 0.15)
            name = rng.choice(["once", "once", "pdf", "status"])
            callers.append(begin_call(harness, name))
        await stopping
        assert max(harness.targets.sent_at) < draining.CONTINUE_SERVING_S + 0.01
        ends = [await caller for caller in callers]
        assert {caller.end for caller in ends} <= {
            "finished",
            "aborted",
            "refused",
        }
        refused = [c for c in ends if c.end == "refused"]
        assert {c.error_detail.code for c in refused} <= {
            codes.STOPPING,
            codes.OUTCOME_UNKNOWN,
            codes.QUEUE_DEADLINE,
            codes.OVERLOADED,
        }
        not_run = [
            c
            for c in refused
            if c.error_detail.code.ran is codes.ExecutionStatus.NOT_RUN
        ]
        assert len(harness.targets.sent) == len(ends) - len(not_run)
        assert harness.running() == 0

    run_stop(monkeypatch, scenario)


# Guards against the loss of the end of an answer that waits in the process for
# a caller that reads slowly, when the process ends.
def test_a_stop_waits_for_answers_that_are_not_sent_yet(monkeypatch):
    async def scenario(_):
        harness = make_harness()
        context = harness.context
        stopping = asyncio.create_task(draining.drain(context, grace_s=GRACE_S))
        transports = []

        async def answer(request):
            transports.append(request.transport)
            return web.Response(body=bytes(ANSWER_BYTES))

        factory = connections.make_protocol_factory(context, answer)
        near, far = socket.socketpair()
        for end in (near, far):
            end.setblocking(False)
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                end.setsockopt(socket.SOL_SOCKET, option, SOCKET_BYTES)
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(factory, near)
        await loop.sock_sendall(far, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not (transports and transports[0].get_write_buffer_size()):
            await asyncio.sleep(0.01)
        # Longer than a stop takes without requests in progress.
        await asyncio.sleep(GRACE_S * 0.6)
        assert not stopping.done()
        received = b""
        while len(received) < ANSWER_BYTES:
            received += await loop.sock_recv(far, ANSWER_BYTES)
        await stopping
        assert context_lib.monotonic() < LAST_SIXTH_S
        far.close()

    run_stop(monkeypatch, scenario)
