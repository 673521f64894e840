"""Replicates changes of targets to the peers, and repairs missed ones.

The peers confirm each change, unlike with ``announcement_forwarding``. Repair
is an anti-entropy exchange of digests with a random peer, in which each of the
two learns what it lacks. All that peers must learn of a target is part of it:
``target_states`` has its forms.
"""

import asyncio
import time
from typing import Any
import zlib

from chivelb_core import targets
from chivelb_core.forwarding import cold_targets
from chivelb_core.targets import entry as entry_lib
from chivelb_core.targets import table as table_lib
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import target_states
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import refusals
from chivelb_node.wire import messages

REPAIR_PERIOD_S = 0.5
REPAIR_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.4
MAX_RECORDS_PER_MESSAGE = 500
# Longest suspension that a message may ask for.
MAX_HOLD_S = 60.0
MS_PER_S = 1_000
# A peer that still needs a heartbeat asks for it again sooner.
WATCH_S = 2.0
MAX_WATCHED_TARGETS = 1_000
_log = logs.get_logger("fleet")


class TargetReplication(mode.Service):
    """Notifies the peers of targets that join, change and leave.

    An announcement that changes nothing causes no message.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        is_synced: Whether a peer has replied to a digest at least once, so
            that its targets are known here.
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
        # Peers that need the next heartbeat of a target, by its identity, and
        # the monotonic time until which they do, in seconds.
        self._watchers: dict[str, dict[str, float]] = {}
        self._refusals = refusals.RefusalLog(_log, "target refused")
        hub.register_handler(messages.TargetUpdates, self._on_target_updates)
        hub.register_handler(messages.TargetDigest, self._on_digest)
        hub.register_handler(messages.TargetHold, self._on_hold)
        hub.register_handler(messages.TargetLeaving, self._on_leaving)
        hub.register_handler(messages.TargetCold, self._on_cold)

    # Changes that this instance receives first.

    async def apply_announcement(self, record: targets.TargetRecord) -> None:
        """Applies a target's announcement and sends a change to the peers.

        Returns when all peers have confirmed the change or timed out.
        """
        now = context_lib.monotonic()
        table = self.context.targets
        previous = self._notable_state(record.identity)
        cold_s = table.cold_s(record.identity, now)
        if not self._apply_announcement(record):
            return
        self._notify_watchers(record, now)
        if previous != self._notable_state(record.identity) or _is_cold_change(
            cold_s, table.cold_s(record.identity, now)
        ):
            await self._request_all_peers(
                self._make_updates([record], record.address)
            )
        elif table.is_contested(record.identity, now):
            self.hub.broadcast(
                self._control_peers(), messages.TargetUpdates([record])
            )

    def _notify_watchers(
        self, record: targets.TargetRecord, now: float
    ) -> None:
        """Sends a heartbeat to the peers that asked for it."""
        watchers = self._watchers.pop(record.identity, None)
        if watchers:
            self.hub.broadcast(
                [peer for peer, until in watchers.items() if until > now],
                messages.TargetUpdates([record]),
            )

    async def mark_leaving(self, identity: str) -> None:
        """Marks a target as leaving at its own request, and tells the peers.

        All peers are told, also if this instance knew: it may have learned it
        from a message that others missed. Returns when they have confirmed it
        or timed out.
        """
        entry = self.context.targets.entries.get(identity)
        if entry is None or entry.problem:
            started_by = int(time.time() * MS_PER_S)
            self._end(identity, started_by, "itself")
            ended = [messages.EndedTarget(identity, started_by)]
            await self._request_all_peers(
                messages.TargetUpdates([], ended=ended)
            )
            return
        self.mark_gone(entry.record)
        leaving = target_states.to_record(entry, context_lib.monotonic())
        self._apply_announcement(leaving)
        await self._request_all_peers(messages.TargetUpdates([leaving]))

    def mark_gone(self, record: targets.TargetRecord) -> None:
        """Marks a target proven to be gone as leaving, and notifies peers."""
        message = messages.TargetLeaving(record.identity, record.incarnation)
        if self._on_leaving("", message):
            self.hub.broadcast(self.gossip.peers_in_region(), message)

    def _end(self, identity: str, started_by: int, source: str) -> None:
        if self.context.targets.end(identity, started_by):
            _log.info(
                "unknown target marked as leaving",
                target=identity,
                started_by=started_by,
                reported_by=source,
            )

    async def suspend_dispatch(
        self, record: targets.TargetRecord, hold_s: float, version: str
    ) -> None:
        """Suspends dispatch to a target, or resumes it with a new version.

        The instances are told by ``TargetHold`` messages, and each pauses the
        target in its table; hold, pause and suspension are one state.

        Args:
            record: The target.
            hold_s: Duration of the suspension in seconds; 0 ends it.
            version: New weight version when the suspension ends, or empty.
        """
        message = messages.TargetHold(
            record.identity, record.incarnation, hold_s, version
        )
        self._on_hold("", message)
        await self._request_all_peers(message)

    async def _request_all_peers(self, message: Any) -> None:
        """Sends a message to all peers and waits for their confirmations."""
        await asyncio.gather(
            *(
                self.hub.request(peer, message, CONFIRM_TIMEOUT_S)
                for peer in self.gossip.peers_in_region()
            )
        )

    def _make_updates(
        self, records: list[targets.TargetRecord], address: str = ""
    ) -> messages.TargetUpdates:
        """Returns a message with records and what is refuted of them.

        Args:
            records: The records.
            address: Address of further targets of which it tells what is
                refuted.
        """
        table = self.context.targets
        identities = {record.identity for record in records}
        identities.update(
            entry.record.identity for entry in table.claimants(address)
        )
        refutations = [
            messages.Refutation(identity, *table.entries[identity].refuted)
            for identity in sorted(identities & table.entries.keys())
            if table.entries[identity].refuted > (-1, -1)
        ]
        return messages.TargetUpdates(records, refutations)

    # Messages from peers.

    def _apply_announcement(
        self, record: targets.TargetRecord, *, is_fresh: bool = True
    ) -> bool:
        now = context_lib.monotonic()
        previous = self._notable_state(record.identity)
        table = self.context.targets
        cold_s = table.cold_s(record.identity, now)
        if not table.announce(record, now, is_fresh=is_fresh):
            return False
        if _is_cold_change(cold_s, table.cold_s(record.identity, now)):
            self.context.record_cold_change(record.identity, "heartbeat")
        if previous != self._notable_state(record.identity):
            _log.info(
                "target changed",
                target=record.identity,
                service=record.service,
                address=record.address,
                state=record.state,
                weight_version=record.weight_version,
                software_version=record.software_version,
                incarnation=record.incarnation,
                sequence=record.sequence,
            )
        return True

    def _on_target_updates(
        self, peer: str, message: messages.TargetUpdates
    ) -> messages.Confirmation:
        self._apply_updates(peer, message, is_fresh=not message.is_repair)
        return messages.Confirmation()

    def _apply_updates(
        self,
        peer: str,
        message: messages.TargetUpdates,
        *,
        is_fresh: bool = True,
    ) -> None:
        # Some are of targets that are known already, in place of which a record
        # names another incarnation; others are of targets that it names first.
        self._apply_refutations(message)
        # Of two targets of unknown start at one address the last one has it; a
        # repair has those last that get no requests.
        records = (
            message.records[::-1] if message.is_repair else message.records
        )
        for record in records:
            problems = targets.validate_listed_record(record)
            if problems:
                self._refusals.record(peer, "; ".join(problems))
            else:
                self._apply_announcement(
                    targets.without_invalid_cold_time(record),
                    is_fresh=is_fresh,
                )
        self._apply_refutations(message)
        for ended in message.ended[: table_lib.MAX_ENDED_TARGETS]:
            if targets.is_identity(ended.identity):
                self._end(ended.identity, ended.started_by, peer)

    def _apply_refutations(self, message: messages.TargetUpdates) -> None:
        for refutation in message.refutations:
            self.context.targets.refute(
                refutation.identity,
                refutation.incarnation,
                refutation.sequence,
            )

    def _on_leaving(self, peer: str, message: messages.TargetLeaving) -> bool:
        changed = self.context.targets.mark_leaving(
            message.identity, message.incarnation
        )
        if changed:
            # An empty ``reported_by`` is this instance itself.
            _log.info(
                "target marked as leaving",
                target=message.identity,
                reported_by=peer,
            )
        return changed

    def _on_cold(self, peer: str, message: messages.TargetCold) -> None:
        """Records how long a target stays cold, as it told a peer."""
        try:
            cold_s = cold_targets.check_cold_time(message.cold_s)
        except cold_targets.ColdTimeError as error:
            self._refusals.record(peer, f"malformed cold time: {error}")
            return
        identity = message.identity
        if self.context.targets.set_cold(
            identity, message.incarnation, cold_s, context_lib.monotonic()
        ):
            self.context.record_cold_change(identity, peer)

    def _on_hold(
        self, peer: str, message: messages.TargetHold
    ) -> messages.Confirmation:
        if not _is_valid_hold(message):
            self._refusals.record(peer, "malformed hold")
            return messages.Confirmation()
        until = context_lib.monotonic() + message.hold_s
        table = self.context.targets
        table.pause(message.identity, message.incarnation, until)
        if message.version:
            table.set_weight_version(
                message.identity, message.incarnation, message.version
            )
        _log.info(
            "dispatch suspended" if message.hold_s else "dispatch resumed",
            target=message.identity,
            hold_s=message.hold_s,
            weight_version=message.version,
        )
        return messages.Confirmation()

    # Repair.

    def _digest(self) -> int:
        """Returns a digest of all that peers must learn of targets."""
        table = self.context.targets
        states = sorted(target_states.states_by_identity(table).values())
        return zlib.crc32(
            msgspec.msgpack.encode((states, sorted(table.ended.items())))
        )

    def _on_digest(
        self, peer: str, message: messages.TargetDigest
    ) -> messages.TargetUpdates:
        """Replies with a page of targets if the sender's digest differs."""
        until = context_lib.monotonic() + WATCH_S
        for identity in message.watched[:MAX_WATCHED_TARGETS]:
            if identity in self.context.targets.entries:
                self._watchers.setdefault(identity, {})[peer] = until
        if message.watched:
            # Sent beside the digests that repair missed changes.
            return messages.TargetUpdates([])
        if message.offset == 0 and message.digest == self._digest():
            return messages.TargetUpdates([])
        entries = sorted(
            target_states.named_entries(self.context.targets), key=_page_key
        )
        first = max(0, message.offset)
        page = entries[first : first + MAX_RECORDS_PER_MESSAGE]
        return self._make_repair(page)

    def _make_repair(
        self, entries: list[entry_lib.TargetEntry]
    ) -> messages.TargetUpdates:
        """Returns a page of a repair, with all targets of unknown start."""
        now = context_lib.monotonic()
        updates = self._make_updates(
            [target_states.to_record(entry, now) for entry in entries]
        )
        ended = [
            messages.EndedTarget(identity, started_by)
            for identity, started_by in self.context.targets.ended.items()
        ]
        replaced = [
            entry.record.identity
            for entry in entries
            if target_states.loses_address(entry)
        ]
        return msgspec.structs.replace(
            updates, replaced=replaced, ended=ended, is_repair=True
        )

    @mode.Service.task
    async def _repair(self) -> None:
        while not self.should_stop:
            self._watch_unconfirmed()
            peers = self._repair_peers()
            if peers:
                await self._repair_from(self.context.rng.choice(peers))
            await asyncio.sleep(REPAIR_PERIOD_S)

    def _watch_unconfirmed(self) -> None:
        """Asks for the heartbeats of targets that may have started again.

        Any control instance may receive them.
        """
        watched = sorted(self.context.targets.unconfirmed())
        if watched:
            self.hub.broadcast(
                self._control_peers(),
                messages.TargetDigest(0, watched=watched[:MAX_WATCHED_TARGETS]),
            )

    async def _repair_from(self, peer: str) -> None:
        """Learns what a peer knows of targets, and tells it what it lacks."""
        digest = self._digest()
        offset = 0
        first_identity = ""
        theirs = target_states.PeerStates()
        while True:
            reply = await self.hub.request(
                peer, messages.TargetDigest(digest, offset), REPAIR_TIMEOUT_S
            )
            if not isinstance(reply, messages.TargetUpdates):
                return
            # A response may have told of a cold time since.
            self._apply_updates(peer, reply, is_fresh=False)
            theirs.add(reply)
            offset += len(reply.records)
            if len(reply.records) < MAX_RECORDS_PER_MESSAGE:
                break
            if reply.records[0].identity == first_identity:
                # An older peer knows no pages: it sent the first one again.
                break
            first_identity = reply.records[0].identity
        self.is_synced = True
        # An older peer doesn't tell whether the digests differ.
        if reply.is_repair:
            await self._send_missing(peer, theirs)

    async def _send_missing(
        self, peer: str, theirs: target_states.PeerStates
    ) -> None:
        """Sends a peer what it lacks, in pages."""
        table = self.context.targets
        missing = theirs.lacks(table)
        if not missing and theirs.knows_ended(table):
            return
        for start in range(0, max(1, len(missing)), MAX_RECORDS_PER_MESSAGE):
            page = missing[start : start + MAX_RECORDS_PER_MESSAGE]
            reply = await self.hub.request(
                peer, self._make_repair(page), REPAIR_TIMEOUT_S
            )
            if reply is None:
                return

    def _notable_state(self, identity: str) -> tuple | None:
        """Returns the state of a target of which each change is sent at once.

        A target that is leaving by its own record counts apart from one that a
        response told of: the record is acknowledged only once peers know.
        """
        entry = self.context.targets.entries.get(identity)
        if entry is None or entry.problem:
            return None
        return (
            target_states.state_of(entry),
            entry.record.state,
            entry.is_replaced,
        )

    def _repair_peers(self) -> list[str]:
        """Returns the live peers to request missed changes from.

        These are the control instances, which receive the heartbeats of
        targets, or all live peers if no control instance is live.
        """
        swim = self.gossip.swim
        alive = swim.live_members(swim.local_member.region)
        return self._control_peers() or sorted(alive)

    def _control_peers(self) -> list[str]:
        """Returns the live control instances, without this one."""
        swim = self.gossip.swim
        alive = set(swim.live_members(swim.local_member.region))
        return [
            name
            for name, state in swim.members.items()
            if state.member.anchor and name in alive
        ]


def _page_key(entry: entry_lib.TargetEntry) -> tuple[bool, str]:
    """Returns the place of a target among the pages of all targets."""
    return entry.is_ended, entry.record.identity


def _is_cold_change(before_s: float, after_s: float) -> bool:
    """Returns whether a target turned cold or warm, or stays cold longer."""
    return (before_s > 0.0) != (after_s > 0.0) or (
        after_s > before_s + table_lib.COLD_TOLERANCE_S
    )


def _is_valid_hold(message: messages.TargetHold) -> bool:
    return 0 <= message.hold_s <= MAX_HOLD_S and targets.is_weight_number(
        message.version
    )
