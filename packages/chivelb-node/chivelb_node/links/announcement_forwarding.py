"""Forwards the announcements of targets to the live peers of the region.

Every new announcement is sent, in batches and without confirmation; used by
``app``. The platform's programs use ``target_replication`` instead: it sends
only changes, waits for the peers to confirm them and repairs missed ones.
"""

import asyncio

from chivelb_core import targets
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import load_sharing
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

BATCH_PERIOD_S = 0.05
MAX_RECORDS_PER_MESSAGE = 500
EXPIRY_CHECK_PERIOD_S = 10.0
_log = logs.get_logger("targets")


class AnnouncementForwarder(mode.Service):
    """Forwards announcements to the live peers of the region.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        loads: Load reporting, notified of targets that are removed.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        loads: load_sharing.LoadReporting,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.loads = loads
        self._unsent_records: dict[str, targets.TargetRecord] = {}
        hub.register_handler(messages.TargetUpdates, self._on_announcements)
        hub.register_handler(messages.TargetLeaving, self._on_leaving)

    def apply_announcement(self, record: targets.TargetRecord) -> bool:
        """Applies an announcement that a target sent to this instance.

        Leaving is sent to the peers immediately, and everything else with the
        next batch.

        Returns:
            True if the announcement was new.
        """
        if not self._apply_announcement(record):
            return False
        if record.state == "leaving":
            self.broadcast_leaving(record.identity, record.incarnation)
        elif self._is_leaving(record):
            # An operator drains it, of which the target itself knows nothing.
            record = msgspec.structs.replace(record, state="leaving")
        self._unsent_records[record.identity] = record
        return True

    def broadcast_leaving(self, identity: str, incarnation: int) -> None:
        """Marks a target as leaving and immediately notifies the peers."""
        self.context.targets.mark_leaving(identity, incarnation)
        self.hub.broadcast(
            self.gossip.peers_in_region(),
            messages.TargetLeaving(identity, incarnation),
        )

    def _apply_announcement(self, record: targets.TargetRecord) -> bool:
        now = context_lib.monotonic()
        sound = targets.without_invalid_cold_time(record)
        if sound is not record:
            _log.warning(
                "cold time not understood",
                target=record.identity,
                detail=f"{record.cold_s:g} s",
            )
        table = self.context.targets
        cold_s = table.cold_s(record.identity, now)
        if not table.announce(sound, now):
            return False
        if (cold_s > 0.0) != (table.cold_s(record.identity, now) > 0.0):
            self.context.record_cold_change(record.identity, "announcement")
        self.context.load.apply_report(
            record.identity,
            record.running,
            record.pending_tokens,
            now - record.load_age_s,
        )
        return True

    def _on_announcements(
        self, peer: str, message: messages.TargetUpdates
    ) -> None:
        for record in message.records:
            if targets.validate_record(record):
                continue
            self._apply_announcement(record)
            if record.state != "leaving" and self._is_leaving(record):
                # The peer has missed that it was told so.
                self.hub.send(
                    peer,
                    messages.TargetLeaving(record.identity, record.incarnation),
                )

    def _is_leaving(self, record: targets.TargetRecord) -> bool:
        """Returns whether an incarnation is known to be leaving."""
        entry = self.context.targets.entries.get(record.identity)
        return (
            entry is not None
            and entry.is_leaving
            and entry.record.incarnation == record.incarnation
        )

    def _on_leaving(self, peer: str, message: messages.TargetLeaving) -> None:
        self.context.targets.mark_leaving(message.identity, message.incarnation)

    @mode.Service.task
    async def _send_batches(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(BATCH_PERIOD_S)
            records = list(self._unsent_records.values())
            self._unsent_records.clear()
            peers = self.gossip.peers_in_region()
            for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
                batch = records[start : start + MAX_RECORDS_PER_MESSAGE]
                self.hub.broadcast(peers, messages.TargetUpdates(batch))

    @mode.Service.task
    async def _remove_expired(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRY_CHECK_PERIOD_S)
            now = context_lib.monotonic()
            for identity in self.context.targets.remove_expired(now):
                self.loads.remove_target(identity)
                self.context.cold_targets.forget(identity)
                self.context.directory.forget(identity)
