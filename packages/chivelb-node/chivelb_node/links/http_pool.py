"""Pooled HTTP connections to targets that pass bytes on as they come.

Heads and bodies are parsed by aiohttp; requests are written as they are
given. A connection is used again only after a whole answer and while it has
been silent since, so that bytes beyond an answer never reach another one.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import socket

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams

CONNECT_TIMEOUT_S = 1.0
# Unacknowledged bytes end a connection whose path has gone silent.
USER_TIMEOUT_MS = 1_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_IDLE_S = 4.0
MAX_HEAD_BYTES = 32_768
READ_BUFFER_BYTES = 262_144

RawHeaders = tuple[tuple[bytes, bytes], ...]


class NotSentError(Exception):
    """No byte of the request has left this instance."""


class BrokenAnswerError(Exception):
    """The connection ended or garbled before the answer was complete."""


@dataclasses.dataclass(slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
        status: HTTP status.
        headers: Headers as they came.
        close: Whether the target closes the connection after it.
        idle_s: Time that the target keeps an idle connection, in seconds.
    """

    status: int
    headers: RawHeaders
    close: bool
    idle_s: float

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header of a lower-case name."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Connection(base_protocol.BaseProtocol):
    """One connection to a target.

    Attributes:
        key: Address of the target.
        idle_since: Loop time when its last answer was complete.
        idle_s: Time that it may be idle, in seconds.
        served: Number of answers read from it.
        in_use: Whether a request is in progress.
        spoiled: Whether it must not be used again.
    """

    def __init__(self, key: str, loop: asyncio.AbstractEventLoop) -> None:
        """Creates a connection that is not open yet."""
        super().__init__(loop)
        self.key = key
        self.idle_since = 0.0
        self.idle_s = MAX_IDLE_S
        self.served = 0
        self.in_use = False
        self.spoiled = False
        self._answers: list[tuple[Head, streams.StreamReader]] = []
        self._payload: streams.StreamReader | None = None
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._parser = self._new_parser()

    def _new_parser(self) -> http.HttpResponseParser:
        return http.HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=BrokenAnswerError,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport) -> None:
        """Sets the socket's options; called by asyncio."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        )
        for level, option, value in options:
            sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parses what came; called by asyncio."""
        if self._error is not None:
            return
        if not self.in_use and data:
            # Bytes that no request asked for.
            self.spoiled = True
            self.abort()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._fail(BrokenAnswerError(f"no HTTP answer: {error}"))
            self.abort()
            return
        for message, payload in messages:
            if message.code >= 200:
                self._answers.append((_head(message), payload))
        if messages and self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def eof_received(self) -> None:
        """Lets the transport close; called by asyncio."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends what is in progress; called by asyncio."""
        super().connection_lost(exc)
        self.spoiled = True
        if exc is None and self._error is None:
            try:
                # An answer without a length ends with its connection.
                self._parser.feed_eof()
            except (BrokenAnswerError, http_exceptions.HttpProcessingError):
                pass
        self._fail(BrokenAnswerError(f"connection lost: {exc or 'closed'}"))

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        for _, payload in self._answers:
            _set_error(payload, error)
        if self._payload is not None:
            _set_error(self._payload, error)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def abort(self) -> None:
        """Closes at once; the target sees a reset or an early end."""
        self.spoiled = True
        if self.transport is not None:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Writes a whole request."""
        self.transport.write(data)

    async def next_head(self, accepts: Callable[[Head], bool]) -> Head:
        """Waits for the head of the answer to the request in progress.

        Args:
            accepts: Tells whether an answer belongs to the request; others
                are dropped with their bodies.

        Raises:
            BrokenAnswerError: The connection ended before it.
        """
        while True:
            while not self._answers:
                if self._error is not None:
                    raise self._error
                self._waiter = self._loop.create_future()
                await self._waiter
            head, payload = self._answers.pop(0)
            self._payload = payload
            if accepts(head):
                return head
            while await self.read():
                pass

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
            BrokenAnswerError: The connection ended before the body did.
        """
        data = await self._payload.readany()
        return data

    def is_reusable(self, head: Head) -> bool:
        """Tells whether another request may follow a whole answer."""
        return (
            self.is_open
            and not self.spoiled
            and not head.close
            and not self._answers
            and self._payload is not None
            and self._payload.is_eof()
            and self.transport.get_write_buffer_size() == 0
        )


