"""Shares the origins of streams with the instances that may continue them.

Origins are shared only while the targets of a route differ in service or
software version, or did until recently; otherwise there is one origin that a
stream can have.
"""

import asyncio
from collections.abc import Iterator
import itertools

from chivelb_core import forwarding
from chivelb_core.forwarding import stream_origins
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

# Origins are collected for this long and then sent in one message.
SHARE_DELAY_S = 0.1
REQUEST_TIMEOUT_S = 0.25
# Versions of targets are looked at again after this time.
OBSERVATION_PERIOD_S = 0.25
# Streams of a version that ended longer ago are not taken up any more.
RECENT_VERSIONS_S = 60.0
# A stream may be taken up for some time after the deadline of its first
# attempt, which its caller counts from another moment.
EXPIRY_MARGIN_S = 2.0
_log = logs.get_logger("stream-origins")


class StreamOrigins(mode.Service):
    """Records, shares and finds the origins of streams.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        table: Known origins.
        serving: Software versions of the targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.table = stream_origins.OriginTable()
        self.serving = stream_origins.ServingVersions()
        self._observed_at = float("-inf")
        self._mixed_services: set[str] = set()
        self._to_share: list[stream_origins.RecordedOrigin] = []
        self._has_origins_to_share = asyncio.Event()
        hub.register_handler(messages.StreamStarts, self._on_stream_starts)
        hub.register_handler(messages.StreamOriginRequest, self._on_request)

    # Streams of this instance.

    def record(
        self, call: forwarding.Call, origin: stream_origins.StreamOrigin
    ) -> None:
        """Records what began the stream of a call, and shares it if needed."""
        now = context_lib.monotonic()
        recorded = stream_origins.RecordedOrigin(
            stream_origins.origin_key(call.workspace, call.request_id),
            origin,
            call.deadline + EXPIRY_MARGIN_S,
        )
        self.table.add(recorded, now)
        self.serving.note(origin, now)
        self._observe_targets(now)
        if call.route.resumable and self._is_ambiguous(call, now):
            self._share(recorded)

    def _share(self, *recorded: stream_origins.RecordedOrigin) -> None:
        self._to_share.extend(recorded)
        self._has_origins_to_share.set()

    def _is_ambiguous(self, call: forwarding.Call, now: float) -> bool:
        """Returns whether a stream of a call's route has several origins."""
        return len(self._possible_origins(call, now)) > 1

    def _possible_origins(
        self, call: forwarding.Call, now: float
    ) -> list[stream_origins.StreamOrigin]:
        earliest = now - call.route.timeout_s - EXPIRY_MARGIN_S
        return [
            stream_origins.StreamOrigin(share.service, version)
            for share in call.route.split
            for version in self.serving.since(share.service, earliest)
        ]

    def _observe_targets(self, now: float) -> None:
        if now - self._observed_at < OBSERVATION_PERIOD_S:
            return
        self._observed_at = now
        self.serving.observe(self.context.targets.entries.values(), now)
        self._share_of_newly_mixed_services(now)

    def _share_of_newly_mixed_services(self, now: float) -> None:
        """Shares earlier streams of services that have a second version now."""
        earliest = now - RECENT_VERSIONS_S
        mixed = {
            service
            for service in self.serving.last_seen
            if len(self.serving.since(service, earliest)) > 1
        }
        for service in mixed - self._mixed_services:
            recorded = list(self.table.of_service(service, now))
            self._share(*recorded)
            _log.info(
                "service has several software versions",
                service=service,
                versions=self.serving.since(service, earliest),
                streams=len(recorded),
            )
        self._mixed_services = mixed

    @mode.Service.task
    async def _share_origins(self) -> None:
        while not self.should_stop:
            await self.wait(self._has_origins_to_share)
            await self.sleep(SHARE_DELAY_S)
            self.send_collected()

    def send_collected(self) -> None:
        """Sends the collected origins to the instances that keep them."""
        self._has_origins_to_share.clear()
        collected, self._to_share = self._to_share, []
        now = context_lib.monotonic()
        peers = stream_origins.keepers(
            self.hub.local_name,
            self.context.settings.instance.zone,
            self._entries_by_zone(),
        )
        if collected and peers:
            self.hub.broadcast(peers, _encode_starts(collected, now))

    def _entries_by_zone(self) -> dict[str, list[str]]:
        """Returns the other live entry instances of the region, by zone."""
        members = self.gossip.swim.members
        entries: dict[str, list[str]] = {}
        for name in self.gossip.peers_in_region():
            if not self.gossip.is_control_instance(name):
                zone = members[name].member.zone
                entries.setdefault(zone, []).append(name)
        return entries

    # Streams that callers take up.

    async def find(self, call: forwarding.Call) -> stream_origins.Finding:
        """Returns what began the stream that the caller of a call takes up.

        Without a record of it, a stream can still have only one origin if all
        targets of the call's service have one software version.
        """
        now = context_lib.monotonic()
        self._observe_targets(now)
        finding = await self._find_record(call, now)
        if finding is not None:
            return finding
        possible = [
            origin
            for origin in self._possible_origins(call, now)
            if origin.service == call.service
        ]
        if len(possible) > 1:
            return stream_origins.Finding(None, "unknown")
        only = stream_origins.StreamOrigin(call.service, "")
        return stream_origins.Finding(
            possible[0] if possible else only, "only version"
        )

    async def _find_record(
        self, call: forwarding.Call, now: float
    ) -> stream_origins.Finding | None:
        if not call.resumes:
            return None
        key = stream_origins.origin_key(call.workspace, call.resumes)
        origin = self.table.find(key, now)
        if origin is not None:
            return stream_origins.Finding(origin, "own")
        if not self._is_ambiguous(call, now):
            return None
        origin = await self._ask_peers(key)
        return (
            None if origin is None else stream_origins.Finding(origin, "peer")
        )

    async def _ask_peers(
        self, key: bytes
    ) -> stream_origins.StreamOrigin | None:
        """Returns the first origin that a peer knows, or None."""
        peers = itertools.chain(*self._entries_by_zone().values())
        request = messages.StreamOriginRequest(key)
        replies = asyncio.as_completed(
            [
                asyncio.ensure_future(
                    self.hub.request(peer, request, REQUEST_TIMEOUT_S)
                )
                for peer in peers
            ]
        )
        for next_reply in replies:
            reply = await next_reply
            if reply is not None and reply.is_known:
                return stream_origins.StreamOrigin(
                    reply.service, reply.software_version
                )
        return None

    # Messages from peers.

    def _on_stream_starts(
        self, peer: str, message: messages.StreamStarts
    ) -> None:
        now = context_lib.monotonic()
        for start in message.starts:
            origin = stream_origins.StreamOrigin(
                start.service, start.software_version
            )
            for key in _split_keys(start.keys):
                recorded = stream_origins.RecordedOrigin(
                    key, origin, now + start.keep_s
                )
                self.table.add(recorded, now)

    def _on_request(
        self, peer: str, message: messages.StreamOriginRequest
    ) -> messages.StreamOriginReply:
        origin = self.table.find(message.key, context_lib.monotonic())
        if origin is None:
            return messages.StreamOriginReply(False, "", "")
        return messages.StreamOriginReply(
            True, origin.service, origin.software_version
        )


def _encode_starts(
    recorded: list[stream_origins.RecordedOrigin], now: float
) -> messages.StreamStarts:
    by_origin: dict[
        stream_origins.StreamOrigin, list[stream_origins.RecordedOrigin]
    ] = {}
    for each in recorded:
        by_origin.setdefault(each.origin, []).append(each)
    return messages.StreamStarts(
        [
            messages.StreamStart(
                origin.service,
                origin.software_version,
                max(each.expires_at for each in members) - now,
                b"".join(each.key for each in members),
            )
            for origin, members in by_origin.items()
        ]
    )


def _split_keys(keys: bytes) -> Iterator[bytes]:
    size = stream_origins.KEY_BYTES
    for start in range(0, len(keys) - size + 1, size):
        yield keys[start : start + size]
