"""Simulated weight store with limited bandwidth."""

import argparse
import asyncio
import time

from aiohttp import web
import msgspec

from chivelb_cli.lab import serving


class WeightStore:
    """A simulated weight store process.

    Attributes:
        active_loads: Number of loads in progress.
        peak_active_loads: Highest number of concurrent loads so far.
        loaded_versions: Weight versions loaded, in order of completion.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an idle store."""
        self.arguments = arguments
        self.active_loads = 0
        self.peak_active_loads = 0
        self.loaded_versions: list[str] = []

    def app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application()
        app.router.add_get("/weights/{version}", self.load)
        app.router.add_get("/admin/state", self.state)
        return app

    async def load(self, request: web.Request) -> web.Response:
        """Serves weights.

        Loads slow down in proportion when more than ``--at-once`` run
        concurrently.
        """
        if request.match_info["version"] in self.arguments.missing:
            return web.Response(status=404, text="weight version not found\n")
        self.active_loads += 1
        self.peak_active_loads = max(self.peak_active_loads, self.active_loads)
        try:
            remaining_s = self.arguments.load_s
            last_checked_at = time.monotonic()
            while remaining_s > 0:
                await asyncio.sleep(0.02)
                now = time.monotonic()
                slowdown = max(1.0, self.active_loads / self.arguments.at_once)
                remaining_s -= (now - last_checked_at) / slowdown
                last_checked_at = now
        finally:
            self.active_loads -= 1
        self.loaded_versions.append(request.match_info["version"])
        return web.Response(text="weights\n")

    async def state(self, request: web.Request) -> web.Response:
        """Serves the completed loads, for tests."""
        return web.Response(
            body=msgspec.json.encode(
                {
                    "most_at_once": self.peak_active_loads,
                    "loads": self.loaded_versions,
                }
            ),
            content_type="application/json",
        )


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab weights``."""

    async def main() -> None:
        store = WeightStore(arguments)
        await serving.serve(
            store.app(), arguments.host, arguments.port, lambda port: []
        )

    asyncio.run(main())
    return 0
