"""Spreads the targets' announcements among the instances."""

from chivelb_core import targets
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import loads as loads_lib
from chivelb_node.wire import messages

NEWS_PERIOD_S = 0.05
MAX_RECORDS = 500
FORGET_PERIOD_S = 10.0


class SharingService(mode.Service):
    """Tells the region's instances of the announcements it heard.

    Attributes:
        context: Aggregates of the instance.
        hub: Links to peers.
        gossip: Membership.
        loads: Told of targets that are gone.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        loads: loads_lib.LoadSharing,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.loads = loads
        self._news: dict[str, targets.TargetRecord] = {}
        hub.handle(messages.TargetNews, self._on_news)
        hub.handle(messages.TargetLeaving, self._on_leaving)

    def take_announcement(self, record: targets.TargetRecord) -> bool:
        """Takes an announcement that reached this instance; True when news.

        Leaving is spread at once, all else with the next batch.
        """
        if not self._take(record):
            return False
        if record.state == "leaving":
            self.spread_leaving(record.identity, record.incarnation)
        self._news[record.identity] = record
        return True

    def spread_leaving(self, identity: str, incarnation: int) -> None:
        """Notes that a target is leaving and tells all instances at once."""
        self.context.targets.take_leaving(identity, incarnation)
        self.hub.send_all(
            self.gossip.peers_in_region(),
            messages.TargetLeaving(identity, incarnation),
        )

    def _take(self, record: targets.TargetRecord) -> bool:
        now = context_lib.monotonic()
        if not self.context.targets.announce(record, now):
            return False
        self.context.load.take_report(
            record.identity,
            record.running,
            record.pending_tokens,
            now - record.load_age_s,
        )
        return True

    def _on_news(self, peer: str, news: messages.TargetNews) -> None:
        for record in news.records:
            if not targets.find_record_faults(record):
                self._take(record)

    def _on_leaving(self, peer: str, news: messages.TargetLeaving) -> None:
        self.context.targets.take_leaving(news.identity, news.incarnation)

    @mode.Service.task
    async def _spread_news(self) -> None:
        while not self.should_stop:
            await self.sleep(NEWS_PERIOD_S)
            records = list(self._news.values())
            self._news.clear()
            peers = self.gossip.peers_in_region()
            for start in range(0, len(records), MAX_RECORDS):
                batch = records[start : start + MAX_RECORDS]
                self.hub.send_all(peers, messages.TargetNews(batch))

    @mode.Service.task
    async def _forget(self) -> None:
        while not self.should_stop:
            await self.sleep(FORGET_PERIOD_S)
            now = context_lib.monotonic()
            for identity in self.context.targets.forget_lapsed(now):
                self.loads.forget(identity)
                self.context.directory.forget(identity)
