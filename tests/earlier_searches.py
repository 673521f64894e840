"""Searches as they were before incident endless-searches, to compare with.

Their results were right, but their time grew with the square of their input.
"""

import re

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
ID_LINE = rb"\n[^\s:]+:[ \t]*%b\r?\n"
MAX_HEAD_BYTES = 16_384
WHOLE_HEAD = re.compile(
    rb"HTTP/\d\.\d \d{3}[^\r\n]*\r\n"
    rb"(?:[!-9;-~]{1,64}:[^\r\n]*\r\n){1,64}\r\n"
)
FRAMING_LINE = re.compile(rb"(?i)\n(?:content-length|transfer-encoding):")


def is_in_body(body, request_id):
    """Returns whether a body holds a response head, without limits of lines."""
    heads = WHOLE_HEAD.finditer(body)
    if any(FRAMING_LINE.search(head[0]) for head in heads):
        return True
    if not request_id or request_id not in body:
        return False
    lines = re.finditer(ID_LINE % re.escape(request_id), body)
    return any(
        STATUS_LINE.search(
            body, max(0, line.start() - MAX_HEAD_BYTES), line.start()
        )
        for line in lines
    )


def begins_head(received, header):
    """Returns whether a header is the first one behind some status line."""
    name, value = map(re.escape, header)
    first_line = rb"HTTP/\d\.\d \d{3}[^\n]*\n%b[ \t]*:[ \t]*%b" % (name, value)
    return re.search(first_line, received) is not None


def directory_prefixes(path):
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
