"""Simulated weight store with limited bandwidth."""

import argparse
import asyncio
import time

from aiohttp import web

from chivelb_cli.lab import serving


class WeightStore:
    """A simulated weight store process.

    Attributes:
        active_downloads: Number of downloads in progress.
        peak_active_downloads: Highest number of concurrent downloads so far.
        downloaded_versions: Weight versions, in order of completed downloads.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an idle store."""
        self.arguments = arguments
        self.active_downloads = 0
        self.peak_active_downloads = 0
        self.downloaded_versions: list[str] = []

    def app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application()
        app.router.add_get("/weights/{version}", self.download)
        app.router.add_get("/admin/state", self.state)
        return app

    async def download(self, request: web.Request) -> web.Response:
        """Serves weights.

        Downloads slow down in proportion when more than ``--at-once`` run
        concurrently.
        """
        version = request.match_info["version"]
        if version in self.arguments.missing:
            return web.Response(
                status=404, text=f"weight version {version} not found\n"
            )
        self.active_downloads += 1
        self.peak_active_downloads = max(
            self.peak_active_downloads, self.active_downloads
        )
        try:
            remaining_s = self.arguments.load_s
            last_checked_at = time.monotonic()
            while remaining_s > 0:
                await asyncio.sleep(0.02)
                now = time.monotonic()
                slowdown = max(
                    1.0, self.active_downloads / self.arguments.at_once
                )
                remaining_s -= (now - last_checked_at) / slowdown
                last_checked_at = now
        finally:
            self.active_downloads -= 1
        self.downloaded_versions.append(version)
        return web.Response(text="weights\n")

    async def state(self, request: web.Request) -> web.Response:
        """Serves the completed downloads, for tests.

        In the reply, ``loads`` are these downloads.
        """
        return serving.json_response(
            {
                "most_at_once": self.peak_active_downloads,
                "loads": self.downloaded_versions,
            }
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