def _set_error(payload: streams.StreamReader, error: Exception) -> None:
    if not payload.is_eof() and payload.exception() is None:
        payload.set_exception(error)


def _head(message) -> Head:
    idle_s = MAX_IDLE_S
    for name, value in message.raw_headers:
        if name.lower() == b"keep-alive":
            idle_s = min(idle_s, _idle_limit(value))
    return Head(
        message.code, message.raw_headers, bool(message.should_close), idle_s
    )


def _idle_limit(value: bytes) -> float:
    """Returns half of the timeout in a Keep-Alive header, in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return int(number) / 2
    return MAX_IDLE_S


class Exchange:
    """One request on a connection and its answer.

    Attributes:
        connection: The connection.
        head: Head of the answer, once it came.
        finished: Whether the whole body was read.
    """

    __slots__ = ("pool", "connection", "head", "finished")

    def __init__(self, pool: "HttpPool", connection: Connection) -> None:
        """Takes a connection over; ``close`` must be called once."""
        self.pool = pool
        self.connection = connection
        self.head: Head | None = None
        self.finished = False

    async def start(self, accepts: Callable[[Head], bool]) -> Head:
        """Waits for the answer's head; see ``Connection.next_head``."""
        self.head = await self.connection.next_head(accepts)
        return self.head

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end."""
        data = await self.connection.read()
        if not data:
            self.finished = True
        return data

    def close(self) -> None:
        """Gives the connection back, or ends it if an answer is missing."""
        self.pool.release(self)


class HttpPool:
    """Connections to targets, opened when needed.

    Attributes:
        idle: Idle connections by address, newest last.
        opened: Number of connections that were opened.
    """

    def __init__(self) -> None:
        """Creates a pool without connections."""
        self.idle: dict[str, list[Connection]] = {}
        self.opened = 0

    async def send(
        self, address: str, data: bytes, *, fresh: bool = False
    ) -> Exchange:
        """Writes a request on an idle or a new connection.

        Args:
            address: ``host:port`` of the target.
            data: The whole request.
            fresh: Whether to use a new connection.

        Raises:
            NotSentError: No connection could be opened.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._open(address)
        connection.in_use = True
        connection.write(data)
        return Exchange(self, connection)

    def _take_idle(self, address: str) -> Connection | None:
        connections = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections.pop()
            if connection.spoiled or not connection.is_open:
                continue
            if now - connection.idle_since < connection.idle_s:
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> Connection:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(address, loop), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            raise NotSentError(f"{address}: {detail}") from None
        self.opened += 1
        return connection

    def release(self, exchange: Exchange) -> None:
        """Takes a connection back after an exchange."""
        connection = exchange.connection
        connection.in_use = False
        head = exchange.head
        if (
            head is None
            or not exchange.finished
            or not connection.is_reusable(head)
        ):
            connection.abort()
            return
        connection.served += 1
        connection.idle_s = head.idle_s
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(connection.key, []).append(connection)

    def sweep(self) -> None:
        """Closes connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, connections in list(self.idle.items()):
            kept = []
            for connection in connections:
                if connection.spoiled or not connection.is_open:
                    continue
                if now - connection.idle_since < connection.idle_s:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self.idle[address] = kept
            else:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.abort()
        self.idle.clear()


async def fetch(pool: HttpPool, address: str, data: bytes) -> tuple[int, bytes]:
    """Sends a request and returns status and whole body of its answer.

    Args:
        pool: Connections to use.
        address: ``host:port``.
        data: The whole request.

    Raises:
        NotSentError: No connection could be opened.
        BrokenAnswerError: The answer broke off.
    """
    exchange = await pool.send(address, data)
    try:
        head = await exchange.start(lambda head: True)
        chunks = []
        while chunk := await exchange.read():
            chunks.append(chunk)
    finally:
        exchange.close()
    return head.status, b"".join(chunks)
