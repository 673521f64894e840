"""Connections of clients, with limits on what they make a process keep."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from chivelb_core import codes
from chivelb_core.forwarding import retry_delay

from chivelb_node import context as context_lib
from chivelb_node.edge import port_limits
from chivelb_node.edge import responses
from chivelb_node.links import parser_errors
from chivelb_node.links import sockets
from chivelb_node.telemetry import logs

# Limit of the HTTP parser for one line of a request head, for callers of the
# platform package; ``server`` has that of ``chivelbd``. The limit for the
# whole head, ``max_header_bytes`` of the document, is lower by default.
MAX_LINE_BYTES = 65_536
# Bytes that are read from a connection at a time, and half of those that are
# buffered while a body is not read.
READ_BYTES = 65_536
# Bytes of a head besides those that ``check_head_size`` counts: method,
# version and line ends.
HEAD_SLACK_BYTES = 1_024
# Limit for bytes of a body in reception that bring no byte of the body: chunk
# extensions and trailers. Bytes that arrive together are counted together.
MAX_FRAMING_BYTES = 65_536
# Requests that are read ahead of the one in progress.
MAX_PIPELINED = 2
# Time for which the rest of a request body is read after its response, or the
# rest of a head that is too large.
LINGER_S = 2.0
# Bytes of such a head that are discarded. A close before they are read would
# reset the connection, and with it the response.
MAX_DISCARDED_BYTES = 262_144
# Period of the checks for a caller that leaves while nothing is read from its
# connection.
PAUSED_CHECK_PERIOD_S = 0.2
# Separator and line end of a header: ": " and CRLF.
HEADER_OVERHEAD_BYTES = 4
_log = logs.get_logger("connections")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """One connection of a caller, a target, an operator or a monitor.

    A request head that is incomplete at its deadline, too large or cannot be
    parsed closes the connection after an error response; the request is not
    run.

    Attributes:
        limits: Limits of the port.
    """

    __slots__ = (
        "limits",
        "_head_timer",
        "_paused_timer",
        "_serving",
        "_responding",
        "_incoming",
        "_unparsed_bytes",
        "_framing_bytes",
        "_is_held_back",
        "_discards",
        "_serve_request",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        limits: port_limits.PortLimits,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Creates a connection with the limits of the document in force.

        Args:
            server: The server that the connection belongs to.
            limits: Limits of the port.
            loop: The event loop.
            **options: Other options of the parser and of idle connections
                than those of a caller's connection.
        """
        values = {
            "auto_decompress": False,
            "max_line_size": MAX_LINE_BYTES,
            "max_field_size": MAX_LINE_BYTES,
            "keepalive_timeout": limits.get_limits().idle_timeout_s,
        }
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            read_bufsize=READ_BYTES,
            lingering_time=LINGER_S,
            **{**values, **options},
        )
        self.limits = limits
        self._max_msg_queue_size = MAX_PIPELINED
        self._msg_queue_resume_size = MAX_PIPELINED - 1
        self._head_timer: asyncio.TimerHandle | None = None
        self._paused_timer: asyncio.TimerHandle | None = None
        self._serving = False
        # Whether a request is in progress, or its response is being sent.
        self._responding = False
        # Body of the newest request, which the parser fills.
        self._incoming: streams.StreamReader | None = None
        # Bytes since the last complete head or body.
        self._unparsed_bytes = 0
        # Bytes of a body in reception since its last progress.
        self._framing_bytes = 0
        # Whether reading paused until the response is sent.
        self._is_held_back = False
        # Whether a head was refused, and what still comes of it is discarded.
        self._discards = False
        self._serve_request = server.request_handler
        self._request_handler = self._serve

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.mark_head_complete()
        try:
            return await self._serve_request(request)
        finally:
            self.mark_request_done()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the connection, or closes it if there are too many."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES
        sockets.set_user_timeout(transport, self.limits.unread_response_s)
        if not self.limits.admit(self):
            self._refuse(
                codes.BUFFERS_FULL,
                "connections",
                f"over {self.limits.max_connections} connections",
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timers."""
        if self._manager is not None:
            self.limits.remove(self)
        self._release_unparsed()
        self._stop_timer()
        if self._paused_timer is not None:
            self._paused_timer.cancel()
            self._paused_timer = None
        super().connection_lost(exc)

    def is_idle(self) -> bool:
        """Returns whether it waits for a request, with no answer unsent."""
        return (
            self._awaits_head()
            and self.transport is not None
            and self.transport.get_write_buffer_size() == 0
        )

    def evict(self) -> None:
        """Closes it in favour of another connection."""
        self.force_close()

    def eof_received(self) -> None:
        """Ends the request in progress.

        The connection itself closes only after the bytes of its response that
        are still unsent.
        """
        self._cancel_request()

    def _cancel_request(self) -> None:
        if (
            self._serving
            and self._task_handler is not None
            and self._manager is not None
            and self._manager.handler_cancellation
        ):
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
        """Parses data; the first bytes of a request head start its timer.

        Without data, it goes on with what the parser has held back.
        """
        if self._discards:
            self._discard(len(data))
            return
        if self._force_close or self._close:
            return
        if data and self._head_timer is None and self._awaits_head():
            self._start_head_timer()
        body = self._incoming
        if body is not None and body.is_eof():
            body = None
        received = 0 if body is None else body.total_bytes
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests and self._messages:
            if body is not None and not body.is_eof():
                self._end_unparsable(body)
            self._incoming = self._messages[-1][1]
            self._framing_bytes = 0
            self._release_unparsed()
        elif body is None:
            self._hold_unparsed(len(data))
        elif body.total_bytes == received and not body.is_eof():
            self._count_framing(len(data))
        else:
            self._framing_bytes = 0
        self._check_while_paused()

    def _hold_unparsed(self, size: int) -> None:
        """Limits bytes that are part of no complete request."""
        if not size:
            return
        self._unparsed_bytes += size
        self.limits.buffers.add(size)
        if self._responding:
            self._is_held_back = True
            self._pause_reading_for_buffer()
            return
        limit = self.limits.get_limits().max_header_bytes + HEAD_SLACK_BYTES
        if self._unparsed_bytes > limit:
            self._refuse(
                codes.BAD_HEADERS,
                "head_bytes",
                f"head of over {limit} bytes",
                is_sending=True,
            )
        elif self.limits.buffers.is_exhausted:
            self._refuse(codes.BUFFERS_FULL, "buffers", "incomplete head")

    def _end_unparsable(self, body: streams.StreamReader) -> None:
        """Ends a body whose rest can't be parsed; what follows is discarded."""
        body.set_exception(web.RequestPayloadError("body can't be parsed"))
        body.feed_eof()
        self._discards = True
        self._framing_bytes = 0

    def _discard(self, size: int) -> None:
        self._framing_bytes += size
        if self._framing_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def _count_framing(self, size: int) -> None:
        self._framing_bytes += size
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self.record_refusal(
                "framing_bytes",
                f"over {MAX_FRAMING_BYTES} bytes without a byte of the body",
            )
            self.transport.abort()

    def _release_unparsed(self) -> None:
        if self._unparsed_bytes:
            self.limits.buffers.release(self._unparsed_bytes)
            self._unparsed_bytes = 0

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response; its unsent body is part of the budget."""
        body = getattr(resp, "body", None)
        size = len(body) if isinstance(body, bytes) else 0
        buffers = self.limits.buffers
        buffers.add(size)
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            buffers.release(size)
            self._end_response()

    def _end_response(self) -> None:
        self._responding = False
        if self.transport is None:
            return
        self.limits.mark_idle(self)
        if self._is_held_back:
            self._is_held_back = False
            self._start_head_timer()
            self._resume_reading_if_drained()

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
        self._responding = True
        self.limits.mark_busy(self)
        self._stop_timer()

    def mark_request_done(self) -> None:
        """Records that the request was answered."""
        self._serving = False

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                self.limits.get_limits().header_timeout_s,
                self._on_head_timeout,
            )

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        # After a pause of the process, the rest of the head is read first.
        if self.transport is None or not self._awaits_head():
            return
        limit_s = self.limits.get_limits().header_timeout_s
        self.record_refusal("head_time", f"incomplete after {limit_s} s")
        self.transport.write(
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.force_close()

    def _refuse(
        self,
        code: codes.ResultCode,
        reason: str,
        detail: str,
        *,
        is_sending: bool = False,
    ) -> None:
        """Answers that nothing was run, and closes.

        Args:
            code: Result code of the response.
            reason: Name of the limit.
            detail: What exceeded it.
            is_sending: Whether the client is sending more.
        """
        self.record_refusal(reason, detail)
        if self.transport is None:
            return
        body = responses.error_body(codes.ErrorDetail(code, detail), "")
        lines = [
            f"HTTP/1.1 {code.status} {http.RESPONSES[code.status][0]}",
            f"X-Result-Code: {code.number}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if code.retry is codes.RetryAdvice.LATER:
            retry_s = retry_delay.retry_delay_s(code, self.limits.rng)
            lines.append(f"Retry-After: {retry_s}")
        head = "\r\n".join([*lines, "", ""])
        self.transport.write(head.encode() + body)
        if not is_sending:
            self.force_close()
            return
        self._discards = True
        self._framing_bytes = 0
        self.transport.write_eof()
        self._stop_timer()
        self._head_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.force_close
        )

    def record_refusal(self, reason: str, detail: str) -> None:
        """Counts a refusal; see ``PortLimits.record_refusal``."""
        peer = self.peername
        source = str(peer[0]) if isinstance(peer, tuple) else ""
        self.limits.record_refusal(source, reason, detail)

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
            codes.ErrorDetail(code), "", self.limits.rng
        )
        response.force_close()
        return response


def _result_code(status: int, exc: BaseException | None) -> codes.ResultCode:
    if isinstance(exc, http_exceptions.LineTooLong):
        return codes.BAD_HEADERS
    if status == 400:
        return codes.UNREADABLE
    return codes.INTERNAL


def check_head_size(request: web.BaseRequest, max_bytes: int) -> int:
    """Checks the size of a request head, and returns it in bytes.

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
    return size


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
    """Returns a protocol factory for connections of callers.

    A request ends when its caller leaves.
    """
    server = web.Server(
        handler,
        handler_cancellation=True,
        loop=asyncio.get_running_loop(),
    )
    context.list_transports = lambda: [c.transport for c in server.connections]
    limits = port_limits.make_port_limits(context, "callers")
    return limit_server(server, limits)


def limit_server(
    server: web.Server, limits: port_limits.PortLimits, **options: Any
) -> Callable[[], CallerConnection]:
    """Returns a protocol factory for a server whose connections are limited.

    Args:
        server: The server.
        limits: Limits of the port.
        **options: See ``CallerConnection``.
    """
    loop = asyncio.get_running_loop()
    return lambda: CallerConnection(server, limits=limits, loop=loop, **options)
