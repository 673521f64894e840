"""Follows the cache events of runners and stores, shared within a zone.

Entry instances are those that serve callers. Each source is polled by one
entry instance of each zone, which forwards the events to the other entry
instances of its zone.

A part is a section of a prompt as the users' platform counts it; the directory
of parts is separate from that of blocks of 64 tokens, which ``cache`` serves.
"""

import asyncio
import dataclasses
import enum
from typing import Any
from typing import Protocol

from chivelb_core.forwarding import assignment
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_core.routing import load_reports
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import part_batches
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import refusals
from chivelb_node.wire import messages
from chivelb_node.wire import packing

ASSIGN_PERIOD_S = 0.25
POLL_DELAY_S = 0.15
# Share of the interval between messages to the zone, for large zones.
POLL_DELAY_SHARE = 0.3
POLL_TIMEOUT_S = 0.9
RETRY_DELAY_S = 0.5
MIN_LISTING_INTERVAL_S = 3.0
LISTING_TIMEOUT_S = 1.0
# Updates are collected for at least this long and then sent in one message.
MIN_BATCH_DELAY_S = 0.005
# An update without events only shows that its source responds. It is left out
# if another update was sent within this time.
LIVENESS_PERIOD_S = 0.8
MAX_BATCH_BYTES = 16_777_216
# Memory of the directory, as a share of ``buffer_bytes``.
DIRECTORY_SHARE = 0.125
# Collected events are sent at once beyond this number, besides those of the
# newest update.
MAX_COLLECTED_EVENTS = 5_000
# Largest incarnation or sequence number of a source.
MAX_NUMBER = 2**63 - 1
# Largest number of tokens that a source may hold of one part.
MAX_PART_TOKENS = 2**40 - 1
# Time after the first document within which the sources that respond have
# usually done so.
FIRST_POLLS_S = 0.25
FIRST_POLLS_CHECK_PERIOD_S = 0.02
_log = logs.get_logger("parts")
_batch_decoder = msgspec.msgpack.Decoder(list[messages.PartUpdates])


@dataclasses.dataclass(slots=True)
class EventPage:
    """Cache events or a listing that a source returned.

    Attributes:
        epoch: Incarnation of the source.
        next: Sequence number to poll from next.
        lost: Whether events before these are missing.
        events: The events, in order.
        clock_s: Time of the source's own clock, in seconds; None if not
            reported. Not used.
    """

    epoch: int
    next: int
    lost: bool
    events: list[parts_lib.PartUpdate]
    clock_s: float | None = None


class PollFailure(enum.Enum):
    """Why a poll returned no events.

    Attributes:
        UNREACHABLE: No usable response; cached parts can't be fetched from the
            source either.
        BUSY: The source is alive, but other clients hold all of its poll
            slots.
        MALFORMED: A value is out of its range. The events of this page can't be
            applied, so that a listing is needed.
    """

    UNREACHABLE = "silent"
    BUSY = "busy"
    MALFORMED = "malformed"


def _are_in_range(
    epoch: int, until: int, events: list[parts_lib.PartUpdate]
) -> bool:
    return (
        0 <= epoch <= MAX_NUMBER
        and 0 <= until <= MAX_NUMBER
        and all(
            0 <= event.tokens <= MAX_PART_TOKENS
            and len(event.key) <= parts_lib.MAX_KEY_LENGTH
            for event in events
        )
    )


def is_valid_page(page: EventPage) -> bool:
    """Returns whether all numbers and keys of a page are in their ranges."""
    return _are_in_range(page.epoch, page.next, page.events)


def is_valid_update(update: messages.PartUpdates) -> bool:
    """Returns whether all numbers and keys of an update are in their ranges."""
    # An update that tells of lost events starts one later than its source.
    return 0 <= update.since <= MAX_NUMBER + 1 and _are_in_range(
        update.epoch, update.until, update.events
    )


class CacheEventPort(Protocol):
    """Client interface for cache events and listings of sources."""

    async def poll(
        self, address: str, since: int, wait_s: float
    ) -> EventPage | PollFailure:
        """Returns events from a sequence number on, or why there are none."""

    async def fetch_listing(self, address: str) -> EventPage | None:
        """Returns all parts that a source holds, as events."""


