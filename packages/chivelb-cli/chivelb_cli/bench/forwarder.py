"""A bare forwarder: what any hop through aiohttp costs, and no more."""

import argparse
import asyncio

import aiohttp
from aiohttp import web

from chivelb_cli.lab import serving


class Forwarder:
    """Passes every request on to one address.

    Attributes:
        upstream: Base URL.
    """

    def __init__(self, upstream: str) -> None:
        """Creates a forwarder."""
        self.upstream = upstream
        self._session: aiohttp.ClientSession | None = None

    async def forward(self, request: web.Request) -> web.StreamResponse:
        """Passes a request on and its answer back, chunk by chunk."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                auto_decompress=False,
                read_bufsize=262_144,
            )
        async with self._session.request(
            request.method,
            self.upstream + request.path_qs,
            data=await request.read(),
            headers=request.headers,
        ) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb bench forwarder``."""

    async def main() -> None:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route(
            "*", "/{path:.*}", Forwarder(arguments.upstream).forward
        )
        await serving.serve(app, "127.0.0.1", arguments.port, lambda port: [])

    asyncio.run(main())
    return 0
