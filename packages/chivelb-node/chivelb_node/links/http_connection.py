"""A connection to a target, whose responses are parsed by aiohttp.

Bodies are streamed without decoding; requests are written as given. A
connection is reused only if all bytes received belong to the complete response
to its request, and each request has a parser of its own, so that bytes are
never read as part of the response to another request.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
from chivelb_core import decimals
from chivelb_core import response_budget

from chivelb_node.links import parser_errors
from chivelb_node.links import second_responses
from chivelb_node.links import sockets
from chivelb_node.telemetry import logs

# A connection is closed if sent bytes stay unacknowledged for this long, so
# that an unreachable target is detected without a TCP reset. It also decides
# when keep-alive gives up, whatever the number of probes, and is longer than
# the wait for the first probe, a silence of a sound target, and one interval.
USER_TIMEOUT_MS = 4_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_IDLE_S = 4.0
# Limit for one line of a response head.
MAX_LINE_BYTES = 32_768
# Limit for received bytes that are followed by neither the end of a response
# head nor a byte of a body: a head with the interim responses before it, or
# what frames a body. Bytes that arrive together are counted together.
MAX_OVERHEAD_BYTES = 65_536
# Limit for bytes received before the head of the response to a request:
# responses to other requests, which are discarded. What arrives together with
# the head counts too, up to the buffer of a response.
MAX_BYTES_BEFORE_RESPONSE = 262_144
READ_BUFFER_BYTES = 65_536
# Of these limits, what each response may use in any case.
MIN_OVERHEAD_BYTES = 16_384
MIN_READ_BUFFER_BYTES = 4_096
# Ids of the newest requests that a connection has carried.
MAX_CARRIED_IDS = 64

HEAD_END = b"\r\n\r\n"
# Read as it is by a parser that holds no part of another response.
BOUNDARY_RESPONSE = b"HTTP/1.1 299 boundary\r\nContent-Length: 0\r\n\r\n"
BOUNDARY_HEAD = (299, "boundary", ((b"Content-Length", b"0"),))
_log = logs.get_logger("target-connections")

RawHeaders = tuple[tuple[bytes, bytes], ...]


class IncompleteResponseError(Exception):
    """The response was malformed, or its connection closed too early."""


@dataclasses.dataclass(slots=True)
class Head:
    """Status line and headers of a response.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        should_close: Whether the target closes the connection afterwards.
        idle_timeout_s: Time for which the connection may be kept idle, in
            seconds.
    """

    status: int
    headers: RawHeaders
    should_close: bool
    idle_timeout_s: float

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name, ignoring case.

        Args:
            name: Name of the header, in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ResponseLimitError(IncompleteResponseError):
    """The response exceeded a limit in bytes, so its connection was closed."""


class Connection(base_protocol.BaseProtocol):
    """One connection to a target.

    Attributes:
        address: ``host:port`` of the target.
        idle_since: Loop time at which the last response was complete.
        idle_timeout_s: Time for which it may stay idle, in seconds.
        responses_read: Number of responses read from it.
        in_use: Whether a request is in progress.
        unusable: Whether it must not be reused.
        carried_ids: Ids of the newest requests; a late response to one of them
            would be taken for the response to another request with its id.
    """

    def __init__(
        self,
        address: str,
        loop: asyncio.AbstractEventLoop,
        budget: response_budget.ResponseBudget,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            address: ``host:port`` of the target.
            loop: The event loop.
            budget: Budget of what responses buffer.
        """
        super().__init__(loop)
        # What was received of the response in progress and not read yet.
        self._buffered = response_budget.BufferedBytes(budget)
        self.address = address
        self.idle_since = 0.0
        self.idle_timeout_s = MAX_IDLE_S
        self.responses_read = 0
        self.in_use = False
        self.unusable = False
        self.carried_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_IDS
        )
        self._responses: list[tuple[Head, streams.StreamReader]] = []
        self._body: streams.StreamReader | None = None
        self._body_bytes_read = 0
        # Body that the parser fills, and bytes received without progress.
        self._incoming_body: streams.StreamReader | None = None
        self._overhead_bytes = 0
        # Number of response heads since the request, with interim ones behind
        # the first; whether the response to the request was found, and bytes
        # before that.
        self._heads_received = 0
        self._has_response = False
        self._bytes_before_response = 0
        # These bytes, and where the head behind the last one may begin in them.
        self._unanswered: list[bytes] = []
        self._next_head_start = 0
        self._head_waiter: asyncio.Future | None = None
        # Whether a response belongs to the request; None if none is awaited.
        self._is_expected: Callable[[Head], bool] | None = None
        self._error: Exception | None = None
        # Whether the target has closed its side.
        self._peer_closed = False
        self._reads_bodies = True
        # Of a body with a length; None for others.
        self._body_search: second_responses.StatusLineSearch | None = None
        self._quotes_status_line = False
        self._parser = self._new_parser()

    def _new_parser(self) -> http.HttpResponseParser:
        return http.HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=IncompleteResponseError,
            read_until_eof=True,
            response_with_body=self._reads_bodies,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport) -> None:
        """Sets the socket options; called by asyncio."""
        super().connection_made(transport)
        transport.max_size = READ_BUFFER_BYTES
        sockets.set_keepalive(
            transport.get_extra_info("socket"),
            idle_s=KEEPALIVE_IDLE_S,
            interval_s=KEEPALIVE_INTERVAL_S,
            probes=KEEPALIVE_PROBES,
            user_timeout_ms=USER_TIMEOUT_MS,
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; called by asyncio."""
        if self._error is not None:
            return
        if data and not self._expects_bytes():
            # Bytes that belong to no request. A body that was received
            # completely can still be read.
            self._log_surplus("response in progress" if self.in_use else "idle")
            self.abort()
            return
        body_bytes = self._incoming_body_bytes()
        try:
            messages, has_upgraded, _ = self._parser.feed_data(data)
        except http_exceptions.HttpProcessingError as error:
            self._responses.extend(self._complete_responses(data))
            self._end(
                IncompleteResponseError(
                    f"invalid HTTP response: {parser_errors.describe(error)}"
                )
            )
            return
        if has_upgraded:
            self._end(IncompleteResponseError("unrequested upgrade"))
            return
        if not self._has_response:
            self._unanswered.append(data)
        heads_received = self._heads_received
        for message, payload in messages:
            if message.code < parser_errors.MIN_STATUS:
                # It would be taken for that of an interim response.
                self._end(
                    IncompleteResponseError(
                        f"impossible status {message.code:03}"
                    )
                )
                return
            if self._has_second_head(message):
                self._log_status_line(message.code)
                self._end(
                    IncompleteResponseError("response cut off in its head")
                )
                return
            if self._has_trailer_of_another(message):
                self._end(IncompleteResponseError("trailer in a head"))
                return
            self._add_response(message, payload)
        if (
            self._heads_received > heads_received
            or self._incoming_body_bytes() > body_bytes
        ):
            self._overhead_bytes = 0
        else:
            self._count_overhead(len(data))
        if not self._has_response:
            self._count_before_response(len(data))
        self._count_buffered(len(data))
        if (
            messages
            and self._head_waiter is not None
            and not self._head_waiter.done()
        ):
            self._head_waiter.set_result(None)

    def _has_second_head(self, message) -> bool:
        """Returns whether a head was cut off in front of another one.

        On a connection that carries its first request, a header may quote a
        status line. It is not used again then: on a used one, the two can't be
        told apart.
        """
        is_first = self.responses_read == 0
        if is_first and second_responses.quotes_status_line(message):
            self._quotes_status_line = True
        return second_responses.is_in_head(message, may_quote=is_first)

    def _add_response(self, message, payload: streams.StreamReader) -> None:
        """Adds a response; interim responses are only counted."""
        is_final = message.code >= 200
        if is_final or self._heads_received:
            self._heads_received += 1
        if not is_final:
            return
        head = _parse_head(message)
        self._incoming_body = payload
        if self._is_to_another_request(head) and payload.is_eof():
            # Not kept until it is read: many may have come together.
            self._log_surplus("response to another request")
            return
        self._responses.append((head, payload))

    def _is_to_another_request(self, head: Head) -> bool:
        """Returns whether a response is not the one that is waited for."""
        return self._is_expected is not None and not self._is_expected(head)

    def _has_trailer_of_another(self, message) -> bool:
        """Returns whether a head has the trailer of the response before it.

        The parser takes it for the first headers of the head.
        """
        if not self._heads_received or not message.raw_headers:
            return False
        end = second_responses.find_first_header(
            self._join_unanswered(),
            message.raw_headers[0],
            self._next_head_start,
        )
        self._next_head_start = max(end, self._next_head_start)
        return end < 0

    def _join_unanswered(self) -> bytes:
        """Returns the bytes received before the response to the request."""
        if len(self._unanswered) != 1:
            self._unanswered = [b"".join(self._unanswered)]
        return self._unanswered[0]

    def _log_surplus(self, state: str) -> None:
        """Logs bytes that belong to no request.

        Args:
            state: What the connection was doing.
        """
        _log.warning(
            "bytes without a request",
            target=self.address,
            state=state,
            responses_read=self.responses_read,
        )

    def _log_status_line(self, status: int) -> None:
        """Logs a response head that another response was cut off in."""
        _log.warning(
            "status line within a response head",
            target=self.address,
            status=status,
            responses_read=self.responses_read,
            # Otherwise the first one was received before the request was sent.
            since_request=len(
                second_responses.STATUS_LINE.findall(self._join_unanswered())
            )
            > 1,
        )

    def _complete_responses(
        self, data: bytes
    ) -> list[tuple[Head, streams.StreamReader]]:
        """Returns the complete responses before bytes that can't be parsed.

        The parser drops what it read together with such bytes. The responses
        are parsed again, head by head, from the bytes since the request.

        Args:
            data: The newest bytes.
        """
        if self._has_response:
            return []
        rest = b"".join((*self._unanswered, data))
        parser = self._new_parser()
        found = []
        with contextlib.suppress(http_exceptions.HttpProcessingError):
            start = 0
            while end := rest.find(HEAD_END, start) + 1:
                end += len(HEAD_END) - 1
                messages, _, _ = parser.feed_data(rest[start:end])
                found += messages
                start = end
                if messages and messages[-1][0].code >= 200:
                    parser.feed_data(rest[start:])
                    break
        return [
            (_parse_head(message), payload)
            for message, payload in found
            if message.code >= 200
            and payload.is_eof()
            and not self._has_second_head(message)
        ]

    def _expects_bytes(self) -> bool:
        """Returns whether a part of a response is still to be received."""
        is_complete = self._has_response and self._body.is_eof()
        return self.in_use and not is_complete

    def _incoming_body_bytes(self) -> int:
        """Returns how many bytes of the incoming body were received."""
        body = self._incoming_body
        return 0 if body is None else body.total_bytes

    def _count_overhead(self, size: int) -> None:
        self._overhead_bytes += size
        limit = self._allowance(MAX_OVERHEAD_BYTES)
        if self._overhead_bytes > limit:
            self._end(
                ResponseLimitError(
                    f"over {limit} bytes that are neither a complete response "
                    f"head nor a body"
                )
            )

    def _count_before_response(self, size: int) -> None:
        self._bytes_before_response += size
        limit = self._allowance(MAX_BYTES_BEFORE_RESPONSE)
        if self._bytes_before_response > limit:
            self._end(
                ResponseLimitError(
                    f"over {limit} bytes without a response to the request"
                )
            )

    def _allowance(self, most: int) -> int:
        return self._buffered.allowance(most, MIN_OVERHEAD_BYTES)

    def _count_buffered(self, received: int) -> None:
        """Counts what is buffered, and pauses if the body is read too slowly.

        The body pauses at a limit of its own too. It resumes once it is read.
        """
        if not self._has_response:
            self._buffered.set(self._buffered.size + received)
            return
        self._buffered.set(self._body.total_bytes - self._body_bytes_read)
        if self._buffered.exceeds(2 * READ_BUFFER_BYTES, MIN_READ_BUFFER_BYTES):
            self.pause_reading()

    def _end(self, error: Exception) -> None:
        """Ends the response in progress and closes at once."""
        self._fail(error)
        self.abort()

    def eof_received(self) -> None:
        """Lets the transport close itself; called by asyncio."""
        self._peer_closed = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response in progress; called by asyncio."""
        super().connection_lost(exc)
        self._buffered.set(0)
        self.unusable = True
        if self._peer_closed and exc is None and self._error is None:
            try:
                # A response without a length ends when its target closes.
                self._parser.feed_eof()
            except (
                IncompleteResponseError,
                http_exceptions.HttpProcessingError,
            ):
                pass
        self._fail(
            IncompleteResponseError(f"connection lost: {exc or 'closed'}")
        )

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        for _, payload in self._responses:
            _fail_body(payload, error)
        if self._body is not None:
            _fail_body(self._body, error)
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_result(None)

    def abort(self) -> None:
        """Closes at once; the target sees a reset or an early end of stream."""
        self.unusable = True
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Closes with a reset; the kernel drops what it has not sent yet."""
        self.unusable = True
        if self.transport is not None:
            sockets.reset(self.transport)

    def write(self, data: bytes) -> None:
        """Writes a complete request, whose response has a parser of its own."""
        self._buffered.set(0)
        self._body_bytes_read = 0
        self._responses.clear()
        self._body = None
        self._incoming_body = None
        self._heads_received = 0
        self._has_response = False
        self._bytes_before_response = 0
        self._overhead_bytes = 0
        self._unanswered.clear()
        self._next_head_start = 0
        self._is_expected = None
        self._body_search = None
        self._reads_bodies = not data.startswith(b"HEAD ")
        self._parser = self._new_parser()
        self.transport.write(data)

    async def read_head(
        self, is_response_to_request: Callable[[Head], bool]
    ) -> Head:
        """Waits for the head of the response to the request in progress.

        Args:
            is_response_to_request: Returns whether a response belongs to the
                request; others are discarded with their bodies.

        Raises:
            IncompleteResponseError: The connection closed before the response.
        """
        self._is_expected = is_response_to_request
        while True:
            while not self._responses:
                if self._error is not None:
                    raise self._error
                self._head_waiter = self._loop.create_future()
                await self._head_waiter
            head, payload = self._responses.pop(0)
            self._body = payload
            if is_response_to_request(head):
                self._has_response = True
                self._is_expected = None
                self._unanswered.clear()
                self._next_head_start = 0
                self._buffered.set(payload.total_bytes)
                if head.get(b"content-length") is not None:
                    self._body_search = second_responses.StatusLineSearch()
                return head
            self._log_surplus("response to another request")
            while await self.read():
                pass

    async def read(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
            IncompleteResponseError: The connection closed before the body
                ended, or another response was written into it.
        """
        data = await self._body.readany()
        if self._has_response:
            self._body_bytes_read += len(data)
            self._buffered.set(self._body.total_bytes - self._body_bytes_read)
        search = self._body_search
        if search is None:
            return data
        search.feed(data)
        if not data and search.found and self._has_surplus():
            self._log_surplus("within the response")
            raise IncompleteResponseError("second response within the body")
        return data

    def _has_surplus(self) -> bool:
        """Returns whether bytes have come behind the response.

        With a status line in its body they are the rest of it: another
        response has taken its place, or a part of it.
        """
        return not self._peer_closed and (
            self._heads_received > 1 or not self._is_at_boundary()
        )

    def is_reusable(self, head: Head) -> bool:
        """Returns whether the connection may be used for another request.

        All bytes received must belong to the response to its last request.
        """
        if (
            not self.is_open
            or self.unusable
            or head.should_close
            or self._quotes_status_line
            or self._body is None
            or not self._body.is_eof()
            or self.transport.get_write_buffer_size() > 0
        ):
            return False
        if self._heads_received == 1 and self._is_at_boundary():
            return True
        self._log_surplus("behind the response")
        return False

    def _is_at_boundary(self) -> bool:
        """Returns whether the parser holds no byte behind the last response.

        A part of another response would change how a whole one is read.
        """
        try:
            messages, _, _ = self._parser.feed_data(BOUNDARY_RESPONSE)
        except http_exceptions.HttpProcessingError:
            return False
        # A trailer of the last response is read as its first headers.
        heads = [(m.code, m.reason, m.raw_headers[-1:]) for m, _ in messages]
        return heads == [BOUNDARY_HEAD]

    def is_clean(self) -> bool:
        """Returns whether it is open and nothing has come while it was idle.

        The kernel is asked for bytes that the event loop has not read yet.
        """
        if self.unusable or not self.is_open:
            return False
        if not sockets.has_unread_bytes(self.transport):
            return True
        if not sockets.is_closed_by_peer(self.transport):
            self._log_surplus("idle")
        return False


def _fail_body(payload: streams.StreamReader, error: Exception) -> None:
    if not payload.is_eof() and payload.exception() is None:
        payload.set_exception(error)


def _parse_head(message) -> Head:
    idle_timeout_s = MAX_IDLE_S
    for name, value in message.raw_headers:
        if name.lower() == b"keep-alive":
            idle_timeout_s = min(idle_timeout_s, _parse_idle_timeout(value))
    return Head(
        message.code,
        message.raw_headers,
        bool(message.should_close),
        idle_timeout_s,
    )


def _parse_idle_timeout(value: bytes) -> float:
    """Returns half of the timeout in a Keep-Alive header, in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        timeout_s = decimals.parse(number.strip())
        if name.strip().lower() == b"timeout" and timeout_s is not None:
            return timeout_s / 2
    return MAX_IDLE_S
