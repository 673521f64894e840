"""The time limit of request heads answers only heads that are still awaited."""

import asyncio
import contextlib
import time

import builders
from chivelb_core import document
from chivelb_platform import caller_server
import fake_ports
import pytest

STEP_TIMEOUT_S = 10.0
LIMITS = document.Limits(max_body_bytes=1_000, header_timeout_s=0.2)
PAUSE_S = 2 * LIMITS.header_timeout_s
HEAD = (
    b"POST /pdf/a HTTP/1.1\r\nHost: a.example\r\n"
    b"X-Key: key-w\r\nX-Request-Id: r-1\r\n"
)
REQUEST = HEAD + b"Content-Length: 2\r\n\r\nab"
BEFORE = pytest.mark.parametrize(
    "before", [b"", REQUEST], ids=["first", "behind an answer"]
)
LAST = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nab"


@contextlib.asynccontextmanager
async def serve(replies=0):
    """Yields what was forwarded and a caller's connection to a server."""
    harness = fake_ports.ForwardingHarness(
        builders.make_context(
            builders.make_routed_document(limits=LIMITS), a={"service": "web"}
        ),
        *(fake_ports.FakeReply(b"done", status=200) for _ in range(replies)),
    )
    server = caller_server.CallerServer(
        harness.context,
        harness.forwarder,
        caller_address="127.0.0.1:0",
        readiness_address="127.0.0.1:0",
    )
    await server.on_start()
    port = server.servers[0].sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            yield harness.targets.sent, reader, writer
    finally:
        writer.close()
        await server.on_stop()


def statuses(received):
    """Returns the status of each answer, in order."""
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


# Guards against a second answer to one request: the rest of its body, which
# comes behind the answer, was taken for the begin of a request head.
@pytest.mark.parametrize(
    ("head", "rest"),
    [
        (HEAD + b"Content-Length: 2000\r\n", b"ab"),
        (
            HEAD.replace(b"key-w", b"nobody")
            + b"Transfer-Encoding: chunked\r\n",
            b"2\r\nab\r\n",
        ),
    ],
    ids=["too large", "refused"],
)
def test_a_body_that_comes_behind_its_answer_gets_no_answer(head, rest):
    async def run():
        async with serve() as (_, reader, writer):
            writer.write(head + b"\r\n")
            received = await reader.readuntil(b"\r\n\r\n")
            writer.write(rest)
            return received + await reader.read()

    received = asyncio.run(run())
    assert len(statuses(received)) == 1
    assert b"Connection: close" in received


# Guards against an answer of 408 to a head that is whole: the process stood
# still while its rest arrived, and reads it when the time limit is over.
@BEFORE
def test_a_head_that_is_whole_after_a_pause_of_the_process_is_served(before):
    requests = 2 if before else 1

    async def run():
        async with serve(requests) as (sent, reader, writer):
            received = b""
            if before:
                writer.write(before)
                received = await reader.readuntil(b"done")
            writer.write(LAST[:40])
            # The server reads this, and starts the time limit.
            await asyncio.sleep(LIMITS.header_timeout_s / 4)
            writer.write(LAST[40:])
            time.sleep(PAUSE_S)
            return received + await reader.read(), len(sent)

    received, sent = asyncio.run(run())
    assert (statuses(received), sent) == ([200] * requests, requests)


# Narrows the rule: the limit holds for each head that is awaited, also behind
# an answer.
@BEFORE
def test_a_head_that_stays_incomplete_is_refused(before):
    async def run():
        async with serve(1) as (_, reader, writer):
            received = b""
            if before:
                writer.write(before)
                received = await reader.readuntil(b"done")
            writer.write(LAST[:40])
            return received + await reader.read()

    expected = [200, 408] if before else [408]
    assert statuses(asyncio.run(run())) == expected
