"""Spreads what changes of the targets, and repairs what was missed."""

import asyncio
from typing import Any
import zlib

from chivelb_core import targets
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

REPAIR_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.4
MAX_RECORDS = 500
_log = logs.get_logger("fleet")


class FleetService(mode.Service):
    """Tells the region's instances of targets that come, change and leave.

    A target that only renews its announcement causes no message.

    Attributes:
        context: Aggregates of the instance.
        hub: Links to peers.
        gossip: Membership.
        is_synced: Whether what others know of targets was taken once.
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
        self.is_synced = False
        hub.handle(messages.TargetNews, self._on_news)
        hub.handle(messages.TargetDigest, self._on_digest)
        hub.handle(messages.TargetHold, self._on_hold)
        hub.handle(messages.TargetLeaving, self._on_leaving)

    # What reaches this instance first.

    async def take_announcement(self, record: targets.TargetRecord) -> None:
        """Takes a target's own word, and returns when peers know the news."""
        before = self._known(record.identity)
        if self._take(record) and before != self._known(record.identity):
            await self._tell(messages.TargetNews([record]))

    async def take_leaving(self, identity: str) -> None:
        """Takes a target's word that it leaves for good."""
        known = self.context.targets.entries.get(identity)
        if known is None or known.left:
            return
        gone = msgspec.structs.replace(
            known.record, state="leaving", sequence=known.record.sequence + 1
        )
        await self.take_announcement(gone)

    def retire(self, record: targets.TargetRecord) -> None:
        """Takes the proof that a target is gone, and spreads it."""
        word = messages.TargetLeaving(record.identity, record.incarnation)
        if self._on_leaving("", word):
            self.hub.send_all(self.gossip.peers_in_region(), word)

    async def hold(
        self, record: targets.TargetRecord, hold_s: float, version: str
    ) -> None:
        """Stops new work to a target, or ends that with its new version."""
        word = messages.TargetHold(
            record.identity, record.incarnation, hold_s, version
        )
        self._on_hold("", word)
        await self._tell(word)

    async def _tell(self, word: Any) -> None:
        """Tells all peers and waits a while for their confirmations."""
        await asyncio.gather(
            *(
                self.hub.request(peer, word, CONFIRM_TIMEOUT_S)
                for peer in self.gossip.peers_in_region()
            )
        )

    # What peers tell.

    def _take(self, record: targets.TargetRecord) -> bool:
        now = context_lib.monotonic()
        before = self._known(record.identity)
        if not self.context.targets.announce(record, now):
            return False
        if before != self._known(record.identity):
            _log.info(
                "target changed",
                target=record.identity,
                service=record.service,
                address=record.address,
                state=record.state,
                weight_version=record.weight_version,
                incarnation=record.incarnation,
                sequence=record.sequence,
            )
        return True

    def _on_news(
        self, peer: str, news: messages.TargetNews
    ) -> messages.Confirmed:
        for record in news.records:
            self._take(record)
        return messages.Confirmed()

    def _on_leaving(self, peer: str, word: messages.TargetLeaving) -> bool:
        news = self.context.targets.take_leaving(
            word.identity, word.incarnation
        )
        if news:
            _log.info("target gone", target=word.identity, told_by=peer)
        return news

    def _on_hold(
        self, peer: str, word: messages.TargetHold
    ) -> messages.Confirmed:
        until = context_lib.monotonic() + word.hold_s
        table = self.context.targets
        table.hold(word.identity, word.incarnation, until)
        if word.version:
            table.note_version(word.identity, word.incarnation, word.version)
        _log.info(
            "target held" if word.hold_s else "target released",
            target=word.identity,
            hold_s=word.hold_s,
            weight_version=word.version,
        )
        return messages.Confirmed()

    # Repair.

    def _digest(self) -> int:
        """Returns a digest of all that is known of targets."""
        words = [self._known(i) for i in self.context.targets.entries]
        return zlib.crc32(msgspec.msgpack.encode(sorted(words)))

    def _on_digest(
        self, peer: str, word: messages.TargetDigest
    ) -> messages.TargetNews:
        """Answers with all that is known if the asker knows otherwise."""
        if word.digest == self._digest():
            return messages.TargetNews([])
        records = [e.record for e in self.context.targets.entries.values()]
        return messages.TargetNews(records[:MAX_RECORDS])

    @mode.Service.task
    async def _repair(self) -> None:
        while not self.should_stop:
            peers = self._sources()
            if peers:
                await self._pull(self.context.rng.choice(peers))
            await self.sleep(REPAIR_PERIOD_S)

    async def _pull(self, peer: str) -> None:
        reply = await self.hub.request(
            peer, messages.TargetDigest(self._digest()), PULL_TIMEOUT_S
        )
        if isinstance(reply, messages.TargetNews):
            self._on_news(peer, reply)
            self.is_synced = True

    def _known(self, identity: str) -> tuple | None:
        """Returns what peers must know of a target at once."""
        entry = self.context.targets.entries.get(identity)
        if entry is None:
            return None
        return (*_salient(entry.record), entry.left, entry.replaced)

    def _sources(self) -> list[str]:
        """Returns instances that targets announce themselves to."""
        swim = self.gossip.swim
        alive = set(swim.alive(swim.me.region))
        anchors = [
            name
            for name, state in swim.members.items()
            if state.member.anchor and name in alive
        ]
        return anchors or sorted(alive)


def _salient(record: targets.TargetRecord) -> tuple:
    """Returns what others must know of a target at once."""
    return (
        record.identity,
        record.incarnation,
        record.state,
        record.address,
        record.zone,
        record.service,
        record.slots,
        record.weight_version,
    )
