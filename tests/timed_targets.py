"""A target that takes as long as each request says, and a caller for it.

The query of a request, ``after=S``, is the time in seconds after which the
target answers.
"""

import asyncio
import contextlib
import dataclasses
import json

HEAD_END = b"\r\n\r\n"


def _parse_head(head):
    """Returns the first line and the headers, with names in lower case."""
    first_line, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first_line, headers


class TimedTarget:
    """A target on loopback that records the ids of the requests it reads.

    Attributes:
        seen: Ids of the requests whose body was read.
        address: ``host:port``, while it serves.
    """

    def __init__(self):
        self.seen = set()
        self.address = ""

    @contextlib.asynccontextmanager
    async def serve(self, host="127.0.0.1"):
        server = await asyncio.start_server(self._serve, host, 0)
        name, port = server.sockets[0].getsockname()
        self.address = f"{name}:{port}"
        try:
            yield self
        finally:
            server.close()

    def heartbeat(self, service, sequence):
        """Returns the body of a heartbeat of the platform."""
        return json.dumps(
            {
                "Service": service,
                "Address": self.address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 64,
                "State": "ready",
                "Sequence": sequence,
            }
        ).encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                first_line, headers = _parse_head(head)
                await reader.readexactly(int(headers.get("content-length", 0)))
                request_id = headers.get("x-request-id", "")
                self.seen.add(request_id)
                after_s = float(first_line.split()[1].partition("after=")[2])
                await asyncio.sleep(after_s)
                body = request_id.encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Response-Seal: 1.2.3\r\n"
                    b"X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
                    % (body, len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got for a whole request.

    Attributes:
        request_id: Id of the request.
        sent_at: Loop time at which its last byte was sent, in seconds.
        ended_at: Loop time of the end of the answer, in seconds.
        status: Status of a whole answer, or None if there was none.
        closes: Whether the answer says that its connection closes.
    """

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    closes: bool = False


class TimedCaller:
    """One connection of a caller, kept open for many requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host, port):
        return cls(*await asyncio.open_connection(host, port))

    def close(self):
        self.writer.close()

    async def send(self, request_id, after_s, *, pause_s=0.0, path="/u/"):
        """Sends a request and returns its ``Answer``.

        Args:
            request_id: Id of the request.
            after_s: Time after which the target answers, in seconds.
            pause_s: Pause in the middle of the request's body, in seconds.
            path: Path of the request.
        """
        loop = asyncio.get_running_loop()
        self.writer.write(
            f"POST {path}?after={after_s} HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: 2\r\n\r\na".encode()
        )
        await asyncio.sleep(pause_s)
        answer = Answer(request_id, loop.time())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.writer.write(b"b")
            head = await self.reader.readuntil(HEAD_END)
            first_line, headers = _parse_head(head)
            await self.reader.readexactly(int(headers["content-length"]))
            answer.status = int(first_line.split()[1])
            answer.closes = headers.get("connection", "").lower() == "close"
        answer.ended_at = loop.time()
        return answer
