"""Calls to plain services: a single attempt with a checked response id.

A plain service is one that runs no model.
"""

import asyncio
import dataclasses

import aiohttp
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib

from chivelb_node.links import limited_bodies
from chivelb_node.links import parser_errors
from chivelb_node.links import runners

# Hop-by-hop headers, the caller's credentials, and headers that this instance
# sets itself.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "x-attempt-id",
        "x-request-id",
        "x-workspace",
    }
)
MAX_RESPONSE_BYTES = 8_388_608
_KIND = attempt_lib.OutcomeKind


@dataclasses.dataclass(slots=True)
class ServiceResponse:
    """The complete response of a plain service.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def end_to_end(headers) -> dict[str, str]:
    """Returns the headers that are passed on: all but ``DROPPED_HEADERS``."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in DROPPED_HEADERS
    }


async def call_service(
    session: aiohttp.ClientSession,
    record: targets.TargetRecord,
    *,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    attempt_id: str,
    timeout_s: float,
) -> ServiceResponse:
    """Sends one attempt and returns its complete response.

    Args:
        session: Client session for targets.
        record: The target.
        method: HTTP method.
        path: Path with the query string.
        headers: End-to-end headers.
        body: Request body.
        attempt_id: Id that the response must echo.
        timeout_s: Timeout of the attempt in seconds.

    Returns:
        The response.

    Raises:
        attempt_lib.AttemptError: There was no valid response to the attempt.
    """
    # Uses a new connection: if the target closes a reused one at the same
    # time, a request that was lost can't be told from one that ran.
    request_headers = {
        **headers,
        "X-Attempt-Id": attempt_id,
        "Connection": "close",
    }
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(
                method,
                f"http://{record.address}{path}",
                data=body,
                headers=request_headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    sock_connect=runners.CONNECT_TIMEOUT_S
                ),
            ) as response:
                return await _read_response(response, attempt_id)
    except aiohttp.ClientConnectorError as error:
        raise _attempt_error(
            _KIND.NOT_RUN, codes.TARGET_REFUSED, error
        ) from None
    except TimeoutError:
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.TARGET_TIMEOUT,
            "no response within the timeout",
        ) from None
    except aiohttp.ClientError as error:
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            parser_errors.describe(error),
        ) from None


async def _read_response(
    response: aiohttp.ClientResponse, attempt_id: str
) -> ServiceResponse:
    if response.status < parser_errors.MIN_FINAL_STATUS:
        response.close()
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            f"impossible status {response.status:03}",
        )
    if response.headers.get("X-Not-Run") == attempt_id:
        raise _attempt_error(
            _KIND.NOT_RUN,
            codes.TARGET_REFUSED,
            "target refused the request before running it",
        )
    if response.headers.get("X-Attempt-Id") != attempt_id:
        response.close()
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            f"response lacks the id of attempt {attempt_id}",
        )
    # Read before the body, whose end releases the connection.
    protocol = limited_bodies.protocol_of(response)
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            response.close()
            raise _attempt_error(
                _KIND.FAILED,
                codes.TARGET_FAILED,
                f"response exceeds {MAX_RESPONSE_BYTES} bytes",
            )
        chunks.append(chunk)
    if limited_bodies.was_reset(protocol):
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            "connection was reset within the response",
        )
    return ServiceResponse(
        response.status, end_to_end(response.headers), b"".join(chunks)
    )


def _attempt_error(
    kind: attempt_lib.OutcomeKind, code: codes.ResultCode, detail
) -> attempt_lib.AttemptError:
    text = str(detail) or type(detail).__name__
    return attempt_lib.AttemptError(attempt_lib.Outcome(kind, code, text))
