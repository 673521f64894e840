"""Makes attempts for peers that have no path to a target."""

import asyncio
from collections.abc import Callable

from chivelb_core import byte_budget
from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.document import model as model_lib
from chivelb_core.document import regions as regions_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import request_bodies
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_channel
from chivelb_node.forwarding import source_links
from chivelb_node.telemetry import logs
from chivelb_node.wire import relay_messages

# Attempts made for peers at a time; each holds a connection to a target.
MAX_IN_PROGRESS = 256
# A peer sends its whole request at once.
REQUEST_TIMEOUT_S = 5.0
_log = logs.get_logger("relays")


class RelayServer:
    """Serves the channels on which peers ask for attempts.

    It sends only to targets that this instance knows and reaches by itself,
    so that a request takes one hop at most.

    Attributes:
        context: Shared state of the instance.
        target_port: Sends requests to targets, with connections of this
            instance.
        check_reachability: Called with a target to which no connection could
            be opened.
        in_progress: Number of attempts in progress.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        target_port: ports.TargetPort,
        *,
        check_reachability: Callable[[targets.TargetRecord], None],
    ) -> None:
        """Creates the server."""
        self.check_reachability = check_reachability
        self.context = context
        self.target_port = target_port
        self.in_progress = 0

    async def serve(self, channel: relay_channel.ChannelPort) -> None:
        """Serves one channel until it ends, and closes it.

        The attempt ends with the channel: the peer closes it when its caller
        has left or its deadline has passed.
        """
        self.context.in_progress += 1
        self.in_progress += 1
        charge = self.context.buffers.open()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await channel.receive()
            if isinstance(request, relay_messages.RelayRequest):
                await self._serve_request(channel, request, charge)
        except (OSError, TimeoutError):
            # The peer has gone or is silent; there is nobody to answer.
            pass
        finally:
            channel.close()
            charge.close()
            self.in_progress -= 1
            self.context.in_progress -= 1

    async def _serve_request(
        self,
        channel: relay_channel.ChannelPort,
        request: relay_messages.RelayRequest,
        charge: byte_budget.Charge,
    ) -> None:
        route = self.context.document.routes.get(request.route)
        entry = self.context.targets.entries.get(request.identity)
        record = None if entry is None else entry.record
        refusal = self._refusal(request, route, record)
        if refusal is None and not charge.try_add(
            request.body_bytes * request_bodies.FORWARDED_COPIES,
            context_lib.monotonic(),
        ):
            refusal = relay_messages.RelayRefusal("buffers full", "all")
        if refusal is not None:
            self._log_end(channel, request, refusal.reason)
            await channel.send(refusal)
            return
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            attempt = await relay_channel.receive_attempt(
                channel, request, route, record
            )
        if attempt is None:
            return
        # The target may have come to take none while the body was received.
        refusal = self._refusal(request, route, record)
        if refusal is not None:
            self._log_end(channel, request, refusal.reason)
            await channel.send(refusal)
            return
        self._drop_sources(attempt.assignment, self._regions(request, route))
        relay = asyncio.create_task(self._make_attempt(channel, attempt))
        # Nothing more is sent by the peer; this ends with the channel.
        closing = asyncio.create_task(channel.receive())
        try:
            await asyncio.wait(
                (relay, closing), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            closing.cancel()
            if not relay.done():
                relay.cancel()
        result = await _result(relay)
        self._log_end(channel, request, result)

    def _refusal(
        self,
        request: relay_messages.RelayRequest,
        route: model_lib.Route | None,
        record: targets.TargetRecord | None,
    ) -> relay_messages.RelayRefusal | None:
        """Returns why an attempt can't be made here; None if it can."""
        now = context_lib.monotonic()
        if self.context.draining or not self.context.ready:
            return relay_messages.RelayRefusal("not serving", "all")
        if self.in_progress > MAX_IN_PROGRESS:
            return relay_messages.RelayRefusal("too many in progress", "all")
        if route is None or record is None:
            return relay_messages.RelayRefusal(
                "unknown route or target", "target"
            )
        if record.incarnation != request.incarnation:
            return relay_messages.RelayRefusal("another incarnation", "target")
        # The peer has decided when to send to a cold target.
        if not self.context.targets.is_eligible(
            record.identity, now, ignores_cold=True
        ):
            return relay_messages.RelayRefusal("target takes none", "target")
        services = [share.service for share in route.split]
        if record.service not in services:
            return relay_messages.RelayRefusal(
                "not a target of the route", "target"
            )
        regions = self._regions(request, route)
        if not self.context.allows_zone(regions, record.zone):
            return relay_messages.RelayRefusal("region not allowed", "target")
        if self.context.targets.is_unreachable(record.identity):
            return relay_messages.RelayRefusal(relay_messages.NO_PATH, "target")
        if self.context.is_unreachable(record, now):
            return relay_messages.RelayRefusal(
                relay_messages.NO_PATH, "service"
            )
        return None

    def _regions(
        self, request: relay_messages.RelayRequest, route: model_lib.Route
    ) -> frozenset[str] | None:
        """Returns the regions that a request may use; None for all."""
        return regions_lib.call_regions(
            self.context.document, route, relay_channel.workspace_of(request)
        )

    def _drop_sources(
        self, assignment: ports.Assignment, regions: frozenset[str] | None
    ) -> None:
        """Removes sources that the peer may not know to be ruled out."""
        assignment.fetch_addresses = source_links.permitted_addresses(
            self.context, assignment.fetch_addresses, regions
        )
        assignment.save_addresses = source_links.permitted_addresses(
            self.context, assignment.save_addresses, regions
        )

    async def _make_attempt(
        self,
        channel: relay_channel.ChannelPort,
        attempt: relay_channel.Attempt,
    ) -> str:
        """Makes an attempt and returns how it ended, for logs."""
        record = attempt.assignment.record
        reach = self.context.reach
        now = context_lib.monotonic()
        try:
            reply = await self.target_port.send(
                attempt.call, attempt.message, attempt.assignment
            )
        except calls.AttemptError as error:
            if error.outcome.code is codes.TARGET_UNREACHABLE:
                reach.record_failure(record.service, record.identity, now)
                self.check_reachability(record)
                await channel.send(
                    relay_messages.RelayRefusal(
                        relay_messages.NO_PATH, "target"
                    )
                )
            else:
                await channel.send(relay_channel.encode_outcome(error.outcome))
            return error.outcome.detail
        reach.record_reached(record.service, record.identity, now)
        try:
            await relay_channel.send_response(channel, reply)
        except calls.AttemptError as error:
            await channel.send(relay_channel.encode_outcome(error.outcome))
            return error.outcome.detail
        finally:
            reply.close()
        return "complete"

    def _log_end(
        self,
        channel: relay_channel.ChannelPort,
        request: relay_messages.RelayRequest,
        result: str,
    ) -> None:
        kind = "complete" if result == "complete" else "failed"
        self.context.metrics.relayed.labels("in", kind).inc()
        _log.info(
            "relay ended",
            request_id=request.request_id,
            peer=channel.peer,
            target=request.identity,
            result=result,
        )


async def _result(relay: asyncio.Task) -> str:
    try:
        return await relay
    except asyncio.CancelledError:
        if not relay.cancelled():
            raise
        return "given up by the peer"
    except OSError as error:
        return f"channel lost: {error}"
