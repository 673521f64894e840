"""Pool of HTTP connections to targets."""

import asyncio
from collections.abc import Callable

from chivelb_core import response_budget
from chivelb_core import targets

from chivelb_node.links import http_connection

# A connection to a target of the region takes a few milliseconds. A lost packet
# is sent again only after a second, so that another connection is faster.
CONNECT_TIMEOUT_S = 0.3
# Default limit for a body that is kept until it is complete.
MAX_FETCHED_BYTES = 1_048_576
# What a fetched body may have in any case, however many are fetched at once.
MIN_FETCHED_BYTES = 65_536


class NotSentError(Exception):
    """No connection could be opened, so no byte of the request was sent."""


class Exchange:
    """One request on a connection and its response.

    Attributes:
        pool: Pool that the connection belongs to.
        connection: The connection.
        head: Head of the response; None until it was received.
        is_complete: Whether the whole body was read.
        may_come_again: Whether a copy of the response would be taken for the
            response to the next request, so that there must be none.
    """

    __slots__ = (
        "pool",
        "connection",
        "head",
        "is_complete",
        "may_come_again",
    )

    def __init__(
        self, pool: "HttpPool", connection: http_connection.Connection
    ) -> None:
        """Takes over a connection; ``close`` must be called exactly once."""
        self.pool = pool
        self.connection = connection
        self.head: http_connection.Head | None = None
        self.is_complete = False
        self.may_come_again = False

    async def start(
        self, is_response_to_request: Callable[[http_connection.Head], bool]
    ) -> http_connection.Head:
        """Waits for the head of the response; see ``Connection.read_head``."""
        self.head = await self.connection.read_head(is_response_to_request)
        return self.head

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end."""
        data = await self.connection.read()
        if not data:
            self.is_complete = True
        return data

    def close(self) -> None:
        """Returns the connection to the pool, or closes it if not reusable."""
        self.pool.release(self)


class HttpPool:
    """Connections to targets, opened on demand.

    Attributes:
        budget: Budget of what the responses buffer.
        idle: Idle connections by address, most recently used last.
        connections_opened: Number of connections opened so far.
    """

    def __init__(
        self, budget: response_budget.ResponseBudget | None = None
    ) -> None:
        """Creates an empty pool.

        Args:
            budget: Budget of what the responses buffer; None for one of its
                own.
        """
        self.budget = budget or response_budget.ResponseBudget()
        self.idle: dict[str, list[http_connection.Connection]] = {}
        self.connections_opened = 0

    async def send(
        self,
        address: str,
        data: bytes,
        *,
        request_id: str = "",
        new_connection: bool = False,
    ) -> Exchange:
        """Writes a request to an idle or a new connection.

        Args:
            address: ``host:port`` of the target.
            data: The complete request.
            request_id: Id that the response is known by; no connection is used
                that has carried a request with it.
            new_connection: Whether to open a new connection in any case.

        Raises:
            NotSentError: No connection could be opened.
        """
        connection = None
        if not new_connection:
            connection = self._take_idle(address, request_id)
        if connection is None:
            connection = await self._open(address)
        connection.in_use = True
        self.budget.in_progress += 1
        if request_id:
            connection.carried_ids.append(request_id)
        connection.write(data)
        return Exchange(self, connection)

    async def open_idle(self, address: str) -> None:
        """Opens a connection and keeps it for a later request.

        Raises:
            NotSentError: No connection could be opened.
        """
        connection = await self._open(address)
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(address, []).append(connection)

    def _take_idle(
        self, address: str, request_id: str
    ) -> http_connection.Connection | None:
        connections = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections.pop()
            is_recent = now - connection.idle_since < connection.idle_timeout_s
            is_known = request_id in connection.carried_ids
            if is_recent and not is_known and connection.is_clean():
                return connection
            connection.abort()
        return None

    async def _open(self, address: str) -> http_connection.Connection:
        loop = asyncio.get_running_loop()
        if not targets.is_address(address):
            raise NotSentError(f"{address!r} is not host:port")
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: http_connection.Connection(
                        address, loop, self.budget
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            # A host that is no name is a UnicodeError.
            detail = str(error) or type(error).__name__
            raise NotSentError(f"{address}: {detail}") from None
        self.connections_opened += 1
        return connection

    def release(self, exchange: Exchange) -> None:
        """Keeps the connection of an exchange if reusable, or closes it."""
        connection = exchange.connection
        connection.in_use = False
        self.budget.in_progress -= 1
        head = exchange.head
        if head is None or not exchange.is_complete:
            # The target must not get a request later that was given up.
            connection.reset()
            return
        if exchange.may_come_again or not connection.is_reusable(head):
            connection.abort()
            return
        connection.responses_read += 1
        connection.idle_timeout_s = head.idle_timeout_s
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(connection.address, []).append(connection)

    def close_expired(self) -> None:
        """Closes connections whose idle timeout has expired."""
        now = asyncio.get_running_loop().time()
        for address, connections in list(self.idle.items()):
            remaining = []
            for connection in connections:
                if connection.unusable or not connection.is_open:
                    continue
                if now - connection.idle_since < connection.idle_timeout_s:
                    remaining.append(connection)
                else:
                    connection.abort()
            if remaining:
                self.idle[address] = remaining
            else:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.abort()
        self.idle.clear()


async def fetch(
    pool: HttpPool,
    address: str,
    data: bytes,
    *,
    max_bytes: int = MAX_FETCHED_BYTES,
    alone: bool = False,
) -> tuple[int, bytes]:
    """Sends a request and returns the status and body of the response.

    Args:
        pool: Connections to use.
        address: ``host:port`` of the target.
        data: The complete request.
        max_bytes: Limit for the body, in bytes.
        alone: Whether the request has a connection of its own, so that its
            response, which has no id, can't be that to an earlier one.

    Raises:
        NotSentError: No connection could be opened.
        IncompleteResponseError: The response was malformed or incomplete.
        ResponseLimitError: The body is longer than ``max_bytes``.
    """
    exchange = await pool.send(address, data, new_connection=alone)
    exchange.may_come_again = alone
    try:
        head = await exchange.start(lambda head: True)
        body = await _read_limited(exchange, max_bytes, pool.budget)
    finally:
        exchange.close()
    return head.status, body


async def _read_limited(
    exchange: Exchange, max_bytes: int, budget: response_budget.ResponseBudget
) -> bytes:
    chunks = []
    buffered = response_budget.BufferedBytes(budget)
    try:
        while chunk := await exchange.read():
            buffered.set(buffered.size + len(chunk))
            if buffered.exceeds(max_bytes, min(max_bytes, MIN_FETCHED_BYTES)):
                raise http_connection.ResponseLimitError(
                    f"body of {buffered.size} bytes exceeds {max_bytes} bytes "
                    f"or its share of what responses may buffer"
                )
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        buffered.set(0)
