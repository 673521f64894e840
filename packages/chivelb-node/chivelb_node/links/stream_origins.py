"""Shares the origins of streams with the instances that may continue them.

Two entry instances keep the origin of each stream from its start: while one
software version serves, the instance that placed a stream can't know whether a
second one joins when it stands still. A control instance keeps it too while the
targets of a route differ in service or software version, or did until recently.
"""

import asyncio
from collections.abc import Iterator
import math

from chivelb_core import forwarding
from chivelb_core.forwarding import stream_origins
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import version_knowledge
from chivelb_node.storage import version_history
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

# Origins are collected for this long and then sent in one message.
SHARE_DELAY_S = 0.1
REQUEST_TIMEOUT_S = 0.25
# Links that were cut, or broke while an instance stood still, open again within
# this time; no question is repeated later.
ASK_FOR_S = 1.0
ASK_PAUSE_S = 0.1
# Versions of targets are looked at again after this time.
OBSERVATION_PERIOD_S = 0.25
# Streams of a version that ended longer ago are not taken up any more.
RECENT_VERSIONS_S = 60.0
# A stream may be taken up for some time after the deadline of its first
# attempt, which its caller counts from another moment.
EXPIRY_MARGIN_S = 2.0
HISTORY_PERIOD_S = 0.5
WATCH_PERIOD_S = 0.5
# An instance that has looked at no versions for longer stood still. What others
# told it meanwhile may be lost with its links.
MAX_WATCH_GAP_S = 3.0
_log = logs.get_logger("stream-origins")


