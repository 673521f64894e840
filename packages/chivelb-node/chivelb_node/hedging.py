"""Requests that are repeated at another instance if the first is slow."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

Reply = TypeVar("Reply")


async def first_accepted(
    requests: Iterable[Callable[[], Awaitable[Reply]]],
    *,
    delay_s: float,
    accept: Callable[[Reply], bool],
) -> Reply | None:
    """Starts requests one after the other until a reply is accepted.

    The next request starts when the one before has failed, or has no reply
    after a delay. An instance that is silent thus delays the result by the
    delay, not by the time-out of its request. The requests must be idempotent:
    those without a reply are cancelled here, but may still take effect.

    Args:
        requests: Functions that each send one request, the best one first.
        delay_s: Delay in seconds.
        accept: Returns whether a reply ends the search.

    Returns:
        The first accepted reply, or None if there is none.
    """
    remaining = iter(requests)
    pending: set[asyncio.Task] = set()
    try:
        while True:
            request = next(remaining, None)
            if request is not None:
                pending.add(asyncio.create_task(request()))
            elif not pending:
                return None
            done, pending = await asyncio.wait(
                pending,
                timeout=delay_s if request is not None else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                reply = task.result()
                if accept(reply):
                    return reply
    finally:
        for task in pending:
            task.cancel()
