"""Coded answers to callers and operators."""

import random

from aiohttp import web
from chivelb_core import codes
import msgspec

RETRY_BASE_S = 1.0
RETRY_SPREAD_S = 4.0


class CodedError(Exception):
    """Ends a request with a fault that its sender is told.

    Attributes:
        fault: Code and detail.
        backlog_s: Seconds of work that wait before the request.
    """

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = "",
        *,
        backlog_s: float = 0.0,
    ) -> None:
        """Creates an error from a row of the table."""
        super().__init__(detail or code.summary)
        self.fault = codes.Fault(code, detail)
        self.backlog_s = backlog_s


def retry_after_s(rng: random.Random, load: float = 0.0) -> int:
    """Returns whole seconds to wait, spread out so that callers return apart.

    Args:
        rng: Source of randomness.
        load: Seconds of work that wait; callers come back after it.
    """
    spread = RETRY_SPREAD_S + load
    return max(1, round(RETRY_BASE_S + rng.random() * spread))


def error_body(fault: codes.Fault, request_id: str) -> bytes:
    """Encodes a fault in the shape that OpenAI clients expect."""
    code = fault.code
    return msgspec.json.encode(
        {
            "error": {
                "code": code.number,
                "type": code.name,
                "message": fault.detail or code.summary,
                "ran": code.ran.value,
                "retry": code.retry.value,
                "request_id": request_id,
            }
        }
    )


def fault_response(
    fault: codes.Fault, request_id: str, rng: random.Random, load: float = 0.0
) -> web.Response:
    """Builds the final answer of a request that ends with a fault.

    Args:
        fault: Code and detail; its own time to come again goes first.
        request_id: Id that the answer repeats.
        rng: Source of randomness.
        load: Seconds of work that wait.
    """
    headers = {
        "X-Result-Code": str(fault.code.number),
        "X-Request-Id": request_id,
    }
    if fault.code.retry in (codes.Retry.LATER, codes.Retry.WITH_KEY):
        after_s = fault.retry_after_s
        if after_s is None:
            after_s = retry_after_s(rng, load)
        headers["Retry-After"] = str(after_s)
    return web.Response(
        status=fault.code.status,
        body=error_body(fault, request_id),
        headers=headers,
        content_type="application/json",
    )
