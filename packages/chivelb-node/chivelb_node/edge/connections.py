"""Caller connections with limits on the time and size of request heads."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web
from chivelb_core import codes

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.links import parser_errors
from chivelb_node.links import sockets
from chivelb_node.telemetry import logs

# Limit of the HTTP parser for one line of a request head, for callers of the
# platform package; ``server`` has that of ``chivelbd``. The limit for the
# whole head, ``max_header_bytes`` of the document, is lower by default.
MAX_LINE_BYTES = 65_536
# Time for which the rest of a request body is read after its response.
LINGER_S = 2.0
# Period of the checks for a caller that leaves while nothing is read from its
# connection.
PAUSED_CHECK_PERIOD_S = 0.2
# Separator and line end of a header: ": " and CRLF.
HEADER_OVERHEAD_BYTES = 4
_log = logs.get_logger("connections")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    A request head that is incomplete at its deadline or cannot be parsed
    closes the connection after an error response; the request is not run.

    Attributes:
        context: Shared state of the instance.
    """

    __slots__ = ("context", "_head_timer", "_paused_timer", "_serving")

    def __init__(
        self,
        server: web.Server,
        *,
        context: context_lib.InstanceContext,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Creates a connection with the limits of the document in force."""
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
        self._paused_timer: asyncio.TimerHandle | None = None
        self._serving = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timers."""
        self._stop_timer()
        if self._paused_timer is not None:
            self._paused_timer.cancel()
            self._paused_timer = None
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Ends the request in progress.

        The connection itself closes only after the bytes of its response that
        are still unsent.
        """
        self._cancel_request()

    def _cancel_request(self) -> None:
        if self._serving and self._task_handler is not None:
            self._task_handler.cancel()

    def _awaits_head(self) -> bool:
        """Returns whether no head is complete and no request in progress.

        The rest of a request body, which may come behind the response, belongs
        to the request.
        """
        # Set while the next request is awaited; done once its head is complete.
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    def data_received(self, data: bytes) -> None:
        """Parses data; the first bytes of a request head start its timer."""
        if self._head_timer is None and self._awaits_head():
            self._head_timer = asyncio.get_running_loop().call_later(
                self.context.document.limits.header_timeout_s,
                self._on_head_timeout,
            )
        super().data_received(data)
        self._check_while_paused()

    def _check_while_paused(self) -> None:
        """Starts the checks for a close that is not read, if reading paused."""
        if self._paused_timer is None and self._is_reading_paused():
            self._paused_timer = asyncio.get_running_loop().call_later(
                PAUSED_CHECK_PERIOD_S, self._on_paused_check
            )

    def _is_reading_paused(self) -> bool:
        return self.transport is not None and not self.transport.is_reading()

    def _on_paused_check(self) -> None:
        self._paused_timer = None
        if self._is_reading_paused() and sockets.is_closed_by_peer(
            self.transport
        ):
            self._cancel_request()
        self._check_while_paused()

    def mark_head_complete(self) -> None:
        """Records that a head is complete and its request is being served."""
        self._serving = True
        self._stop_timer()

    def mark_request_done(self) -> None:
        """Records that the request was answered."""
        self._serving = False

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        # After a pause of the process, the rest of the head is read first.
        if self.transport is None or not self._awaits_head():
            return
        limit_s = self.context.document.limits.header_timeout_s
        _log.warning("request head timed out", after_s=limit_s)
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
        """Answers an unparsable request or an internal failure with a code."""
        if request.writer.output_size > 0:
            raise ConnectionError("response already started") from exc
        code = _result_code(status, exc)
        if code is codes.INTERNAL:
            _log.error("unhandled error in request handler", exc_info=exc)
        else:
            _log.warning(
                "unparsable request",
                code=code.number,
                error="" if exc is None else parser_errors.describe(exc),
            )
        response = responses.error_response(
            codes.ErrorDetail(code), "", self.context.rng
        )
        response.force_close()
        return response


def _result_code(status: int, exc: BaseException | None) -> codes.ResultCode:
    if isinstance(exc, http_exceptions.LineTooLong):
        return codes.BAD_HEADERS
    if status == 400:
        return codes.UNREADABLE
    return codes.INTERNAL


def check_head_size(request: web.BaseRequest, max_bytes: int) -> None:
    """Checks the size of a request head.

    Raises:
        responses.RequestError: The head is larger than ``max_bytes``.
    """
    size = len(request.raw_path) + sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in request.raw_headers
    )
    if size > max_bytes:
        raise responses.RequestError(
            codes.BAD_HEADERS,
            f"{size} bytes exceed the limit of {max_bytes} bytes",
        )


def abort_response(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Closes a connection so that its response is seen as incomplete.

    A response with neither chunks nor a length ends with its connection, which
    is therefore reset.
    """
    if request.transport is None:
        return
    has_end = response.content_length is not None or response.chunked
    if not has_end and request.version < http.HttpVersion11:
        sockets.reset(request.transport)
    else:
        request.transport.abort()


def make_protocol_factory(
    context: context_lib.InstanceContext, handler: Handler
) -> Callable[[], CallerConnection]:
    """Returns a protocol factory for an asyncio server."""
    loop = asyncio.get_running_loop()

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        connection.mark_head_complete()
        try:
            return await handler(request)
        finally:
            connection.mark_request_done()

    server = web.Server(serve, handler_cancellation=True, loop=loop)
    context.list_transports = lambda: [c.transport for c in server.connections]
    return lambda: CallerConnection(server, context=context, loop=loop)
