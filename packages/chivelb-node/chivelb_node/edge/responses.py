"""Error responses with result codes for callers and operators."""

import random

from aiohttp import web
from chivelb_core import codes
from chivelb_core import texts
import msgspec

RETRY_BASE_S = 1.0
RETRY_JITTER_S = 4.0


class RequestError(Exception):
    """Ends a request with an error response to its sender.

    Attributes:
        error_detail: Result code and detail.
        backlog_s: Work queued ahead of the request, in seconds.
    """

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = "",
        *,
        backlog_s: float = 0.0,
    ) -> None:
        """Creates an error from a result code."""
        super().__init__(detail or code.summary)
        self.error_detail = codes.ErrorDetail(code, detail)
        self.backlog_s = backlog_s


def retry_after_s(rng: random.Random, backlog_s: float = 0.0) -> int:
    """Returns a retry delay in seconds, with jitter to spread retries.

    Args:
        rng: Source of randomness.
        backlog_s: Queued work, in seconds; it is added to the jitter range.
    """
    jitter_s = RETRY_JITTER_S + backlog_s
    return max(1, round(RETRY_BASE_S + rng.random() * jitter_s))


def error_body(error_detail: codes.ErrorDetail, request_id: str) -> bytes:
    """Encodes an error in the format that OpenAI clients expect."""
    code = error_detail.code
    return msgspec.json.encode(
        {
            "error": {
                "code": code.number,
                "type": code.name,
                "message": texts.escape_unencodable(
                    error_detail.detail or code.summary
                ),
                "ran": code.ran.value,
                "retry": code.retry.value,
                "request_id": texts.escape_unencodable(request_id),
            }
        }
    )


def error_response(
    error_detail: codes.ErrorDetail,
    request_id: str,
    rng: random.Random,
    backlog_s: float = 0.0,
) -> web.Response:
    """Builds the error response of a request.

    Args:
        error_detail: Result code and detail; its ``retry_after_s`` takes
            precedence over a computed delay.
        request_id: Request id to return.
        rng: Source of randomness.
        backlog_s: Queued work, in seconds.
    """
    headers = {
        "X-Result-Code": str(error_detail.code.number),
        "X-Request-Id": request_id,
    }
    if error_detail.code.retry in (
        codes.RetryAdvice.LATER,
        codes.RetryAdvice.WITH_KEY,
    ):
        after_s = error_detail.retry_after_s
        if after_s is None:
            after_s = retry_after_s(rng, backlog_s)
        headers["Retry-After"] = str(after_s)
    return web.Response(
        status=error_detail.code.status,
        body=error_body(error_detail, request_id),
        headers=headers,
        content_type="application/json",
    )
