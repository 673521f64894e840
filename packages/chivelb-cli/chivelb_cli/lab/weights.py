"""Stand-in for the rate-limited weight store."""

import argparse
import asyncio
import time

from aiohttp import web
import msgspec

from chivelb_cli.lab import serving


class WeightStore:
    """A weight store process.

    Attributes:
        loading: Loads in progress.
        most_at_once: Most loads that were in progress together.
        loads: Versions loaded, in order.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an idle store."""
        self.arguments = arguments
        self.loading = 0
        self.most_at_once = 0
        self.loads: list[str] = []

    def app(self) -> web.Application:
        """Returns the routes."""
        app = web.Application()
        app.router.add_get("/weights/{version}", self.load)
        app.router.add_get("/admin/state", self.state)
        return app

    async def load(self, request: web.Request) -> web.Response:
        """Serves weights; slower when too many load at once."""
        if request.match_info["version"] in self.arguments.missing:
            return web.Response(status=404, text="no such weights\n")
        self.loading += 1
        self.most_at_once = max(self.most_at_once, self.loading)
        try:
            left = self.arguments.load_s
            before = time.monotonic()
            while left > 0:
                await asyncio.sleep(0.02)
                now = time.monotonic()
                crowd = max(1.0, self.loading / self.arguments.at_once)
                left -= (now - before) / crowd
                before = now
        finally:
            self.loading -= 1
        self.loads.append(request.match_info["version"])
        return web.Response(text="weights\n")

    async def state(self, request: web.Request) -> web.Response:
        """Tells tests what was loaded."""
        return web.Response(
            body=msgspec.json.encode(
                {"most_at_once": self.most_at_once, "loads": self.loads}
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
