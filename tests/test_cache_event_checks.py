"""Cache events and signals with values that fit into no message."""

import asyncio

import builders
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node.links import http_connection
from chivelb_node.links import http_pool
from chivelb_node.links import part_events
from chivelb_node.wire import messages
from chivelb_platform import cache_event_client
import pytest
import scripted
import test_part_events

NESTED = b'{"x":' + b"[" * 100_000
HUGE = b"1" + b"0" * 30
PAGE = b'{"Epoch":%b,"Next":%b,"Lost":false,"Events":[[1,"+","s","p",%b,"m"]]}'
LISTING = b'{"Epoch":%b,"Next":%b,"Held":[["s","p",%b,"m"]]}'
OUT_OF_RANGE = [
    (HUGE, b"2", b"10"),
    (b"-1", b"2", b"10"),
    (b"7", HUGE, b"10"),
    (b"7", b"9223372036854775808", b"10"),
    (b"7", b"-1", b"10"),
    (b"7", b"2", HUGE),
    (b"7", b"2", b"-1"),
]


def ask(body, request):
    """Returns what a client makes of a response to one of its requests."""
    target = scripted.ScriptedTarget([scripted.answer(body)])

    async def run():
        pool = http_pool.HttpPool()
        client = cache_event_client.CacheEventClient(pool)
        try:
            async with asyncio.timeout(5), target.serve():
                return await request(client, target.address)
        finally:
            pool.close()

    return asyncio.run(run())


async def poll(client, address):
    return await client.poll(address, 0, 0.1)


async def list_parts(client, address):
    return await client.fetch_listing(address)


# Guards against a front process that ends because of one page of a runner.
@pytest.mark.parametrize("values", OUT_OF_RANGE)
def test_a_page_with_a_value_out_of_range_is_malformed(values):
    assert ask(PAGE % values, poll) is part_events.PollFailure.MALFORMED


@pytest.mark.parametrize("values", OUT_OF_RANGE)
def test_a_listing_with_a_value_out_of_range_is_not_taken(values):
    assert ask(LISTING % values, list_parts) is None


# Guards against a body whose depth ends the task that follows its source.
def test_a_nested_page_is_not_taken():
    assert ask(NESTED, poll) is part_events.PollFailure.UNREACHABLE
    assert ask(NESTED, list_parts) is None


class ListedSource(test_part_events.FakeSource):
    """Answers polls with the given results, and always with one listing."""

    async def fetch_listing(self, address):
        return part_events.EventPage(
            1, 8, False, [parts_lib.PartUpdate("listed", 3)]
        )


# Guards against a source whose events are not followed any more because one of
# them is malformed each time that it is polled.
def test_a_source_is_listed_after_a_malformed_page(monkeypatch):
    monkeypatch.setattr(part_events, "RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(part_events, "POLL_DELAY_S", 0.0)

    async def run():
        source = ListedSource(
            test_part_events.page(4, "a"),
            part_events.PollFailure.MALFORMED,
            test_part_events.page(9, "b"),
        )
        follower = part_events.CacheEventFollower(
            builders.make_context(),
            test_part_events.FakeHub(),
            test_part_events.FakeGossip(),
            source,
        )
        task = asyncio.create_task(follower._follow(test_part_events.SOURCE))
        async with asyncio.timeout(5):
            await source.done.wait()
        task.cancel()
        return follower.directory.source(test_part_events.SOURCE)

    assert asyncio.run(run()).parts == {"listed": 3, "b": 10}


# Guards against a peer of an older build that passes malformed events on.
@pytest.mark.parametrize(
    ("epoch", "until", "tokens"), [(1, 5, -1), (-1, 5, 1), (1, 2**63, 1)]
)
def test_malformed_events_of_a_peer_are_not_taken(epoch, until, tokens):
    async def run():
        follower = part_events.CacheEventFollower(
            builders.make_context(),
            test_part_events.FakeHub(),
            test_part_events.FakeGossip(),
            test_part_events.FakeSource(),
        )
        for listing in (False, True):
            events = [parts_lib.PartUpdate("a", tokens)]
            follower._on_update(
                "i2",
                messages.PartUpdates("h:1", epoch, 0, until, events, listing),
            )
        return follower.directory

    directory = asyncio.run(run())
    assert not directory.tokens_by_source
    directory.check_invariants()


# Guards against an idle timeout too large for a number, which ended the
# reading of a connection.
@pytest.mark.parametrize("digits", [400, 5_000])
def test_an_idle_timeout_of_many_digits_is_not_taken(digits):
    value = b"timeout=" + b"9" * digits
    idle_s = http_connection._parse_idle_timeout(value)
    assert idle_s == http_connection.MAX_IDLE_S
