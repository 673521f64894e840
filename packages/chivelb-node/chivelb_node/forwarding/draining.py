"""Graceful shutdown: reject new requests, then wait for those running."""

import asyncio

from chivelb_node import context as context_lib
from chivelb_node.telemetry import logs

# Time for load balancers to take this instance out of rotation.
CONTINUE_SERVING_S = 2.5
POLL_S = 0.05
# Share of the grace period after which requests in progress are aborted.
GRACE_SHARE = 0.95
_log = logs.get_logger("draining")


async def drain(
    context: context_lib.InstanceContext, *, grace_s: float
) -> None:
    """Drains an instance that already reports itself as not ready.

    New requests are served while load balancers may still send them. After
    that they are rejected with an error which says that the request did not
    run. Responses in progress continue until the grace period is nearly over.

    Args:
        context: Shared state of the instance.
        grace_s: Grace period in seconds, after which the process is killed.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + grace_s * GRACE_SHARE
    await asyncio.sleep(min(CONTINUE_SERVING_S, grace_s / 2))
    context.rejecting_requests = True
    _log.info("rejecting new requests", in_progress=context.in_progress)
    # Load balancers may have sent requests until just now. While the process
    # runs they get an error response instead of a TCP reset.
    await asyncio.sleep(min(CONTINUE_SERVING_S, grace_s / 2) / 2)
    while context.in_progress and loop.time() < deadline:
        await asyncio.sleep(POLL_S)
    if context.in_progress:
        # ``cut`` is the number of aborted requests.
        _log.warning("aborting requests in progress", cut=context.in_progress)
