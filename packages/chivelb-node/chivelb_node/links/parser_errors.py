"""Describes errors of the HTTP parser for logs and callers."""

import aiohttp
from aiohttp import http_exceptions

_WITH_BYTES = (
    aiohttp.ClientResponseError,
    http_exceptions.HttpProcessingError,
)
# Separates the parser's reason, if there is one, from the bytes.
_REASON_END = ":\n\n"

# Statuses of interim responses are above, those of others from 200.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200


def describe(error: Exception) -> str:
    """Returns why a request failed, without any bytes of the response.

    The bytes may be of any length, and belong to another request.

    Args:
        error: Error of the parser or of the client session.
    """
    name = type(error).__name__
    if not isinstance(error, _WITH_BYTES):
        return str(error) or name
    reason, has_reason, _ = error.message.partition(_REASON_END)
    return f"{name}: {' '.join(reason.split())}" if has_reason else name
