"""Attempts on runners: dispatch, verified streams, resume and cancel."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import hashlib

import aiohttp
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
import mode
import msgspec

from chivelb_node.links import events

SILENCE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 1.0
CANCEL_GRACE_S = 1.0
IDLE_REUSE_S = 15.0
MAX_RESUMES = 3


@dataclasses.dataclass(slots=True)
class RunnerAttempt:
    """One dispatch of a call to a runner.

    Attributes:
        attempt_id: Id that the runner must echo.
        record: The runner.
        payload: JSON body of the dispatch.
        version: Weight version that must compute the answer; empty when a
            resumed attempt keeps whatever it began with.
        offset: Offset of the next token.
        deadline: Monotonic time when the call is given up, in seconds.
        cached_tokens: Prompt tokens that the runner reused.
    """

    attempt_id: str
    record: targets.TargetRecord
    payload: bytes
    version: str
    offset: int
    deadline: float
    cached_tokens: int = 0


def target_tag(identity: str) -> str:
    """Returns the short tag of a target in attempt ids."""
    return hashlib.blake2b(identity.encode(), digest_size=4).hexdigest()


class SessionService(mode.Service):
    """Owns the client session for targets; stops after all its users.

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
    """Returns a client session for targets with capped idle reuse."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=IDLE_REUSE_S, force_close=False
    )
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=SILENCE_TIMEOUT_S,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        read_bufsize=262_144,
    )


def _ended(
    kind: attempt_lib.OutcomeKind,
    code: codes.ResultCode,
    detail: str,
    *,
    died: bool = False,
) -> attempt_lib.AttemptError:
    return attempt_lib.AttemptError(
        attempt_lib.Outcome(kind, code, detail, died)
    )


_KIND = attempt_lib.OutcomeKind


async def stream_attempt(
    session: aiohttp.ClientSession,
    attempt: RunnerAttempt,
    *,
    dispatched: bool = False,
) -> AsyncIterator[events.Batch]:
    """Yields the verified batches of an attempt until it is done.

    A connection that goes silent or breaks is replaced: a fresh one asks the
    runner for the attempt and resumes at the next token.

    Args:
        session: Client session for targets.
        attempt: The attempt; its offset moves on with the tokens.
        dispatched: Whether it was dispatched before and is only resumed.

    Raises:
        attempt_lib.AttemptError: It ended in any other way.
    """
    resumes = 0
    if dispatched:
        request = _resume(session, attempt)
    else:
        request = _dispatch(session, attempt)
    while True:
        try:
            async with request as response:
                _check_head(response, attempt)
                async for batch in _read(response, attempt):
                    yield batch
                    if batch.done:
                        return
            detail = "the stream ended early"
        except aiohttp.ClientConnectorError as error:
            kind, code = _KIND.NOT_RUN, codes.TARGET_REFUSED
            if resumes or dispatched:
                kind, code = _KIND.UNKNOWN, codes.OUTCOME_UNKNOWN
            raise _ended(kind, code, str(error), died=True) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
        except events.StreamError as error:
            detail = str(error)
        resumes += 1
        if resumes > MAX_RESUMES:
            raise _ended(_KIND.UNKNOWN, codes.OUTCOME_UNKNOWN, detail)
        await _confirm_alive(session, attempt, detail)
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


def _check_head(
    response: aiohttp.ClientResponse, attempt: RunnerAttempt
) -> None:
    if response.status != 200:
        if response.headers.get("X-Not-Run") == attempt.attempt_id:
            raise _ended(
                _KIND.NOT_RUN,
                codes.TARGET_REFUSED,
                f"refused with status {response.status}",
            )
        if response.headers.get("X-Attempt-Id") != attempt.attempt_id:
            raise events.StreamError("an answer without the attempt's id")
        raise _ended(
            _KIND.FAILED, codes.TARGET_FAILED, f"status {response.status}"
        )
    if response.headers.get("X-Attempt-Id") != attempt.attempt_id:
        response.close()
        raise events.StreamError("an answer with another attempt's id")
    version = response.headers.get("X-Weight-Version")
    if attempt.version and version != attempt.version:
        response.close()
        raise _ended(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            "the answer is of another weight version",
        )


async def _read(
    response: aiohttp.ClientResponse, attempt: RunnerAttempt
) -> AsyncIterator[events.Batch]:
    runs = events.split_events(response.content.iter_any())
    checked = events.check_events(runs, attempt.attempt_id, attempt.offset)
    async for batch in checked:
        attempt.offset += batch.tokens
        yield batch


class AttemptStatus(msgspec.Struct):
    """A runner's word on an attempt.

    Attributes:
        state: ``running``, ``done``, ``failed`` or ``barred`` (never
            started and never will).
        incarnation: The runner's incarnation.
    """

    state: str
    incarnation: int


async def _confirm_alive(
    session: aiohttp.ClientSession, attempt: RunnerAttempt, detail: str
) -> None:
    """Returns when the attempt can be resumed; raises its end otherwise."""
    status = await ask_status(session, attempt)
    if status is None:
        raise _ended(_KIND.UNKNOWN, codes.OUTCOME_UNKNOWN, detail, died=True)
    if status.incarnation != attempt.record.incarnation:
        raise _ended(
            _KIND.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            "the target restarted",
            died=True,
        )
    if status.state == "barred":
        raise _ended(
            _KIND.NOT_RUN,
            codes.TARGET_REFUSED,
            "the target never got the request and will not run it",
        )
    if status.state == "failed":
        raise _ended(_KIND.FAILED, codes.TARGET_FAILED, detail)


async def ask_status(
    session: aiohttp.ClientSession, attempt: RunnerAttempt
) -> AttemptStatus | None:
    """Asks a runner on a fresh connection what became of an attempt.

    A runner that never got the attempt bars it, so that "not run" is
    proved and stays true.

    Args:
        session: Client session for targets.
        attempt: The attempt.

    Returns:
        The runner's word, or None when it can't be reached.
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
                return msgspec.json.decode(
                    await response.read(), type=AttemptStatus
                )
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None


async def cancel_attempt(
    session: aiohttp.ClientSession, attempt: RunnerAttempt
) -> None:
    """Tells a runner to stop an attempt that nobody reads any more."""
    url = f"http://{attempt.record.address}/v1/attempts/{attempt.attempt_id}"
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            async with session.delete(url):
                return
    except (aiohttp.ClientError, TimeoutError):
        return