class StreamOrigins(mode.Service):
    """Records, shares and finds the origins of streams.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        table: Known origins.
        serving: Software versions of the targets.
        watches_from: Monotonic time from which it has seen all versions that
            served, in seconds.
        history: Versions on disk; None at instances without one.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        *,
        history: version_history.VersionHistory | None = None,
    ) -> None:
        """Creates the service.

        Args:
            context: Shared state of the instance.
            hub: Links to peers.
            gossip: Membership.
            history: Versions that served before the start of this instance,
                on disk; None at instances without one.
        """
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.table = stream_origins.OriginTable()
        self.serving = stream_origins.ServingVersions()
        self.watches_from = context_lib.monotonic()
        self.history = history
        self._observed_at = float("-inf")
        self._mixed_services: set[str] = set()
        self._to_share: list[stream_origins.RecordedOrigin] = []
        self._to_share_with_control: list[stream_origins.RecordedOrigin] = []
        self._has_origins_to_share = asyncio.Event()
        hub.register_handler(messages.StreamStarts, self._on_stream_starts)
        hub.register_handler(messages.StreamOriginRequest, self._on_request)
        if history is not None:
            self._load_history()

    def _load_history(self) -> None:
        """Takes over what was known before the start of this instance.

        Its file holds all versions that served until then. At the first start
        of a whole system none have served.
        """
        known = self.history.written
        is_first_start = self.context.settings.control.start == "found"
        if known is None and not is_first_start:
            return
        now = self.watches_from
        for service, versions in (known or {}).items():
            for version in versions:
                origin = stream_origins.StreamOrigin(service, version)
                self.serving.note(origin, now)
        self.watches_from = float("-inf")

    # Streams of this instance.

    def record(
        self, call: forwarding.Call, origin: stream_origins.StreamOrigin
    ) -> None:
        """Records what began the stream of a call, and shares it if needed."""
        now = context_lib.monotonic()
        recorded = stream_origins.RecordedOrigin(
            stream_origins.origin_key(call.workspace or "", call.request_id),
            origin,
            call.deadline + EXPIRY_MARGIN_S,
            is_own=True,
        )
        self.table.add(recorded, now)
        self.serving.note(origin, now)
        self._observe_targets(now)
        if not call.route.resumable:
            return
        self._to_share.append(recorded)
        if self._is_ambiguous(call, now):
            self._to_share_with_control.append(recorded)
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
        self._check_watch_gap(now)
        self._observed_at = now
        self.serving.observe(self.context.targets.entries.values(), now)
        self._share_of_newly_mixed_services(now)

    def _check_watch_gap(self, now: float) -> None:
        """Notes that an instance that watches stood still, if it did."""
        gap_s = now - self._observed_at
        if self.history is None or not MAX_WATCH_GAP_S < gap_s < math.inf:
            return
        self.serving.extend(self._observed_at, now)
        self.watches_from = now
        _log.warning("versions not watched", gap_s=round(gap_s, 3))

    def _share_of_newly_mixed_services(self, now: float) -> None:
        """Shares earlier streams of services that have a second version now.

        Entry instances keep them already.
        """
        earliest = now - RECENT_VERSIONS_S
        mixed = {
            service
            for service in self.serving.last_seen
            if len(self.serving.since(service, earliest)) > 1
        }
        for service in mixed - self._mixed_services:
            recorded = list(self.table.own_of_service(service, now))
            if recorded:
                self._to_share_with_control.extend(recorded)
                self._has_origins_to_share.set()
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
            await self._has_origins_to_share.wait()
            await asyncio.sleep(SHARE_DELAY_S)
            self.send_collected()

    def send_collected(self) -> None:
        """Sends the collected origins to the instances that keep them."""
        self._has_origins_to_share.clear()
        for_entries, self._to_share = self._to_share, []
        for_control, self._to_share_with_control = (
            self._to_share_with_control,
            [],
        )
        entries = stream_origins.keepers(
            self.hub.local_name,
            self.context.settings.instance.zone,
            self._entries_by_zone(),
        )
        control_instances = stream_origins.control_keepers(
            self.hub.local_name, self._live_control_instances()
        )
        self._send_origins(entries, for_entries)
        self._send_origins(control_instances, for_control)

    def _send_origins(
        self, peers: list[str], recorded: list[stream_origins.RecordedOrigin]
    ) -> None:
        if recorded and peers:
            now = context_lib.monotonic()
            self.hub.broadcast(peers, _encode_starts(recorded, now))

    def _live_control_instances(self) -> list[str]:
        return [
            name
            for name in self.gossip.peers_in_region()
            if self.gossip.is_control_instance(name)
        ]

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

        Without a record of it, a stream can still have only one origin if it
        is proved that all targets of its service had one software version.
        """
        now = context_lib.monotonic()
        self._observe_targets(now)
        key = b""
        if call.resumes:
            key = stream_origins.origin_key(call.workspace or "", call.resumes)
            origin = self.table.find(key, now)
            if origin is not None:
                return stream_origins.Finding(origin, "own")
        request = messages.StreamOriginRequest(
            key,
            [share.service for share in call.route.split],
            call.route.timeout_s + EXPIRY_MARGIN_S,
        )
        knowledge = self._own_knowledge(call, request.window_s, now)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - now)):
                origin = await self._ask(request, knowledge)
        except TimeoutError:
            _log_refusal(call, knowledge)
            return stream_origins.Finding(None, "unknown")
        if origin is not None:
            return stream_origins.Finding(origin, "peer")
        return self._only_version(call, knowledge)

    def _own_knowledge(
        self, call: forwarding.Call, window_s: float, now: float
    ) -> version_knowledge.VersionKnowledge:
        needed = version_knowledge.needed_witnesses(
            self.gossip.swim, self.context.settings.control.voters, now
        )
        if needed == 0 and not self._has_watched(window_s, now):
            # It is alone and has not watched for as long.
            needed = math.inf
        origins = set(self._possible_origins(call, now))
        return version_knowledge.VersionKnowledge(origins, needed)

    def _only_version(
        self,
        call: forwarding.Call,
        knowledge: version_knowledge.VersionKnowledge,
    ) -> stream_origins.Finding:
        """Returns the only origin that a stream without a record can have."""
        possible = [
            origin
            for origin in knowledge.origins
            if origin.service == call.service
        ]
        if not knowledge.is_complete or len(possible) > 1:
            _log_refusal(call, knowledge)
            return stream_origins.Finding(None, "unknown")
        only = stream_origins.StreamOrigin(call.service, "")
        return stream_origins.Finding(
            possible[0] if possible else only, "only version"
        )

    def _has_watched(self, window_s: float, now: float) -> bool:
        """Returns whether all versions that served in a time are known."""
        return self.watches_from <= now - window_s

    async def _ask(
        self,
        request: messages.StreamOriginRequest,
        knowledge: version_knowledge.VersionKnowledge,
    ) -> stream_origins.StreamOrigin | None:
        """Asks others until they know an origin, or it is clear without one.

        Args:
            request: The question.
            knowledge: Gets what the others know of versions.

        Returns:
            The origin; None if nobody told it.
        """
        give_up_at = context_lib.monotonic() + ASK_FOR_S
        asks_all = len(knowledge.origins) > 1
        if asks_all and not request.key:
            return None
        while not knowledge.is_certain:
            origin = await self._ask_once(request, knowledge, asks_all=asks_all)
            if origin is not None or (asks_all and knowledge.is_complete):
                return origin
            if asks_all:
                await asyncio.sleep(ASK_PAUSE_S)
            if context_lib.monotonic() >= give_up_at:
                return None
            asks_all = True
        return None

    async def _ask_once(
        self,
        request: messages.StreamOriginRequest,
        knowledge: version_knowledge.VersionKnowledge,
        *,
        asks_all: bool,
    ) -> stream_origins.StreamOrigin | None:
        """Returns the first origin that another instance knows, or None."""
        witnesses = version_knowledge.witnesses(
            self.gossip.swim, context_lib.monotonic()
        )
        peers = dict.fromkeys(witnesses)
        if asks_all and request.key:
            peers |= dict.fromkeys(self.gossip.peers_in_region())
        replies = [self._ask_peer(peer, request) for peer in peers]
        for next_reply in asyncio.as_completed(replies):
            peer, reply = await next_reply
            if reply is None:
                continue
            if reply.is_known:
                return stream_origins.StreamOrigin(
                    reply.service, reply.software_version
                )
            knowledge.add(peer, reply, is_witness=peer in witnesses)
            if knowledge.is_certain:
                return None
        return None

    async def _ask_peer(
        self, peer: str, request: messages.StreamOriginRequest
    ) -> tuple[str, messages.StreamOriginReply | None]:
        return peer, await self.hub.request(peer, request, REQUEST_TIMEOUT_S)

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
        now = context_lib.monotonic()
        self._observe_targets(now)
        origin = self.table.find(message.key, now)
        if origin is not None:
            return messages.StreamOriginReply(
                True, origin.service, origin.software_version
            )
        earliest = now - message.window_s
        seen = [
            messages.ServiceVersions(
                service, self.serving.since(service, earliest)
            )
            for service in message.services
        ]
        has_watched = self._has_watched(message.window_s, now)
        return messages.StreamOriginReply(False, "", "", has_watched, seen)

    @mode.Service.task
    async def _watch(self) -> None:
        while self.history is not None and not self.should_stop:
            self._observe_targets(context_lib.monotonic())
            await asyncio.sleep(WATCH_PERIOD_S)

    @mode.Service.task
    async def _keep_history(self) -> None:
        while self.history is not None and not self.should_stop:
            now = context_lib.monotonic()
            self._observe_targets(now)
            versions = self._recent_versions(now)
            if versions != self.history.written:
                await asyncio.to_thread(self.history.write, versions)
            await asyncio.sleep(HISTORY_PERIOD_S)

    def _recent_versions(self, now: float) -> dict[str, list[str]]:
        earliest = now - RECENT_VERSIONS_S
        return {
            service: versions
            for service in sorted(self.serving.last_seen)
            if (versions := self.serving.since(service, earliest))
        }


def _log_refusal(
    call: forwarding.Call, knowledge: version_knowledge.VersionKnowledge
) -> None:
    _log.info(
        "origin of a stream not proved",
        request_id=call.request_id,
        resumes=call.resumes,
        versions=sorted(each.software_version for each in knowledge.origins),
        watched_by=sorted(knowledge.watched_by),
        is_complete=knowledge.is_complete,
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
