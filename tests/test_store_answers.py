"""A store or runner that answers a request twice, the second time late."""

import asyncio

import builders
from chivelb_core.kv_cache import messages as kv_cache_messages
from chivelb_node.links import runners
from chivelb_node.links import stores
import msgspec
import pytest
import scripted

STEP_TIMEOUT_S = 10.0
# The copy of an answer comes this much later, in seconds: after the next
# request was sent.
COPY_DELAY_S = 0.1


def encode(reply):
    return scripted.answer(msgspec.json.encode(reply))


async def free(session, address):
    return await stores.free_blocks(session, address, 1, [("a", 1)])


async def own(session, address):
    reply = await stores.acquire_ownership(session, address, "e1", 0)
    return reply.token


async def export(session, address):
    return await stores.export_blocks(session, address, "s:1", [])


async def ask_status(session, address):
    attempt = runners.RunnerAttempt(
        attempt_id="r-1.1.aa",
        record=builders.make_record(address=address),
        payload=b"{}",
        version="",
        offset=0,
        deadline=0.0,
    )
    return await runners.ask_status(session, attempt)


def make_export(key):
    ref = kv_cache_messages.BlockRef(key, 1, "2", 3)
    return stores.ExportReply([ref])


# Guards against the copy of an earlier answer that is taken for the answer to
# the next request on its connection: nothing in it names its request.
@pytest.mark.parametrize(
    ("ask", "first", "second"),
    [
        (free, stores.FreeReply(True), stores.FreeReply(False)),
        (
            own,
            stores.OwnershipReply(7, 1, 1, []),
            stores.OwnershipReply(0, 1, 1, []),
        ),
        (export, make_export("a"), make_export("b")),
        (
            ask_status,
            runners.AttemptStatus("barred", 1),
            runners.AttemptStatus("running", 1),
        ),
    ],
    ids=["free", "own", "export", "status"],
)
def test_a_copy_of_an_answer_is_not_the_next_answer(ask, first, second):
    copy = encode(first)
    target = scripted.ScriptedTarget(
        [copy, COPY_DELAY_S, copy], [2 * COPY_DELAY_S, encode(second)]
    )
    expected = scripted.ScriptedTarget([encode(second)])

    async def run():
        async with (
            target.serve(),
            expected.serve(),
            runners.make_session() as session,
            asyncio.timeout(STEP_TIMEOUT_S),
        ):
            await ask(session, target.address)
            return (
                await ask(session, target.address),
                await ask(session, expected.address),
            )

    received, expected_result = asyncio.run(run())
    assert received == expected_result
