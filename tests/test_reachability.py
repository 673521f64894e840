"""Targets that can't be reached for a while.

Load pattern: a zone is cut off for seconds, and calls of the other zones are
placed on its targets as well.
"""

import asyncio

import builders
from chivelb_core import codes
from chivelb_node import context as context_lib
from chivelb_node.links import http_pool
from chivelb_node.links import reachability
import fake_ports
import pytest


class FakePool:
    """Opens a connection only after a number of failed tries."""

    def __init__(self, failures):
        self.failures = failures
        self.tried = []

    async def open_idle(self, address):
        self.tried.append(address)
        if len(self.tried) <= self.failures:
            raise http_pool.NotSentError(address)


@pytest.fixture(autouse=True)
def no_delays(monkeypatch):
    monkeypatch.setattr(reachability, "FIRST_CHECK_DELAY_S", 0.0)
    monkeypatch.setattr(reachability, "MAX_CHECK_DELAY_S", 0.0)


def make_context():
    return builders.make_context(
        a={"service": "lm", "address": "127.0.0.1:9001"},
        b={"service": "lm", "address": "127.0.0.1:9002"},
    )


def failing(context, later_s=60.0):
    now = context_lib.monotonic() + later_s
    return set(context.targets.recent_failures(now, 1.0))


def test_an_unreachable_target_is_left_out_until_a_check_succeeds():
    context = make_context()
    record = context.targets.entries["a"].record

    async def run():
        checks = reachability.ReachabilityChecks(context, FakePool(2))
        checks.start_checking(record)
        assert failing(context) == {"a"}
        checks.start_checking(record)
        while failing(context):
            await asyncio.sleep(0)
        return checks.pool.tried

    async def run_bounded():
        async with asyncio.timeout(5):
            return await run()

    assert asyncio.run(run_bounded()) == ["127.0.0.1:9001"] * 3


def test_a_target_that_leaves_is_not_checked_any_longer():
    context = make_context()
    record = context.targets.entries["a"].record

    async def run():
        checks = reachability.ReachabilityChecks(context, FakePool(10**9))
        checks.start_checking(record)
        await asyncio.sleep(0.01)
        context.targets.mark_leaving("a", record.incarnation)
        await asyncio.sleep(0.01)
        tried = len(checks.pool.tried)
        await asyncio.sleep(0.01)
        return tried, len(checks.pool.tried)

    before, after = asyncio.run(run())
    assert 0 < before == after


def test_a_call_to_an_unreachable_target_goes_on_to_another_one():
    refused = fake_ports.not_run(codes.TARGET_UNREACHABLE, target_crashed=True)
    context = builders.make_context(
        a={"service": "web", "address": "127.0.0.1:9001"},
        b={"service": "web", "address": "127.0.0.1:9002"},
    )
    harness = fake_ports.ForwardingHarness(
        context, refused, fake_ports.FakeReply(b"ok")
    )
    route = builders.make_routed_document().routes["pdf"]
    now = context_lib.monotonic()
    call = builders.make_call(
        route, prompt=None, arrived_at=now, deadline=now + 5.0
    )
    caller = harness.run_call(call)
    assert (caller.status, caller.body) == (200, b"ok")
    first = harness.targets.sent[0].record
    assert harness.unreachable == [first]


def test_a_connection_opened_by_a_check_serves_the_next_request():
    async def run():
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_pool.HttpPool()
        await pool.open_idle(f"127.0.0.1:{port}")
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        answered = await http_pool.fetch(pool, f"127.0.0.1:{port}", request)
        pool.close()
        server.close()
        return answered, pool.connections_opened

    assert asyncio.run(run()) == ((200, b"ok"), 1)
