"""Follows the cache events of runners and stores, shared within a zone.

Each source is followed by one entry instance of each zone, which passes the
events on to the others of its zone.
"""

import asyncio
import dataclasses
import enum
from typing import Any
from typing import Protocol

from chivelb_core.forwarding import choice
from chivelb_core.kept import parts as parts_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

REVIEW_PERIOD_S = 0.25
POLL_PAUSE_S = 0.15
POLL_WAIT_S = 0.9
RETRY_PAUSE_S = 0.5
LIST_PERIOD_S = 3.0
PULL_TIMEOUT_S = 1.0
_log = logs.get_logger("parts")


@dataclasses.dataclass(slots=True)
class EventPage:
    """A source's answer to a poll.

    Attributes:
        epoch: Life of the source.
        next: Number to ask for next.
        lost: Whether events before these are missing.
        events: The events, in order.
        clock_s: The source's own clock, in seconds; None when not told.
    """

    epoch: int
    next: int
    lost: bool
    events: list[parts_lib.PartEvent]
    clock_s: float | None = None


class NoPage(enum.Enum):
    """Why a poll got no events.

    Attributes:
        SILENT: No usable answer: nothing can be fetched there either.
        BUSY: The source lives; others hold all polls that it takes.
    """

    SILENT = "silent"
    BUSY = "busy"


class EventPort(Protocol):
    """Asks sources for cache events and listings."""

    async def poll(
        self, address: str, since: int, wait_s: float
    ) -> EventPage | NoPage:
        """Returns events from a number on, or why there are none."""

    async def list_parts(self, address: str) -> EventPage | None:
        """Returns all that a source holds, as events."""


class PartFollower(mode.Service):
    """Keeps the directory of parts.

    Attributes:
        context: Aggregates of the instance.
        hub: Links to peers.
        gossip: Membership.
        port: Speaks to sources.
        directory: What is known.
        following: Tasks by address of the sources followed here.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        port: EventPort,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.port = port
        self.directory = parts_lib.PartDirectory()
        self.following: dict[str, asyncio.Task] = {}
        self._pulling: set[str] = set()
        hub.handle(messages.PartNews, self._on_news)
        hub.handle(messages.PartPull, self._on_pull)
        hub.handle(messages.PartSilence, self._on_silence)

    def sources(self) -> dict[str, str]:
        """Returns the life of each source that is to be followed."""
        context = self.context
        found = {}
        for entry in context.targets.entries.values():
            record = entry.record
            service = context.document.services.get(record.service)
            if service is None or service.engine is None or entry.left:
                continue
            found[record.address] = f"{record.identity}/{record.incarnation}"
        for service in context.document.services.values():
            if service.store is not None:
                found[service.store.address] = "store"
        return found

    @mode.Service.task
    async def _review(self) -> None:
        lives: dict[str, str] = {}
        while not self.should_stop:
            await self.sleep(REVIEW_PERIOD_S)
            wanted = self.sources()
            for address in list(lives):
                if wanted.get(address) != lives[address]:
                    self._unfollow(address)
                    self.directory.forget(address)
                    del lives[address]
            lives.update(wanted)
            self._divide(list(wanted))

    def _divide(self, addresses: list[str]) -> None:
        me = self.context.settings.instance
        members = [
            name
            for name in self.gossip.zone_members(me.zone)
            if not self.gossip.is_control_instance(name)
        ]
        for address in addresses:
            mine = choice.rank_homes(address, members)[:1] == [me.name]
            if mine and address not in self.following:
                self.following[address] = asyncio.create_task(
                    self._follow(address)
                )
            elif not mine:
                self._unfollow(address)

    def _unfollow(self, address: str) -> None:
        task = self.following.pop(address, None)
        if task is not None:
            task.cancel()

    async def on_stop(self) -> None:
        """Stops following."""
        for address in list(self.following):
            self._unfollow(address)

    async def _follow(self, address: str) -> None:
        listed_at = float("-inf")
        known = True
        while True:
            source = self.directory.source(address)
            page = await self.port.poll(address, source.next, POLL_WAIT_S)
            if page is NoPage.BUSY:
                _log.info("source busy", source=address)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if page is NoPage.SILENT:
                if known:
                    _log.warning("source lost", source=address)
                known = False
                self._set_silent(address)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if not known:
                _log.info("source regained", source=address)
            known = True
            now = context_lib.monotonic()
            if page.epoch != source.epoch and source.next:
                # A new life: its events are asked for from their start.
                self.directory.forget(address)
                continue
            whole = self._take(address, page, source.next, now)
            if not whole and now - listed_at > LIST_PERIOD_S:
                listed_at = now
                await self._list(address)
            await asyncio.sleep(POLL_PAUSE_S)

    def _set_silent(self, address: str) -> None:
        """Notes that a source can't be reached: nothing is fetched there."""
        self.directory.source(address).heard_at = float("-inf")
        self._tell(messages.PartSilence(address))

    def _on_silence(self, peer: str, word: messages.PartSilence) -> None:
        if word.source not in self.following:
            self.directory.source(word.source).heard_at = float("-inf")

    def _take(
        self, address: str, page: EventPage, since: int, now: float
    ) -> bool:
        news = messages.PartNews(
            address,
            page.epoch,
            since + 1 if page.lost else since,
            page.next,
            page.events,
            False,
        )
        whole = self._apply(news, now)
        self._tell(news)
        return whole and not page.lost

    async def _list(self, address: str) -> None:
        page = await self.port.list_parts(address)
        if page is None:
            return
        news = messages.PartNews(
            address, page.epoch, 0, page.next, page.events, True
        )
        self._apply(news, context_lib.monotonic())
        self._tell(news)
        _log.info("source listed", source=address, parts=len(page.events))

    def _tell(self, news: Any) -> None:
        me = self.context.settings.instance
        peers = [
            name
            for name in self.gossip.zone_members(me.zone)
            if name != me.name and not self.gossip.is_control_instance(name)
        ]
        self.hub.send_all(peers, news)

    def _apply(self, news: messages.PartNews, now: float) -> bool:
        if news.listing:
            self.directory.take_listing(
                news.source,
                epoch=news.epoch,
                until=news.until,
                held=news.events,
                now=now,
            )
            return True
        return self.directory.apply_events(
            news.source,
            epoch=news.epoch,
            since=news.since,
            until=news.until,
            events=news.events,
            now=now,
        )

    def _on_news(self, peer: str, news: messages.PartNews) -> None:
        if news.source in self.following:
            return
        whole = self._apply(news, context_lib.monotonic())
        if not whole and news.source not in self._pulling:
            self._pulling.add(news.source)
            self.add_future(self._pull(peer, news.source))

    async def _pull(self, peer: str, address: str) -> None:
        try:
            reply = await self.hub.request(
                peer, messages.PartPull(address), PULL_TIMEOUT_S
            )
            if isinstance(reply, messages.PartNews):
                self._apply(reply, context_lib.monotonic())
        finally:
            self._pulling.discard(address)

    def _on_pull(self, peer: str, pull: messages.PartPull) -> messages.PartNews:
        source = self.directory.source(pull.source)
        return messages.PartNews(
            source.address,
            source.epoch,
            0,
            source.next,
            [
                parts_lib.PartEvent(key, tokens)
                for key, tokens in source.parts.items()
            ],
            True,
        )
