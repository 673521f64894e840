"""A planned stop: serve on, then refuse, then end what is in progress."""

import asyncio

from chivelb_node import context as context_lib
from chivelb_node.telemetry import logs

# The balancer has taken this instance out of rotation by then.
SERVE_ON_S = 2.5
POLL_S = 0.05
# Part of the grace after which what is still in progress is cut.
LAST_SHARE = 0.95
_log = logs.get_logger("draining")


async def drain(
    context: context_lib.InstanceContext, *, grace_s: float
) -> None:
    """Stops an instance that is not ready any more, within a grace.

    New requests are served while the balancer may still send them, and
    refused as not run after that; answers in progress go on.

    Args:
        context: Aggregates of the instance.
        grace_s: Seconds until the process is killed.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + grace_s * LAST_SHARE
    await asyncio.sleep(min(SERVE_ON_S, grace_s / 2))
    context.closed = True
    _log.info("refusing new requests", in_progress=context.in_progress)
    # Callers whose connections cross the end see a refusal, not a reset.
    await asyncio.sleep(min(SERVE_ON_S, grace_s / 2) / 2)
    while context.in_progress and loop.time() < until:
        await asyncio.sleep(POLL_S)
    if context.in_progress:
        _log.warning("cutting requests", cut=context.in_progress)
