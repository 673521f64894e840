"""Runs the HTTP server of a simulated target until a stop signal."""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import signal
from typing import Any
from typing import Protocol

from aiohttp import web
import msgspec


class SimulatedTarget(Protocol):
    """A target that ``run_target`` serves."""

    def app(self) -> web.Application:
        """Returns the application with all routes."""

    def background_tasks(self, port: int) -> list[Awaitable]:
        """Returns the coroutines to run alongside the server on a port."""


def run_target(
    create: Callable[[argparse.Namespace], SimulatedTarget],
    arguments: argparse.Namespace,
) -> int:
    """Runs a simulated target until a stop signal.

    Args:
        create: Creates the target, in the event loop that serves it.
        arguments: Command-line arguments with the address to listen on.

    Returns:
        Exit code of the process.
    """

    async def main() -> None:
        target = create(arguments)
        await serve(
            target.app(),
            arguments.host,
            arguments.port,
            target.background_tasks,
            as_json=arguments.json,
        )

    asyncio.run(main())
    return 0


def json_response(value: Any) -> web.Response:
    """Returns a response with a value encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


async def serve(
    app: web.Application,
    host: str,
    port: int,
    background_tasks: Callable[[int], list[Awaitable]],
    *,
    as_json: bool = False,
) -> None:
    """Serves an application until SIGTERM or SIGINT.

    Args:
        app: The application.
        host: Address to listen on.
        port: Port; 0 selects a free one.
        background_tasks: Called with the port once the server listens;
            returns the coroutines to run alongside the server.
        as_json: Whether the address is printed as JSON.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=512, shutdown_timeout=0.2)
    await site.start()
    bound_port = site._server.sockets[0].getsockname()[1]
    address = f"{host}:{bound_port}"
    output = json.dumps({"listening": address}) if as_json else address
    print(f"listening on {output}" if not as_json else output, flush=True)
    tasks = [
        asyncio.ensure_future(item) for item in background_tasks(bound_port)
    ]
    await stop.wait()
    for task in tasks:
        task.cancel()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            await runner.cleanup()
