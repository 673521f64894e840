"""Minimal reverse proxy: baseline for the cost of a hop through aiohttp."""

import argparse
import asyncio

import aiohttp
from aiohttp import web

from chivelb_cli.lab import serving


class ReverseProxy:
    """Forwards every request to one upstream server, and nothing else.

    Attributes:
        upstream: Base URL of the server.
    """

    def __init__(self, upstream: str) -> None:
        """Creates a proxy; the first request opens the client session.

        Args:
            upstream: Base URL of the server.
        """
        self.upstream = upstream
        self._session: aiohttp.ClientSession | None = None

    async def forward(self, request: web.Request) -> web.StreamResponse:
        """Forwards a request and streams the response back chunk by chunk."""
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
        ) as upstream_response:
            response = web.StreamResponse(status=upstream_response.status)
            response.content_type = upstream_response.content_type
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


def run(arguments: argparse.Namespace) -> int:
    """Runs the proxy, ``chivelb bench forwarder``, until it is interrupted.

    Args:
        arguments: Parsed arguments with ``port`` and ``upstream``.

    Returns:
        The exit status.
    """

    async def main() -> None:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route(
            "*", "/{path:.*}", ReverseProxy(arguments.upstream).forward
        )
        await serving.serve(app, "127.0.0.1", arguments.port, lambda port: [])

    asyncio.run(main())
    return 0
