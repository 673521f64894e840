"""Responses to polls of a source that belong to other polls."""

import asyncio

from chivelb_node.links import http_pool
from chivelb_node.links import part_events
from chivelb_platform import cache_event_client
import pytest
import scripted

PAGE = b'{"Epoch":7,"Next":120,"Lost":false,"Events":[]}'
LISTING = b'{"Epoch":7,"Next":120,"Held":[["s","p",10,"m"]]}'


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
    return await client.poll(address, 118, 0.1)


async def list_parts(client, address):
    return await client.fetch_listing(address)


# Guards against a source that is listed as empty, or as one without events,
# because the response to the other kind of request came once more.
@pytest.mark.parametrize(
    ("body", "request_to", "expected"),
    [
        (LISTING, poll, part_events.PollFailure.UNREACHABLE),
        (PAGE, list_parts, None),
    ],
    ids=["poll", "listing"],
)
def test_a_response_to_another_kind_of_request_is_not_taken(
    body, request_to, expected
):
    assert ask(body, request_to) is expected


@pytest.mark.parametrize(
    ("body", "request_to"), [(PAGE, poll), (LISTING, list_parts)]
)
def test_a_response_of_its_kind_is_taken(body, request_to):
    page = ask(body, request_to)
    assert (page.epoch, page.next) == (7, 120)
