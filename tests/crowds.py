"""Crowds of clients that exceed the limits, and what a process holds for them.

A crowd has a fixed number of clients, each of which sends a fixed number of
bytes at most and then stays open. Nothing is asserted about how long it takes.
"""

import asyncio
import contextlib
import os
import pathlib
import socket

# A client that could send nothing for this time waits for its server: it stays
# open as it is.
SETTLED_S = 3.0
# A test whose crowd does not settle fails after this time.
GIVE_UP_S = 90.0
SAMPLE_PERIOD_S = 0.02
PIECE_BYTES = 65_536
KIB = 1_024
MIB = 1_048_576


def endless(data, total_bytes):
    """Yields pieces of repeated data, ``total_bytes`` in all."""
    piece = data * max(1, PIECE_BYTES // len(data))
    sent = 0
    while sent < total_bytes:
        yield piece
        sent += len(piece)


def unfinished_head(line_bytes, lines):
    """Yields a request head that lacks its end."""
    yield b"GET /a/x HTTP/1.1\r\nHost: h.example\r\n"
    for number in range(lines):
        yield b"X-%d: " % number + b"v" * line_bytes + b"\r\n"


def post_head(path, *headers):
    lines = [b"POST " + path + b" HTTP/1.1", b"Host: h.example", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def unfinished_body(head, body_bytes):
    """Yields a request that announces a body and sends all but a byte of it."""
    yield head[:-2] + b"Content-Length: %d\r\n\r\n" % body_bytes
    rest = body_bytes - 1
    while rest > 0:
        size = min(PIECE_BYTES, rest)
        yield b"b" * size
        rest -= size


def complete_body(head, body_bytes):
    """Yields a request with its whole body."""
    yield from unfinished_body(head, body_bytes)
    yield b"b"


def unfinished_chunks(head, body_bytes, chunk_bytes):
    """Yields a chunked request that lacks its last chunk."""
    yield head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    yield from endless(chunk, body_bytes // chunk_bytes * len(chunk))


def endless_chunks(head, total_bytes):
    """Yields a chunked request whose body goes on far beyond any limit."""
    yield from unfinished_chunks(head, total_bytes, 16 * KIB)


def oversized_body(head, total_bytes):
    """Yields a request that announces a body beyond any limit, and sends it."""
    yield head[:-2] + b"Content-Length: 1000000000000\r\n\r\n"
    yield from endless(b"b", total_bytes)


class Client:
    """One client of a crowd.

    Attributes:
        address: Host and port of the server.
        pieces: What it sends.
        reads: Whether it reads what the server sends.
        has_sent_all: Whether the server, or its socket buffer, took all.
        is_closed: Whether the server has closed or refused the connection.
        sent_bytes: Bytes sent so far.
    """

    def __init__(self, address, pieces, *, reads=True):
        self.address = address
        self.pieces = pieces
        self.reads = reads
        self.has_sent_all = False
        self.is_closed = False
        self.sent_bytes = 0
        self.writer = None

    async def run(self):
        try:
            await self._open()
            for piece in self.pieces:
                self.writer.write(piece)
                await self.writer.drain()
                if self.writer.transport.is_closing():
                    raise ConnectionError
                self.sent_bytes += len(piece)
            self.has_sent_all = True
        except OSError:
            self.is_closed = True

    async def _open(self):
        sock = socket.socket()
        sock.setblocking(False)
        if not self.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.address)
        reader, self.writer = await asyncio.open_connection(sock=sock)
        self.writer.transport.set_write_buffer_limits(0)
        if self.reads:
            self.reading = asyncio.create_task(self._discard(reader))
        else:
            self.writer.transport.pause_reading()

    async def _discard(self, reader):
        with contextlib.suppress(OSError):
            while await reader.read(PIECE_BYTES):
                pass
        self.is_closed = True

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


class Crowd:
    """Clients that run together and stay open until the crowd is left."""

    def __init__(self, clients):
        self.clients = list(clients)

    async def __aenter__(self):
        tasks = [asyncio.create_task(c.run()) for c in self.clients]
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await self._settle(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return self

    async def _settle(self, tasks):
        """Waits until no client is connecting, sending or being answered."""
        sent, seen_at = -1, 0.0
        loop = asyncio.get_running_loop()
        while not all(task.done() for task in tasks):
            now_sent = sum(c.sent_bytes for c in self.clients) + sum(
                c.writer is not None for c in self.clients
            )
            if now_sent != sent:
                sent, seen_at = now_sent, loop.time()
            elif loop.time() - seen_at > SETTLED_S:
                return
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def __aexit__(self, *_):
        for client in self.clients:
            client.close()
        await asyncio.sleep(0)


class Watch:
    """Samples the memory and descriptors of a process while a crowd is there.

    Attributes:
        pid: Id of the process.
        peak_fds: Most descriptors that were open at a time.
    """

    def __init__(self, pid):
        self.pid = pid
        self.peak_fds = 0
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._sample())
        return self

    async def _sample(self):
        while True:
            self._count()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _count(self):
        with contextlib.suppress(OSError):
            fds = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.peak_fds = max(self.peak_fds, fds)

    async def __aexit__(self, *_):
        self._count()
        self._task.cancel()

    @property
    def is_alive(self):
        try:
            status = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        except OSError:
            return False
        return status.rpartition(")")[2].split()[0] != "Z"

    def peak_mb(self):
        """Returns the largest resident memory so far, in MB."""
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in text.splitlines())
        return int(fields["VmHWM"].split()[0]) * KIB / 1e6


class StubTarget:
    """A target that answers each request, or never reads its body.

    Attributes:
        body_bytes: Length of the bodies that it answers with.
        reads: Whether it reads requests.
        delay_s: Time until it answers, in seconds.
    """

    def __init__(self, *, body_bytes=2, reads=True, delay_s=0.0):
        self.body_bytes = body_bytes
        self.delay_s = delay_s
        self.reads = reads

    @contextlib.asynccontextmanager
    async def serve(self, host):
        sock = socket.socket()
        if not self.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        sock.bind((host, 0))
        server = await asyncio.start_server(self._accept, sock=sock)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()

    async def _accept(self, reader, writer):
        try:
            if not self.reads:
                writer.transport.pause_reading()
                await asyncio.sleep(GIVE_UP_S)
            while True:
                await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size, echoed = 0, b""
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
            if name.lower() == b"x-request-id":
                echoed = line + b"\r\n"
        await reader.readexactly(size)
        await asyncio.sleep(self.delay_s)
        writer.write(
            b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n"
            % (echoed, self.body_bytes)
        )
        for piece in range(0, self.body_bytes, PIECE_BYTES):
            writer.write(b"r" * min(PIECE_BYTES, self.body_bytes - piece))
            await writer.drain()
