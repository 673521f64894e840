"""Calls to plain services: one attempt, its answer checked by its id."""

import asyncio
import dataclasses

import aiohttp
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib

from chivelb_node.links import runners

HOP_HEADERS = frozenset(
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
MAX_ANSWER_BYTES = 8_388_608
_KIND = attempt_lib.OutcomeKind


@dataclasses.dataclass(slots=True)
class ServiceAnswer:
    """A plain service's whole answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def end_to_end(headers) -> dict[str, str]:
    """Returns the headers that may pass from one side to the other."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
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
) -> ServiceAnswer:
    """Sends one attempt and returns its whole answer.

    Args:
        session: Client session for targets.
        record: The target.
        method: HTTP method.
        path: Path with query.
        headers: End-to-end headers.
        body: Request body.
        attempt_id: Id that the answer must echo.
        timeout_s: Seconds until the attempt is given up.

    Returns:
        The answer.

    Raises:
        attempt_lib.AttemptError: The attempt ended without its own answer.
    """
    # A fresh connection: on a reused one that its target closed meanwhile,
    # a loss could not be told from a request that ran.
    sent = {**headers, "X-Attempt-Id": attempt_id, "Connection": "close"}
    try:
        async with asyncio.timeout(timeout_s):
            async with session.request(
                method,
                f"http://{record.address}{path}",
                data=body,
                headers=sent,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    sock_connect=runners.CONNECT_TIMEOUT_S
                ),
            ) as response:
                return await _read_answer(response, attempt_id)
    except aiohttp.ClientConnectorError as error:
        raise _ended(_KIND.NOT_RUN, codes.TARGET_REFUSED, error) from None
    except TimeoutError:
        raise _ended(
            _KIND.UNKNOWN, codes.TARGET_TIMEOUT, "no answer in time"
        ) from None
    except aiohttp.ClientError as error:
        raise _ended(_KIND.UNKNOWN, codes.OUTCOME_UNKNOWN, error) from None


async def _read_answer(
    response: aiohttp.ClientResponse, attempt_id: str
) -> ServiceAnswer:
    if response.headers.get("X-Not-Run") == attempt_id:
        raise _ended(
            _KIND.NOT_RUN, codes.TARGET_REFUSED, "refused before running"
        )
    if response.headers.get("X-Attempt-Id") != attempt_id:
        response.close()
        raise _ended(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            "the answer carries another attempt's id",
        )
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            response.close()
            raise _ended(
                _KIND.FAILED,
                codes.TARGET_FAILED,
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
            )
        chunks.append(chunk)
    return ServiceAnswer(
        response.status, end_to_end(response.headers), b"".join(chunks)
    )


def _ended(
    kind: attempt_lib.OutcomeKind, code: codes.ResultCode, detail
) -> attempt_lib.AttemptError:
    text = str(detail) or type(detail).__name__
    return attempt_lib.AttemptError(attempt_lib.Outcome(kind, code, text))
