"""Recognizes the head of a second response where another one is expected.

A target that answers twice may begin its second response anywhere: within the
head of the next response on the connection, or behind a body that only the
close of the connection ends.

The time of each search is linear in the bytes, whatever a target sends: lines
are looked at in order, and none is the start of a search through those behind
it.
"""

import collections
import re

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
MAX_HEAD_BYTES = 16_384
# Lines of a whole head behind its status line.
MAX_HEADER_LINES = 64
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# A line with a status line, and the header lines that follow it. All behind
# the status line may be empty, so that a search never tries a byte twice.
_HEAD_LINES = re.compile(
    rb"HTTP/\d\.\d \d{3}[^\r\n]*((?:\r\n[!-9;-~]{1,64}:[^\r\n]*)*)"
)
# A response whose connection was kept has a length or chunks.
_FRAMING_LINE = re.compile(rb"\r\n(?i:content-length|transfer-encoding):")
# A line of a response head that names the request.
_ID_LINE = rb"\n[^\s:]+:[ \t]*%b\r?\n"
# Longest beginning of a status line that may be at the end of some bytes.
_MAX_STATUS_LINE_BYTES = 12


def is_in_head(message, *, may_quote: bool) -> bool:
    """Returns whether a status line occurs behind the first one of a head.

    A response that was cut off in its head and the next one are read as one
    head, which has the status of the first one.

    Args:
        message: A response head, as aiohttp parses it.
        may_quote: Whether a header may quote a status line: nothing else was
            asked for on the connection.
    """
    texts = [message.reason.encode("utf-8", "surrogateescape")]
    quoting = set(_quoting_headers(message)) if may_quote else ()
    for header in message.raw_headers:
        if header not in quoting:
            texts += header
    return any(STATUS_LINE.search(text) for text in texts)


def quotes_status_line(message) -> bool:
    """Returns whether a header of a sound head quotes a status line."""
    return bool(_quoting_headers(message))


def _quoting_headers(message) -> list[tuple[bytes, bytes]]:
    """Returns the headers whose whole value may be a quoted status line.

    A head that is cut off before a value has the name of that header again in
    the response that follows.
    """
    names = collections.Counter(name.lower() for name, _ in message.raw_headers)
    return [
        (name, value)
        for name, value in message.raw_headers
        if STATUS_LINE.match(value) and names[name.lower()] == 1
    ]


def find_first_header(
    received: bytes, header: tuple[bytes, bytes], start: int
) -> int:
    """Looks for a header that is the first one behind some status line.

    Args:
        received: The bytes in which the head was received.
        header: Name and value of the header.
        start: Offset behind the heads before it.

    Returns:
        Offset behind the header; -1 if it is nowhere.
    """
    name, value = map(re.escape, header)
    pattern = re.compile(rb"\n%b[ \t]*:[ \t]*%b" % (name, value))
    for line in pattern.finditer(received, start):
        line_end = line.start()
        line_start = max(start, received.rfind(b"\n", start, line_end))
        if STATUS_LINE.search(received, line_start, line_end):
            return line.end()
    return -1


def is_in_body(body: bytes, request_id: bytes) -> bool:
    """Returns whether a body holds the head of a response.

    That is the whole head of any response that an earlier request on the
    connection may have had, or one of a response to the request itself.
    """
    return _has_whole_head(body) or (
        bool(request_id) and _has_id_line(body, request_id)
    )


def _has_whole_head(body: bytes) -> bool:
    """Returns whether a body holds a whole head of a response with framing."""
    return any(
        body.startswith(HEAD_END, lines.end()) and _has_framed_head(body, lines)
        for lines in _HEAD_LINES.finditer(body)
    )


def _has_framed_head(body: bytes, lines: re.Match) -> bool:
    """Returns whether lines that an empty line follows end with a framed head.

    Its status line may be the first of them, or be quoted in a later one. A
    line with a length or chunks follows it.

    Args:
        body: The body.
        lines: Match of ``_HEAD_LINES``.
    """
    first, end = lines.span(1)
    starts = [line.start() for line in _FRAMING_LINE.finditer(body, first, end)]
    if not starts:
        return False
    head_start = lines.start()
    if body.count(LINE_END, first, end) > MAX_HEADER_LINES:
        head_start = end
        for _ in range(MAX_HEADER_LINES + 1):
            head_start = body.rfind(LINE_END, first, head_start)
    return bool(STATUS_LINE.search(body, head_start, starts[-1]))


def _has_id_line(body: bytes, request_id: bytes) -> bool:
    """Returns whether a line names the request close behind a status line."""
    if request_id not in body:
        return False
    searched = 0
    for line in re.finditer(_ID_LINE % re.escape(request_id), body):
        start = max(searched, line.start() - MAX_HEAD_BYTES)
        if STATUS_LINE.search(body, start, line.start()):
            return True
        searched = line.start()
    return False


class StatusLineSearch:
    """Looks for a status line in a body that is read in pieces.

    Attributes:
        found: Whether one was found.
    """

    __slots__ = ("found", "_end")

    def __init__(self) -> None:
        """Creates a search that has seen nothing."""
        self.found = False
        self._end = b""

    def feed(self, data: bytes) -> None:
        """Searches the next bytes of the body."""
        if not self.found:
            text = self._end + data
            self.found = STATUS_LINE.search(text) is not None
            self._end = text[-_MAX_STATUS_LINE_BYTES:]
