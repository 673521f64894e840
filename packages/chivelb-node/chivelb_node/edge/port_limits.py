"""Limits that all connections of one listening port share."""

import asyncio
from collections.abc import Callable
import os
import random
import resource
import socket
from typing import Protocol

from aiohttp import web
from chivelb_core import byte_budget
from chivelb_core import document

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib
from chivelb_node.telemetry import refusals

LISTEN_BACKLOG = 1_024
# Connections that are accepted at a time. Those above the limit are open until
# they are refused, which takes several rounds of the event loop.
ACCEPT_BATCH = 8
# Share of the descriptors of the process for connections of clients.
CONNECTION_FDS_SHARE = 0.5
# Limit without one on descriptors.
MAX_CONNECTIONS = 16_384
# Connections of load balancers and of readers of metrics, at each port.
MAX_MONITOR_CONNECTIONS = 32
# Time for which a connection to such a port may stay idle.
MONITOR_IDLE_S = 75.0
# Idle connections that are looked at to find one to close.
MAX_EVICTION_CHECKS = 16
_log = logs.get_logger("port-limits")


class IdleConnection(Protocol):
    """A connection that may be closed in favour of another."""

    def is_idle(self) -> bool:
        """Returns whether no request is in progress and no answer unsent."""

    def evict(self) -> None:
        """Closes it."""


class PortLimits:
    """Limits of the connections of one port, and the connections.

    Attributes:
        port: Name of the port in logs and metrics.
        max_connections: Maximum number of connections.
        unread_response_s: Time after which a connection closes whose client
            reads nothing of a response, in seconds.
        buffers: Budget for what the process buffers.
        get_limits: Returns the limits of the document in force.
        rng: Source of randomness.
        metrics: Metrics of the instance.
        count: Number of connections.
    """

    def __init__(
        self,
        port: str,
        *,
        max_connections: int,
        unread_response_s: float,
        buffers: byte_budget.ByteBudget,
        get_limits: Callable[[], document.Limits],
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Creates the limits of a port without connections."""
        self.port = port
        self.max_connections = max_connections
        self.unread_response_s = unread_response_s
        self.buffers = buffers
        self.get_limits = get_limits
        self.rng = rng
        self.metrics = metrics
        self.count = 0
        # Connections that have had no request yet, and those that wait for
        # their next one; the longest first.
        self._fresh: dict[IdleConnection, None] = {}
        self._idle: dict[IdleConnection, None] = {}
        self._refusals = refusals.RefusalLog(_log, "client refused")
        self._gauge = metrics.open_connections.labels(port)

    def admit(self, connection: IdleConnection) -> bool:
        """Adds a connection; returns False if there are too many.

        One that is idle is closed in favour of the new one, first of those
        that have had no request.
        """
        self._count(1)
        is_admitted = self.count <= self.max_connections or self._evict_idle()
        self._fresh[connection] = None
        return is_admitted

    def _evict_idle(self) -> bool:
        for connections in (self._fresh, self._idle):
            for connection in list(connections)[:MAX_EVICTION_CHECKS]:
                del connections[connection]
                if connection.is_idle():
                    self.metrics.refused_clients.labels(
                        self.port, "idle_evicted"
                    ).inc()
                    connection.evict()
                    return True
                # It is looked at again after all others.
                connections[connection] = None
        return False

    def mark_busy(self, connection: IdleConnection) -> None:
        """Records that a request of a connection is in progress."""
        self._fresh.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: IdleConnection) -> None:
        """Records that a connection waits for its next request."""
        self._idle[connection] = None

    def remove(self, connection: IdleConnection) -> None:
        """Removes a connection that is closed."""
        self.mark_busy(connection)
        self._count(-1)

    def _count(self, change: int) -> None:
        self.count += change
        self._gauge.set(self.count)

    def record_refusal(self, source: str, reason: str, detail: str) -> None:
        """Counts a refusal, and logs the first one of a source and reason.

        Args:
            source: Host of the client.
            reason: Name of the limit.
            detail: What exceeded it.
        """
        self.metrics.refused_clients.labels(self.port, reason).inc()
        self._refusals.record(
            f"{source} {reason}", detail, port=self.port, limit=reason
        )


def make_port_limits(
    context: context_lib.InstanceContext, port: str
) -> PortLimits:
    """Returns the limits of a port of callers, targets or operators."""
    return _make_limits(context, port, _max_connections(context.settings.http))


def make_monitor_limits(
    context: context_lib.InstanceContext, port: str
) -> PortLimits:
    """Returns the limits of a port for readiness checks or metrics.

    It has connections of its own: readiness checks must be answered while
    callers use up theirs.
    """
    http = context.settings.http
    return _make_limits(
        context, port, min(MAX_MONITOR_CONNECTIONS, _max_connections(http))
    )


def _make_limits(
    context: context_lib.InstanceContext, port: str, max_connections: int
) -> PortLimits:
    return PortLimits(
        port,
        max_connections=max_connections,
        unread_response_s=context.settings.http.unread_response_s,
        buffers=context.buffers,
        get_limits=lambda: context.document.limits,
        rng=context.rng,
        metrics=context.metrics,
    )


def make_detached_limits(metrics: metrics_lib.Metrics, port: str) -> PortLimits:
    """Returns the default limits of a port without an instance."""
    http = settings_lib.Http()
    return PortLimits(
        port,
        max_connections=MAX_MONITOR_CONNECTIONS,
        unread_response_s=http.unread_response_s,
        buffers=byte_budget.ByteBudget(
            http.buffer_bytes, stalled_s=http.stalled_body_s
        ),
        get_limits=document.Limits,
        rng=random.Random(),
        metrics=metrics,
    )


def _max_connections(http: settings_lib.Http) -> int:
    if http.max_connections:
        return http.max_connections
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    limit = int(descriptors * CONNECTION_FDS_SHARE)
    return max(1, min(MAX_CONNECTIONS, limit))


async def listen(
    factory: Callable[[], asyncio.Protocol] | web.Server, address: str
) -> asyncio.Server:
    """Opens a listening socket.

    Args:
        factory: Returns the protocol of a new connection.
        address: ``host:port``.

    Raises:
        OSError: The address can't be used.
    """
    host, port = settings_lib.split_address(address)
    loop = asyncio.get_running_loop()
    # The event loop accepts as many connections at a time as its backlog has.
    server = await loop.create_server(factory, host, port, backlog=ACCEPT_BATCH)
    for sock in server.sockets:
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            duplicate.listen(LISTEN_BACKLOG)
    return server
