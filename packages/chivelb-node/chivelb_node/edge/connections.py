"""Callers' connections, bounded in the time and size of request heads."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import http_exceptions
from aiohttp import web
from chivelb_core import codes

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.telemetry import logs

# A longer line ends the parser's work; the document's bound is tighter.
MAX_LINE_BYTES = 65_536
LINGER_S = 2.0
# Bytes that a header takes beside its name and value.
HEADER_EXTRA_BYTES = 4
_log = logs.get_logger("connections")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    Rule: a head that is not whole in time ends the connection, and so does
    one that can't be read; each with its answer, and nothing has run.

    Attributes:
        context: Aggregates of the instance.
    """

    __slots__ = ("context", "_head_timer", "_serving")

    def __init__(
        self,
        server: web.Server,
        *,
        context: context_lib.InstanceContext,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Creates a connection under the limits of the document in force."""
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            keepalive_timeout=context.document.limits.idle_timeout_s,
            lingering_time=LINGER_S,
        )
        self.context = context
        self._head_timer: asyncio.TimerHandle | None = None
        self._serving = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the timer with the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; the first ones of a head start its time."""
        if not self._serving and self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                self.context.document.limits.header_timeout_s, self._too_slow
            )
        super().data_received(data)

    def note_head(self) -> None:
        """Notes that a head is whole and its request is being served."""
        self._serving = True
        self._stop_timer()

    def note_end(self) -> None:
        """Notes that the request was answered."""
        self._serving = False

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _too_slow(self) -> None:
        self._head_timer = None
        if self._serving or self.transport is None:
            return
        limit_s = self.context.document.limits.header_timeout_s
        _log.warning("head too slow", after_s=limit_s)
        self.transport.write(
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers what can't be read, or what failed here, with a code."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun already") from exc
        code = _code_of(status, exc)
        if code is codes.INTERNAL:
            _log.error("request failed here", exc_info=exc)
        else:
            _log.warning("unreadable request", code=code.number, why=str(exc))
        response = responses.fault_response(
            codes.Fault(code), "", self.context.rng
        )
        response.force_close()
        return response


def _code_of(status: int, exc: BaseException | None) -> codes.ResultCode:
    if isinstance(exc, http_exceptions.LineTooLong):
        return codes.BAD_HEADERS
    if status == 400:
        return codes.UNREADABLE
    return codes.INTERNAL


def check_head(request: web.BaseRequest, max_bytes: int) -> None:
    """Bounds the size of a head.

    Raises:
        responses.CodedError: It is larger than ``max_bytes``.
    """
    size = len(request.raw_path) + sum(
        len(name) + len(value) + HEADER_EXTRA_BYTES
        for name, value in request.raw_headers
    )
    if size > max_bytes:
        raise responses.CodedError(
            codes.BAD_HEADERS, f"{size} bytes; at most {max_bytes} are taken"
        )


def make_factory(
    context: context_lib.InstanceContext, handler: Handler
) -> Callable[[], CallerConnection]:
    """Returns what creates a connection for each caller that connects."""
    loop = asyncio.get_running_loop()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        connection.note_head()
        try:
            return await handler(request)
        finally:
            connection.note_end()

    server = web.Server(serve, handler_cancellation=True, loop=loop)
    return lambda: CallerConnection(server, context=context, loop=loop)
