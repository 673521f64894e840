"""Runs a stand-in's HTTP server until it is told to stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import signal

from aiohttp import web


async def serve(
    app: web.Application,
    host: str,
    port: int,
    started: Callable[[int], list[Awaitable]],
    *,
    as_json: bool = False,
) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        app: The routes.
        host: Address to listen on.
        port: Port; 0 takes a free one.
        started: Called with the port; returns what runs beside the server.
        as_json: Whether the address is printed as JSON.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=512, shutdown_timeout=0.2)
    await site.start()
    actual = site._server.sockets[0].getsockname()[1]
    address = f"{host}:{actual}"
    shown = json.dumps({"listening": address}) if as_json else address
    print(f"listening on {shown}" if not as_json else shown, flush=True)
    tasks = [asyncio.ensure_future(item) for item in started(actual)]
    await stop.wait()
    for task in tasks:
        task.cancel()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            await runner.cleanup()
