"""Attempts on runners: dispatch, validated streams, resume and cancel."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib

import aiohttp
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
import mode
import msgspec

from chivelb_node.links import events
from chivelb_node.links import limited_bodies
from chivelb_node.links import parser_errors

READ_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 1.0
# Limit for a response head with the interim responses before it. Each received
# byte restarts the socket's ``READ_TIMEOUT_S``.
HEAD_TIMEOUT_S = 10.0
CANCEL_GRACE_S = 1.0
MAX_RESUMES = 3
MAX_STATUS_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class RunnerAttempt:
    """One dispatch of a call to a runner.

    Attributes:
        attempt_id: Id that the runner must echo.
        record: The runner.
        payload: JSON body of the dispatch request.
        version: Weight version that must compute the response; empty if a
            resumed attempt keeps the version that it started with.
        offset: Offset of the next token.
        deadline: Monotonic time at which the call times out, in seconds.
        cached_tokens: Prompt tokens that the runner reused.
    """

    attempt_id: str
    record: targets.TargetRecord
    payload: bytes
    version: str
    offset: int
    deadline: float
    cached_tokens: int = 0


def short_target_id(identity: str) -> str:
    """Returns the tag that identifies a target in attempt ids."""
    return hashlib.blake2b(identity.encode(), digest_size=4).hexdigest()


class SessionService(mode.Service):
    """Owns the client session for targets; stopped after all its users.

    Attributes:
        session: The session, open while the service runs.
    """

    def __init__(self) -> None:
        """Creates the service."""
        super().__init__()
        self.session = make_session()

    async def on_stop(self) -> None:
        """Closes the session."""
        await self.session.close()


def make_session() -> aiohttp.ClientSession:
    """Returns a client session that opens a connection for each request.

    Not all answers name their request: on a reused connection, the copy of an
    earlier answer can't be told from the answer. The request header
    ``Connection: close`` alone doesn't prevent a reuse.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=READ_TIMEOUT_S,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        # Limit of the buffer for a response, in bytes.
        read_bufsize=262_144,
    )


def _attempt_error(
    kind: attempt_lib.OutcomeKind,
    code: codes.ResultCode,
    detail: str,
    *,
    target_may_have_crashed: bool = False,
) -> attempt_lib.AttemptError:
    # ``Outcome.target_crashed`` also means that a crash is presumed.
    return attempt_lib.AttemptError(
        attempt_lib.Outcome(kind, code, detail, target_may_have_crashed)
    )


_KIND = attempt_lib.OutcomeKind


async def stream_attempt(
    session: aiohttp.ClientSession,
    attempt: RunnerAttempt,
    *,
    resume_only: bool = False,
) -> AsyncIterator[events.Batch]:
    """Yields the validated batches of an attempt until it is done.

    If the connection times out or breaks, the stream is resumed at the next
    token on a new connection.

    Args:
        session: Client session for targets.
        attempt: The attempt; its offset advances with the tokens.
        resume_only: Whether the attempt was dispatched before and is only
            resumed.

    Raises:
        attempt_lib.AttemptError: The attempt did not complete.
    """
    resumes = 0
    if resume_only:
        request = _resume(session, attempt)
    else:
        request = _dispatch(session, attempt)
    while True:
        try:
            async with _open(request) as response:
                _check_response(response, attempt)
                async for batch in _read_batches(response, attempt):
                    yield batch
                    if batch.done:
                        return
            detail = "stream ended before the response was complete"
        except aiohttp.ClientConnectorError as error:
            kind, code = _KIND.NOT_RUN, codes.TARGET_REFUSED
            if resumes or resume_only:
                kind, code = _KIND.UNKNOWN, codes.OUTCOME_UNKNOWN
            raise _attempt_error(
                kind, code, str(error), target_may_have_crashed=True
            ) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = parser_errors.describe(error)
        except events.StreamError as error:
            detail = str(error)
        resumes += 1
        if resumes > MAX_RESUMES:
            raise _attempt_error(_KIND.UNKNOWN, codes.OUTCOME_UNKNOWN, detail)
        await _check_resumable(session, attempt, detail)
        request = _resume(session, attempt)


def _dispatch(session: aiohttp.ClientSession, attempt: RunnerAttempt):
    return session.post(
        f"http://{attempt.record.address}/v1/attempts",
        data=attempt.payload,
        headers={
            "Content-Type": "application/json",
            "X-Attempt-Id": attempt.attempt_id,
            "X-Target": attempt.record.identity,
            "X-Incarnation": str(attempt.record.incarnation),
        },
    )


def _resume(session: aiohttp.ClientSession, attempt: RunnerAttempt):
    return session.get(
        f"http://{attempt.record.address}"
        f"/v1/attempts/{attempt.attempt_id}/events",
        params={"offset": str(attempt.offset)},
        headers={"Connection": "close"},
    )


