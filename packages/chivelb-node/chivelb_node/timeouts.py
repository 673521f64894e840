"""Waits that end at a time-out."""

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Waits for an event, at most for a time in seconds.

    Returns:
        Whether the event is set.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
