"""The HTTP server: routes, health checks, metrics, graceful shutdown."""

import asyncio

from aiohttp import web
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import connections
from chivelb_node.edge import port_limits
from chivelb_node.forwarding import draining
from chivelb_node.telemetry import logs

# Maximum size of the request line and of each header field, for ``chivelbd``.
MAX_LINE_BYTES = 8_190
KEEPALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 0.5
_log = logs.get_logger("server")


class HttpServer(mode.Service):
    """HTTP server of an instance.

    Attributes:
        context: Shared state of the instance.
        app: The application with all routes.
        port: Port that it listens on; 0 before the start.
    """

    def __init__(
        self, context: context_lib.InstanceContext, handlers: list
    ) -> None:
        """Creates the server.

        Args:
            context: Shared state of the instance.
            handlers: Objects whose ``add_routes`` adds their routes.
        """
        super().__init__()
        self.context = context
        self.app = web.Application(
            middlewares=[self._close_when_draining],
            client_max_size=0,
        )
        self.app.router.add_get("/live", self.live)
        self.app.router.add_get("/ready", self.ready)
        self.app.router.add_get("/metrics", self.metrics)
        for handler in handlers:
            handler.add_routes(self.app)
        self.port = 0
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None

    @web.middleware
    async def _close_when_draining(self, request, handler):
        response = await handler(request)
        if self.context.draining and not response.prepared:
            response.force_close()
        return response

    async def live(self, request: web.Request) -> web.Response:
        """Serves ``GET /live``: the liveness check."""
        return web.Response(text="live\n")

    async def ready(self, request: web.Request) -> web.Response:
        """Serves ``GET /ready``: the readiness check for load balancers."""
        if self.context.ready and not self.context.draining:
            return web.Response(text="ready\n")
        reason = "stopping" if self.context.draining else "no document"
        return web.Response(status=503, text=f"{reason}\n")

    async def metrics(self, request: web.Request) -> web.Response:
        """Serves ``GET /metrics``."""
        return web.Response(
            body=self.context.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )

    async def on_start(self) -> None:
        """Starts listening."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self.context.list_transports = lambda: [
            connection.transport
            for connection in self._runner.server.connections
        ]
        self._listener = await port_limits.listen(
            connections.limit_server(
                self._runner.server,
                port_limits.make_port_limits(self.context, "http"),
                auto_decompress=True,
                max_line_size=MAX_LINE_BYTES,
                max_field_size=MAX_LINE_BYTES,
                keepalive_timeout=KEEPALIVE_S,
            ),
            self.context.settings.http.listen,
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        _log.info("listening", port=self.port)

    async def drain(self) -> None:
        """Shuts down gracefully; all requests in progress are answered.

        The readiness check fails first. New requests are still served while
        the load balancer may send them. Then the socket is closed, requests on
        open connections are rejected, and those in progress are awaited until
        the process would be killed.
        """
        http = self.context.settings.http
        self.context.begin_stop(
            serving_s=http.drain_grace_s, grace_s=http.stop_grace_s
        )
        _log.info("draining", in_progress=self.context.in_progress)
        starts_until = self.context.stop.starts_until
        await asyncio.sleep(starts_until - context_lib.monotonic())
        self._listener.close()
        await draining.wait_for_requests(self.context)
        _log.info("drained")

    async def on_stop(self) -> None:
        """Closes the remaining connections."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()
