"""Watches the services of a program for crashes."""

import asyncio
from collections.abc import Iterable

import mode

from chivelb_node.telemetry import logs

CRASH_POLL_S = 0.2
_log = logs.get_logger("program")


async def wait_for_stop(
    stop_requested: asyncio.Event, services: Iterable[mode.Service]
) -> bool:
    """Waits until a stop is requested or a task of a service has failed.

    The state of a crashed service is unknown: the program should exit and
    leave the restart to its supervisor.

    Args:
        stop_requested: Set when the program is asked to stop.
        services: Services of the program.

    Returns:
        True if a stop was requested, False if a service crashed first.
    """
    crash = asyncio.create_task(_wait_for_crash(list(services)))
    stop = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({crash, stop}, return_when=asyncio.FIRST_COMPLETED)
    if crash.done():
        _log.error("service crashed; exiting", service=crash.result())
    crash.cancel()
    stop.cancel()
    return stop_requested.is_set()


async def _wait_for_crash(services: list[mode.Service]) -> str:
    """Returns the type of the first service that is found crashed."""
    while True:
        for service in services:
            if service.crashed:
                return type(service).__name__
        await asyncio.sleep(CRASH_POLL_S)