class CacheEventFollower(mode.Service):
    """Keeps the directory of cached parts up to date.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        client: Client for requests to sources.
        directory: Which source holds how much of each part.
        following: Polling tasks of this instance, by address of the source.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        client: CacheEventPort,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.client = client
        self.directory = parts_lib.PartDirectory(
            int(context.settings.http.buffer_bytes * DIRECTORY_SHARE)
        )
        self.following: dict[str, asyncio.Task] = {}
        self._pending_listings: set[str] = set()
        self._refusals = refusals.RefusalLog(_log, "cache events refused")
        self._outgoing: list[messages.PartUpdates] = []
        self._outgoing_events = 0
        self._has_outgoing = asyncio.Event()
        self._sent_at: dict[str, float] = {}
        self._pacer = load_reports.ReportPacer(MIN_BATCH_DELAY_S)
        self._assigned_by: tuple[list[str], list[str]] = ([], [])
        hub.register_handler(messages.PartUpdates, self._on_update)
        hub.register_handler(messages.PartUpdateBatch, self._on_batch)
        hub.register_handler(messages.PartPull, self._on_listing_request)
        hub.register_handler(messages.SourceUnreachable, self._on_unreachable)

    def sources(self) -> dict[str, str]:
        """Returns the sources to follow, by address, each with a tag.

        The tag of a runner, ``identity/incarnation``, changes when it
        restarts. The tag of a store is always ``store``: its incarnation is
        not known here.
        """
        context = self.context
        tags = {}
        for entry in context.targets.entries.values():
            record = entry.record
            service = context.document.services.get(record.service)
            if service is None or service.engine is None or entry.is_leaving:
                continue
            tags[record.address] = f"{record.identity}/{record.incarnation}"
        for service in context.document.services.values():
            if service.store is not None:
                tags[service.store.address] = "store"
        return tags

    @mode.Service.task
    async def _wait_for_first_polls(self) -> None:
        """Sets ``sources_known`` once all sources have responded, or in time.

        Calls that arrive during the start wait for it: prompts placed before
        would be computed again although they are cached.
        """
        await self.context.readiness.wait()
        deadline = context_lib.monotonic() + FIRST_POLLS_S
        while context_lib.monotonic() < deadline and not self._all_responded():
            await asyncio.sleep(FIRST_POLLS_CHECK_PERIOD_S)
        self.context.sources_known.set()

    def _all_responded(self) -> bool:
        addresses = self.sources()
        return bool(addresses) and all(
            self.directory.source(address).next for address in addresses
        )

    @mode.Service.task
    async def _assign_periodically(self) -> None:
        tags: dict[str, str] = {}
        await self.context.readiness.wait()
        while not self.should_stop:
            current = self.sources()
            for address in list(tags):
                if current.get(address) != tags[address]:
                    self._unfollow(address)
                    self.directory.forget(address)
                    self._sent_at.pop(address, None)
                    self._assigned_by = ([], [])
                    del tags[address]
            tags.update(current)
            self._assign(list(current))
            await asyncio.sleep(ASSIGN_PERIOD_S)

    def _assign(self, addresses: list[str]) -> None:
        """Follows the sources assigned to this instance, and no others."""
        name = self.context.settings.instance.name
        members = self.zone_entries()
        if self._assigned_by == (addresses, members):
            return
        self._assigned_by = (addresses, members)
        assigned = assignment.assign_evenly(addresses, members)
        for address in addresses:
            is_assigned = assigned.get(address) == name
            if is_assigned and address not in self.following:
                self.following[address] = asyncio.create_task(
                    self._follow(address)
                )
            elif not is_assigned:
                self._unfollow(address)

    def zone_entries(self) -> list[str]:
        """Returns the entry instances of this zone, including this one."""
        zone = self.context.settings.instance.zone
        return [
            name
            for name in self.gossip.zone_members(zone)
            if not self.gossip.is_control_instance(name)
        ]

    def _unfollow(self, address: str) -> None:
        task = self.following.pop(address, None)
        if task is not None:
            task.cancel()

    async def on_stop(self) -> None:
        """Stops following all sources."""
        for address in list(self.following):
            self._unfollow(address)

    async def _follow(self, address: str) -> None:
        listed_at = float("-inf")
        reachable = True
        while True:
            source = self.directory.source(address)
            page = await self.client.poll(address, source.next, POLL_TIMEOUT_S)
            if page is PollFailure.BUSY:
                _log.info("source has no free poll slot", source=address)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if page is PollFailure.UNREACHABLE:
                if reachable:
                    _log.warning("source unreachable", source=address)
                reachable = False
                self._report_unreachable(address)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if page is PollFailure.MALFORMED:
                now = context_lib.monotonic()
                if now - listed_at > MIN_LISTING_INTERVAL_S:
                    listed_at = now
                    await self._fetch_listing(address)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if not reachable:
                _log.info("source reachable again", source=address)
            reachable = True
            now = context_lib.monotonic()
            if page.epoch != source.epoch and source.next:
                # The source restarted: poll its events from the start.
                self.directory.forget(address)
                continue
            if page.next < source.next:
                _log.warning(
                    "page of an earlier poll",
                    source=address,
                    next=page.next,
                    expected=source.next,
                )
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            complete = self._apply_page(address, page, source.next, now)
            if not complete and now - listed_at > MIN_LISTING_INTERVAL_S:
                listed_at = now
                await self._fetch_listing(address)
            await asyncio.sleep(self._poll_delay_s())

    def _poll_delay_s(self) -> float:
        """Returns the pause between two polls of a source, in seconds.

        In a large zone, what a poll returns waits for its turn to be sent
        anyway, so that several polls would go into one message.
        """
        interval_s = self._pacer.interval_s(len(self.zone_entries()) - 1)
        return max(POLL_DELAY_S, POLL_DELAY_SHARE * interval_s)

    def _report_unreachable(self, address: str) -> None:
        """Marks a source as unreachable, here and at the peers of the zone.

        Nothing is fetched from an unreachable source.
        """
        self.directory.source(address).last_message_at = float("-inf")
        # Updates that are sent later would show that the source responds.
        self._flush_updates()
        self._send_to_zone(messages.SourceUnreachable(address))

    def _on_unreachable(
        self, peer: str, report: messages.SourceUnreachable
    ) -> None:
        if report.source not in self.following:
            self.directory.source(report.source).last_message_at = float("-inf")

    def _apply_page(
        self, address: str, page: EventPage, since: int, now: float
    ) -> bool:
        # If events were lost, the update starts one later than expected, so
        # that its receivers detect the gap and request a listing.
        update = messages.PartUpdates(
            address,
            page.epoch,
            since + 1 if page.lost else since,
            page.next,
            page.events,
            False,
        )
        complete = self._apply_update(update, now)
        sent_at = self._sent_at.get(address, float("-inf"))
        if page.events or page.lost or now - sent_at > LIVENESS_PERIOD_S:
            self._queue_update(update, now)
        return complete and not page.lost

    def _queue_update(self, update: messages.PartUpdates, now: float) -> None:
        self._sent_at[update.source] = now
        self._outgoing.append(update)
        self._outgoing_events += len(update.events)
        if self._outgoing_events > MAX_COLLECTED_EVENTS:
            self._flush_updates()
        else:
            self._has_outgoing.set()

    @mode.Service.task
    async def _send_batches(self) -> None:
        while not self.should_stop:
            await self._has_outgoing.wait()
            delay_s = self._pacer.delay_s(
                context_lib.monotonic(),
                peer_count=len(self.zone_entries()) - 1,
                urgent=False,
            )
            await asyncio.sleep(delay_s)
            self._flush_updates()

    def _flush_updates(self) -> None:
        self._has_outgoing.clear()
        updates, self._outgoing = self._outgoing, []
        self._outgoing_events = 0
        if not updates or len(self.zone_entries()) <= 1:
            return
        merged = list(part_batches.merge_updates(updates))
        payload = packing.pack(merged)
        peer_count = self._send_to_zone(messages.PartUpdateBatch(payload))
        self._pacer.record_sent(
            context_lib.monotonic(), sent_bytes=peer_count * len(payload)
        )

    async def _fetch_listing(self, address: str) -> None:
        page = await self.client.fetch_listing(address)
        if page is None:
            return
        update = messages.PartUpdates(
            address, page.epoch, 0, page.next, page.events, True
        )
        now = context_lib.monotonic()
        self._apply_update(update, now)
        self._queue_update(update, now)
        _log.info("source listed", source=address, parts=len(page.events))

    def _send_to_zone(self, update: Any) -> int:
        """Sends a message to the other entry instances of the zone.

        Returns:
            The number of receivers.
        """
        own_name = self.context.settings.instance.name
        peers = [name for name in self.zone_entries() if name != own_name]
        self.hub.broadcast(peers, update)
        return len(peers)

    def _apply_update(self, update: messages.PartUpdates, now: float) -> bool:
        if update.listing:
            self.directory.apply_listing(
                update.source,
                epoch=update.epoch,
                until=update.until,
                held=update.events,
                now=now,
            )
            return True
        return self.directory.apply_events(
            update.source,
            epoch=update.epoch,
            since=update.since,
            until=update.until,
            events=update.events,
            now=now,
        )

    def _on_batch(self, peer: str, batch: messages.PartUpdateBatch) -> None:
        try:
            updates = packing.unpack(
                batch.payload, _batch_decoder, max_bytes=MAX_BATCH_BYTES
            )
        except packing.PackingError as error:
            _log.warning(
                "cannot decode cache events", peer=peer, error=str(error)
            )
            return
        for update in updates:
            self._on_update(peer, update)

    def _on_update(self, peer: str, update: messages.PartUpdates) -> None:
        if update.source in self.following:
            return
        if not is_valid_update(update):
            self._refusals.record(peer, "value out of range")
            return
        complete = self._apply_update(update, context_lib.monotonic())
        if not complete and update.source not in self._pending_listings:
            self._pending_listings.add(update.source)
            self.add_future(self._request_listing(peer, update.source))

    async def _request_listing(self, peer: str, address: str) -> None:
        """Requests a peer's listing of a source, after missed events."""
        try:
            reply = await self.hub.request(
                peer, messages.PartPull(address), LISTING_TIMEOUT_S
            )
            if isinstance(reply, messages.PartUpdates) and is_valid_update(
                reply
            ):
                self._apply_update(reply, context_lib.monotonic())
        finally:
            self._pending_listings.discard(address)

    def _on_listing_request(
        self, peer: str, request: messages.PartPull
    ) -> messages.PartUpdates:
        source = self.directory.source(request.source)
        return messages.PartUpdates(
            source.address,
            source.epoch,
            0,
            source.next,
            [
                parts_lib.PartUpdate(key, tokens)
                for key, tokens in source.parts.items()
            ],
            True,
        )
