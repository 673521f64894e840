"""Serves Prometheus metrics on a separate address."""

import asyncio

from aiohttp import web
import mode

from chivelb_node.edge import connections
from chivelb_node.edge import port_limits
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

PORT_NAME = "metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"
_log = logs.get_logger("exposition")


class MetricsServer(mode.Service):
    """HTTP server for the metrics endpoint.

    Attributes:
        metrics: Metrics to serve.
        listen: ``host:port``.
        limits: Limits of its connections.
        port: Port that it listens on; 0 before the start.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        *,
        listen: str,
        limits: port_limits.PortLimits | None = None,
    ) -> None:
        """Creates the service.

        Args:
            metrics: Metrics to serve.
            listen: ``host:port``.
            limits: Limits of its connections; None for the default ones.
        """
        super().__init__()
        self.limits = limits or port_limits.make_detached_limits(
            metrics, PORT_NAME
        )
        self.metrics = metrics
        self.listen = listen
        self.port = 0
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Starts listening; a failure to bind is logged, not raised."""
        factory = connections.limit_server(
            web.Server(self.render, access_log=None),
            self.limits,
            keepalive_timeout=port_limits.MONITOR_IDLE_S,
        )
        try:
            self._server = await port_limits.listen(factory, self.listen)
        except OSError as error:
            _log.error(
                "cannot serve metrics", listen=self.listen, error=str(error)
            )
            return
        self.port = self._server.sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._server is not None:
            self._server.close()

    async def render(self, request: web.BaseRequest) -> web.Response:
        """Serves all metrics in the Prometheus text format."""
        return web.Response(
            body=self.metrics.render(), headers={"Content-Type": CONTENT_TYPE}
        )
