"""A target whose responses a test specifies byte by byte."""

import asyncio
import contextlib
import socket
import struct

RESET = object()
CLOSE = object()
# An endless step closes the connection after this, so that a test of a reader
# without a limit ends too. Sent bytes include what waits in socket buffers.
ENDLESS_CAP_BYTES = 16 << 20
ENDLESS_PIECE_BYTES = 1 << 16


class Endless:
    """A step that sends bytes again and again until the peer closes.

    Attributes:
        data: Bytes to repeat.
        cap_bytes: Bytes after which it gives up.
        sent_bytes: Bytes that the peer or its socket buffer has accepted.
        ended: Set when the step has ended, by the peer or at the cap.
    """

    def __init__(self, data, cap_bytes=ENDLESS_CAP_BYTES):
        self.data = data * max(1, ENDLESS_PIECE_BYTES // len(data))
        self.cap_bytes = cap_bytes
        self.sent_bytes = 0
        self.ended = asyncio.Event()

    async def send(self, writer):
        writer.transport.set_write_buffer_limits(0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, ENDLESS_PIECE_BYTES
        )
        try:
            while self.sent_bytes < self.cap_bytes:
                writer.write(self.data)
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionError
                self.sent_bytes += len(self.data)
            writer.transport.abort()
            raise ConnectionError
        finally:
            self.ended.set()


class ScriptedTarget:
    """Answers each request on a connection with the next script.

    A script is a list of bytes to send, delays in seconds, ``Endless`` bytes,
    and ``RESET`` or ``CLOSE`` to end the connection.

    Attributes:
        scripts: Remaining scripts, in order.
        requests: Received requests, in order over all connections.
        port: Port that it listens on.
        connections: Number of accepted connections.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.port = 0
        self.connections = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()

    async def _accept(self, reader, writer):
        self.connections += 1
        try:
            await self._answer_all(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            # Also if the test ends first: a writer that is left open is
            # finalized in the middle of another test.
            writer.close()

    async def _answer_all(self, reader, writer):
        while self.scripts:
            self.requests.append(await self._read(reader))
            await self._send_script(writer, self.scripts.pop(0))
        await reader.read()

    async def _read(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        return head + await reader.readexactly(size)

    async def _send_script(self, writer, script):
        for step in script:
            if step is RESET:
                # With a linger time of zero, closing sends a TCP reset.
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                raise ConnectionError
            if step is CLOSE:
                writer.close()
                raise ConnectionError
            if isinstance(step, Endless):
                await step.send(writer)
            elif isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)


def answer(body=b"hello", status=200, **headers):
    """Returns a response with a ``Content-Length``."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream(*events, **headers):
    """Returns the steps of a chunked stream, without the last chunk."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *(f"{n.replace('_', '-')}: {v}" for n, v in headers.items()),
    ]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return [head, *(chunk(event) for event in events)]


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


END = b"0\r\n\r\n"
