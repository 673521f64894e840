"""Limits of client connections, each with one client that exceeds it."""

import asyncio
import contextlib

from aiohttp import web
import builders
from chivelb_core import document
from chivelb_node.edge import connections
from chivelb_node.edge import port_limits
from chivelb_node.edge import request_bodies
from chivelb_node.edge import responses
import pytest

LIMITS = document.Limits(
    max_header_bytes=1_000, header_timeout_s=0.3, idle_timeout_s=5.0
)
GET = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
LAST = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GIVE_UP_S = 20.0
MAX_BODY_BYTES = 4 << 20


class Port:
    """A server with limited connections, whose answers a test releases.

    Attributes:
        context: The instance.
        served: Paths of the requests that were served.
        release: Lets requests end; set from the start.
    """

    def __init__(self, **http):
        self.context = builders.make_context(document.Document(limits=LIMITS))
        for key, value in http.items():
            setattr(self.context.settings.http, key, value)
        if "buffer_bytes" in http:
            self.context.buffers.limit_bytes = http["buffer_bytes"]
        self.served = []
        self.release = asyncio.Event()
        self.release.set()
        self.answer_bytes = 2
        self.writers = []

    async def handle(self, request):
        with self.context.buffers.open() as charge:
            try:
                body = await request_bodies.read_body(
                    request,
                    max_bytes=MAX_BODY_BYTES,
                    timeout_s=GIVE_UP_S,
                    charge=charge,
                )
            except responses.RequestError as error:
                response = responses.error_response(
                    error.error_detail, "", self.context.rng
                )
                response.force_close()
                return response
            self.served.append((request.path, len(body)))
            await self.release.wait()
        return web.Response(body=b"a" * self.answer_bytes)

    @contextlib.asynccontextmanager
    async def serve(self):
        factory = connections.make_protocol_factory(self.context, self.handle)
        server = await port_limits.listen(factory, "127.0.0.1:0")
        self.address = server.sockets[0].getsockname()
        try:
            yield self
        finally:
            server.close()
            for writer in self.writers:
                writer.transport.abort()
            # Whatever ended, and however: nothing stays charged.
            while self.context.buffers.used_bytes:
                await asyncio.sleep(0.005)
            while any(self.context.list_transports()):
                await asyncio.sleep(0.005)

    async def open(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.writers.append(writer)
        return reader, writer

    def refused(self, reason):
        value = self.context.metrics.registry.get_sample_value(
            "chivelb_refused_clients_total",
            {"port": "callers", "reason": reason},
        )
        return value or 0

    async def wait_served(self, count):
        while len(self.served) < count:
            await asyncio.sleep(0.005)


def run(scenario, **http):
    async def main():
        port = Port(**http)
        async with asyncio.timeout(GIVE_UP_S), port.serve():
            await scenario(port)

    asyncio.run(main())


async def read_all(reader):
    with contextlib.suppress(ConnectionError):
        return await reader.read()
    return b""


# Guards against a head that is refused although it comes in small pieces, each
# of which is part of no complete head.
def test_a_head_within_the_limit_is_served_byte_by_byte():
    async def scenario(port):
        reader, writer = await port.open()
        for byte in b"\r\n" + LAST:
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert (await read_all(reader)).startswith(b"HTTP/1.1 200")
        assert port.served == [("/last", 0)]

    run(scenario)


def test_a_head_beyond_the_limit_is_refused_while_it_is_received():
    async def scenario(port):
        reader, writer = await port.open()
        writer.write(b"GET / HTTP/1.1\r\n" + b"X-A: %b\r\n" % (b"a" * 99) * 40)
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 431")
        assert b"X-Result-Code: 1005" in answer
        assert port.refused("head_bytes") == 1
        assert not port.served

    run(scenario)


# Guards against lines that start no timer, and of which each restarts it.
def test_empty_lines_do_not_prolong_a_head():
    async def scenario(port):
        reader, writer = await port.open()
        received = asyncio.create_task(read_all(reader))
        with contextlib.suppress(ConnectionError):
            while not received.done():
                writer.write(b"\r\n")
                await asyncio.sleep(0.05)
        assert (await received).startswith(b"HTTP/1.1 408")
        assert port.refused("head_time") == 1

    run(scenario)


# Guards against a connection that reads no more, or never again, after what
# came behind a request was held back.
def test_a_head_behind_a_request_is_served_after_it():
    async def scenario(port):
        port.release.clear()
        reader, writer = await port.open()
        writer.write(GET % b"first" + LAST[:20])
        await port.wait_served(1)
        writer.write(LAST[20:30])
        await asyncio.sleep(0.05)
        writer.write(LAST[30:])
        await asyncio.sleep(0.05)
        port.release.set()
        answer = await read_all(reader)
        assert answer.count(b"HTTP/1.1 200") == 2
        assert [path for path, _ in port.served] == ["/first", "/last"]

    run(scenario)


def test_an_unfinished_head_behind_a_request_times_out():
    async def scenario(port):
        port.release.clear()
        reader, writer = await port.open()
        writer.write(GET % b"first")
        await port.wait_served(1)
        writer.write(LAST[:20])
        await asyncio.sleep(0.05)
        port.release.set()
        answer = await read_all(reader)
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"HTTP/1.1 408" in answer

    run(scenario)


# Guards against a limit on requests read ahead that loses some of them.
def test_many_requests_sent_at_once_are_all_served():
    async def scenario(port):
        reader, writer = await port.open()
        requests = [GET % b"%d" % number for number in range(500)]
        writer.write(b"".join(requests) + LAST)
        answer = await read_all(reader)
        assert answer.count(b"HTTP/1.1 200") == 501
        assert [path for path, _ in port.served] == [
            *(f"/{number}" for number in range(500)),
            "/last",
        ]

    run(scenario)


# Guards against chunk extensions and trailers, which bring no byte of a body,
# being read until the time limit of the body.
@pytest.mark.parametrize(
    ("start", "repeated"),
    [(b"5;", b"a"), (b"0\r\n", b"X-A: 1\r\n"), (b"0\r\nX-A: ", b"a")],
)
def test_the_framing_of_a_body_without_end_ends_its_connection(start, repeated):
    async def scenario(port):
        reader, writer = await port.open()
        received = asyncio.create_task(read_all(reader))
        writer.write(CHUNKED + start)
        with contextlib.suppress(ConnectionError):
            while not received.done():
                writer.write(repeated * (8_192 // len(repeated)))
                await writer.drain()
                await asyncio.sleep(0)
        await received
        assert not port.served

    run(scenario)


# Guards against a request that waits until its time limit for the rest of a
# body that can't be parsed.
def test_a_body_that_cannot_be_parsed_is_refused_at_once():
    async def scenario(port):
        reader, writer = await port.open()
        writer.write(CHUNKED)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b"5\r\nhello\r\nnone\r\n")
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 400")
        assert b"X-Result-Code: 1011" in answer
        assert not port.served

    run(scenario)


def test_a_body_in_tiny_chunks_is_served():
    async def scenario(port):
        reader, writer = await port.open()
        size = 100_000
        head = CHUNKED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        writer.write(head + b"1\r\na\r\n" * size + b"0\r\n\r\n")
        assert (await read_all(reader)).startswith(b"HTTP/1.1 200")
        assert port.served == [("/", size)]

    run(scenario)


# Guards against idle connections that keep out those with requests.
def test_a_new_connection_takes_the_place_of_an_idle_one():
    async def scenario(port):
        idle = [await port.open() for _ in range(3)]
        reader, writer = await port.open()
        writer.write(LAST)
        assert (await read_all(reader)).startswith(b"HTTP/1.1 200")
        assert await read_all(idle[0][0]) == b""
        assert port.refused("idle_evicted") == 1
        idle[2][1].write(LAST)
        assert (await read_all(idle[2][0])).startswith(b"HTTP/1.1 200")

    run(scenario, max_connections=3)


# Guards against a request in progress that is ended for a new connection.
def test_a_connection_is_refused_while_all_others_are_busy():
    async def scenario(port):
        port.release.clear()
        busy = [await port.open() for _ in range(2)]
        for _, writer in busy:
            writer.write(LAST)
        await port.wait_served(2)
        reader, _ = await port.open()
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: " in answer
        assert b"not run" in answer
        assert port.refused("connections") == 1
        port.release.set()
        for busy_reader, _ in busy:
            assert (await read_all(busy_reader)).startswith(b"HTTP/1.1 200")

    run(scenario, max_connections=2)


# Guards against bodies that stop short and have all others refused.
def test_a_body_without_progress_gives_way():
    async def scenario(port):
        port.context.buffers.stalled_s = 0.1
        head = b"POST /%b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        size = 300_000
        stalled = [await port.open() for _ in range(2)]
        for _, writer in stalled:
            writer.write(head % (b"stalled", size) + b"b" * (size - 1))
        while port.context.buffers.used_bytes < 4 * (size - 1):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.2)
        reader, writer = await port.open()
        writer.write(head % (b"whole", size) + b"b" * size)
        answer = await reader.readuntil(b"\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        assert port.served == [("/whole", size)]
        readers = [asyncio.create_task(read_all(r)) for r, _ in stalled]
        ended, others = await asyncio.wait(
            readers, return_when=asyncio.FIRST_COMPLETED
        )
        (refused,) = [task.result() for task in ended]
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"X-Result-Code: 2015" in refused
        assert port.refused("stalled_body") == 1
        for task in others:
            task.cancel()

    run(scenario, buffer_bytes=1_700_000)


# Guards against a full budget that has requests wait, or run half-way.
def test_a_body_without_room_is_refused_at_once():
    async def scenario(port):
        port.context.buffers.add(100_000_000)
        reader, writer = await port.open()
        writer.write(CHUNKED + b"5\r\nhello\r\n")
        answer = await read_all(reader)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: " in answer
        assert port.refused("buffers") == 1
        assert not port.served
        port.context.buffers.release(100_000_000)

    run(scenario)


# Guards against a budget that does not count answers until they are read.
def test_an_answer_that_is_not_read_is_part_of_the_budget():
    async def scenario(port):
        port.answer_bytes = 32 << 20
        reader, writer = await port.open()
        writer.write(LAST)
        while port.context.buffers.used_bytes < port.answer_bytes:
            await asyncio.sleep(0.005)
        answer = await read_all(reader)
        assert len(answer) > port.answer_bytes
        assert port.context.buffers.used_bytes == 0

    run(scenario)
