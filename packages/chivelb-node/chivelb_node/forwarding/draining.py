"""Graceful shutdown: reject new requests, then wait for those running."""

import asyncio

from chivelb_node import context as context_lib
from chivelb_node.telemetry import logs

# Time for load balancers to take this instance out of rotation.
CONTINUE_SERVING_S = 2.5
POLL_S = 0.05
ANSWER_POLL_S = 0.005
# Limit on the time for the answers to the requests that the end of a stop ends.
ANSWER_S = 0.2
_log = logs.get_logger("draining")


async def drain(
    context: context_lib.InstanceContext, *, grace_s: float
) -> None:
    """Drains an instance.

    It reports itself as not ready. New requests are served while load balancers
    may still send them. After that they are rejected with an error which says
    that the request did not run. Responses in progress continue until the grace
    period is nearly over.

    Args:
        context: Shared state of the instance.
        grace_s: Grace period in seconds, after which the process is killed.
    """
    context.begin_stop(serving_s=CONTINUE_SERVING_S, grace_s=grace_s)
    _log.info("stopping", in_progress=context.in_progress)
    serving_s = context.stop.starts_until - context_lib.monotonic()
    await asyncio.sleep(serving_s)
    _log.info("rejecting new requests", in_progress=context.in_progress)
    # Load balancers may have sent requests until just now. While the process
    # runs they get an error response instead of a TCP reset.
    await asyncio.sleep(serving_s / 2)
    await wait_for_requests(context)


async def wait_for_requests(context: context_lib.InstanceContext) -> None:
    """Waits until all answers are sent, or for the end of the stop.

    Requests that are in progress then are answered as unknown.
    """
    if await _wait_until_sent(context, context.stop.ends_at, POLL_S):
        return
    # ``cut`` is the number of requests that did not end in time.
    _log.warning("aborting requests in progress", cut=context.in_progress)
    ends_at = context.stop.ends_at + ANSWER_S
    await _wait_until_sent(context, ends_at, ANSWER_POLL_S)


async def _wait_until_sent(
    context: context_lib.InstanceContext, until: float, period_s: float
) -> bool:
    """Waits until all answers are sent; returns whether they are in time."""
    while context.has_unfinished_answers():
        if context_lib.monotonic() >= until:
            return False
        await asyncio.sleep(period_s)
    return True
