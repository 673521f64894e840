"""Polling of the instances of a fleet, and requests to their operator API."""

import asyncio
import time
from typing import Any

import aiohttp
import msgspec

START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
OPERATOR_KEY = "lab-operator-key"


async def wait_for(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Polls an async condition until it returns a true value.

    Args:
        condition: Called without arguments; returns an awaitable.
        what: Description of the condition, for the error message.
        timeout_s: Longest wait in seconds.

    Returns:
        The first true value.

    Raises:
        TimeoutError: The condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = await condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise TimeoutError(f"timed out waiting for {what}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Returns whether an instance replies that it is ready."""
    try:
        async with session.get(f"{url}/ready") as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def operator_get(
    session: aiohttp.ClientSession, url: str, path: str
) -> Any | None:
    """Sends a GET request to the operator API.

    Returns:
        The decoded response; None when the request fails.
    """
    headers = {"X-Operator-Key": OPERATOR_KEY}
    try:
        async with session.get(f"{url}{path}", headers=headers) as response:
            if response.status != 200:
                return None
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError):
        return None


async def operator_post(
    session: aiohttp.ClientSession, url: str, path: str, body: Any
) -> tuple[int, Any]:
    """Sends a POST request to the operator API.

    Returns:
        HTTP status and decoded response.
    """
    headers = {"X-Operator-Key": OPERATOR_KEY}
    async with session.post(
        f"{url}{path}", data=msgspec.json.encode(body), headers=headers
    ) as response:
        return response.status, msgspec.json.decode(await response.read())
