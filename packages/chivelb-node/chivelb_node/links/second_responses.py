"""Recognizes the head of a second response where another one is expected.

A target that answers twice may begin its second response anywhere: within the
head of the next response on the connection, or behind a body that only the
close of the connection ends.
"""

import collections
import itertools
import re

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# A line of a response head that names the request, and the head before it.
ID_LINE = rb"\n[^\s:]+:[ \t]*%b\r?\n"
MAX_HEAD_BYTES = 16_384
# A whole response head. The number of its lines is bounded, so that the time to
# search a body is.
WHOLE_HEAD = re.compile(
    rb"HTTP/\d\.\d \d{3}[^\r\n]*\r\n"
    rb"(?:[!-9;-~]{1,64}:[^\r\n]*\r\n){1,64}\r\n"
)
# A response whose connection was kept has a length or chunks.
FRAMING_LINE = re.compile(rb"(?i)\n(?:content-length|transfer-encoding):")
# Longest beginning of a status line that may be at the end of some bytes.
MAX_STATUS_LINE_BYTES = 12
# Lines that are looked at, so that the time to search a body has a bound.
MAX_ID_LINES = 16


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
    quoting = _quoting_headers(message) if may_quote else ()
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


def begins_head(received: bytes, header: tuple[bytes, bytes]) -> bool:
    """Returns whether a header is the first one behind some status line.

    Args:
        received: The bytes in which the head was received.
        header: Name and value of the header.
    """
    name, value = map(re.escape, header)
    first_line = rb"HTTP/\d\.\d \d{3}[^\n]*\n%b[ \t]*:[ \t]*%b" % (name, value)
    return re.search(first_line, received) is not None


def is_in_body(body: bytes, request_id: bytes) -> bool:
    """Returns whether a body holds the head of a response.

    That is the whole head of any response that an earlier request on the
    connection may have had, or one of a response to the request itself.
    """
    heads = itertools.islice(WHOLE_HEAD.finditer(body), MAX_ID_LINES)
    if any(FRAMING_LINE.search(head[0]) for head in heads):
        return True
    if not request_id or request_id not in body:
        return False
    lines = re.finditer(ID_LINE % re.escape(request_id), body)
    return any(
        STATUS_LINE.search(
            body, max(0, line.start() - MAX_HEAD_BYTES), line.start()
        )
        for line in itertools.islice(lines, MAX_ID_LINES)
    )


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
            self._end = text[-MAX_STATUS_LINE_BYTES:]