@contextlib.asynccontextmanager
async def _open(request) -> AsyncIterator[aiohttp.ClientResponse]:
    try:
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            response = await request
    except TimeoutError as error:
        detail = str(error) or f"no response head within {HEAD_TIMEOUT_S} s"
        raise TimeoutError(detail) from None
    async with response:
        yield response


def _check_response(
    response: aiohttp.ClientResponse, attempt: RunnerAttempt
) -> None:
    if response.status < parser_errors.MIN_FINAL_STATUS:
        response.close()
        raise events.StreamError(f"impossible status {response.status:03}")
    if response.status != 200:
        if response.headers.get("X-Not-Run") == attempt.attempt_id:
            raise _attempt_error(
                _KIND.NOT_RUN,
                codes.TARGET_REFUSED,
                f"runner refused the request with status {response.status}",
            )
        if response.headers.get("X-Attempt-Id") != attempt.attempt_id:
            raise events.StreamError(
                f"response with status {response.status} lacks the id of "
                f"attempt {attempt.attempt_id}"
            )
        raise _attempt_error(
            _KIND.FAILED,
            codes.TARGET_FAILED,
            f"runner responded with status {response.status}",
        )
    if response.headers.get("X-Attempt-Id") != attempt.attempt_id:
        response.close()
        raise events.StreamError(
            f"response lacks the id of attempt {attempt.attempt_id}"
        )
    version = response.headers.get("X-Weight-Version")
    if attempt.version and version != attempt.version:
        response.close()
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            f"response was computed by weight version {version!r}, "
            f"expected {attempt.version!r}",
        )


async def _read_batches(
    response: aiohttp.ClientResponse, attempt: RunnerAttempt
) -> AsyncIterator[events.Batch]:
    runs = events.split_events(_read_chunks(response))
    checked = events.check_events(runs, attempt.attempt_id, attempt.offset)
    async for batch in checked:
        attempt.offset += batch.tokens
        yield batch


async def _read_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yields the body; each part of it must come in ``READ_TIMEOUT_S``.

    What only frames the body is not yielded.
    """
    while True:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                chunk = await response.content.readany()
        except TimeoutError:
            detail = f"no part of the body within {READ_TIMEOUT_S} s"
            raise TimeoutError(detail) from None
        if not chunk:
            return
        yield chunk


class AttemptStatus(msgspec.Struct):
    """A runner's status of an attempt.

    Attributes:
        state: ``running``, ``done``, ``failed`` or ``barred``; a barred
            attempt has not started and never will.
        incarnation: Incarnation of the runner.
    """

    state: str
    incarnation: int


async def _check_resumable(
    session: aiohttp.ClientSession, attempt: RunnerAttempt, detail: str
) -> None:
    """Returns if the attempt can be resumed.

    Raises:
        attempt_lib.AttemptError: The attempt can't be resumed.
    """
    status = await ask_status(session, attempt)
    if status is None:
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            detail,
            target_may_have_crashed=True,
        )
    if status.incarnation != attempt.record.incarnation:
        raise _attempt_error(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            f"target restarted: expected incarnation "
            f"{attempt.record.incarnation}, got {status.incarnation}",
            target_may_have_crashed=True,
        )
    if status.state == "barred":
        raise _attempt_error(
            _KIND.NOT_RUN,
            codes.TARGET_REFUSED,
            "target never received the request and will not run it",
        )
    if status.state == "failed":
        raise _attempt_error(_KIND.FAILED, codes.TARGET_FAILED, detail)


async def ask_status(
    session: aiohttp.ClientSession, attempt: RunnerAttempt
) -> AttemptStatus | None:
    """Requests the status of an attempt from a runner on a new connection.

    A runner that never received the attempt bars it, so that the result "not
    run" is proven and stays true.

    Args:
        session: Client session for targets.
        attempt: The attempt.

    Returns:
        The status, or None if there is no valid response.
    """
    url = (
        f"http://{attempt.record.address}"
        f"/v1/attempts/{attempt.attempt_id}/status"
    )
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            async with session.post(
                url, headers={"Connection": "close"}
            ) as response:
                status = await limited_bodies.read_limited(
                    response, MAX_STATUS_BYTES
                )
                return msgspec.json.decode(status, type=AttemptStatus)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None


async def cancel_attempt(
    session: aiohttp.ClientSession, attempt: RunnerAttempt
) -> None:
    """Requests a runner to stop an attempt whose stream no client reads."""
    url = f"http://{attempt.record.address}/v1/attempts/{attempt.attempt_id}"
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            async with session.delete(url):
                return
    except (aiohttp.ClientError, TimeoutError):
        return
