"""Asks the owner of a target for its load, instead of being told by all.

With many instances, each has few requests, and what it is told of the load of
others is older than the requests that it counts. Each target therefore has an
owner among the instances of its zone: the others tell it of the requests that
they send to the target, and ask it before they choose the target for another
one. The messages of a request don't grow with the instances. While an owner
does not reply, the next by rank takes its place; an instance that reaches no
owner goes by its own requests.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from chivelb_core import routing
from chivelb_core.forwarding import assignment
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

# With fewer instances each tells all others, which is as fresh and needs no
# question before a request.
MIN_INSTANCES = 12
QUERY_TIMEOUT_S = 0.06
# What an owner told is not asked again within this time.
FRESH_S = 0.05
# Calls that wait are placed by what was told within this time.
KNOWN_S = 0.15
# An owner that did not reply is not asked again within this time.
SILENT_OWNER_DELAY_S = 2.0
# A request that was sent is told at once, one that has ended with the next.
SENT_DELAY_S = 0.002
ENDED_DELAY_S = 0.05
# An unchanged load is told again after this time.
RESEND_PERIOD_S = 1.0
CHECK_PERIOD_S = 0.5
OWNERS_BY_TARGET = 3
_NO_LOAD = (0, 0, 0, 0)
_log = logs.get_logger("load-owners")


class LoadOwners(mode.Service):
    """Tells the owners of targets of the load here, and asks for all other.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        places_calls: Whether an instance places calls at targets.
        silent_until: Until when owners that did not reply are passed over, as
            monotonic times in seconds.
        sent: Load as last told to the owner of a target, and when.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        *,
        places_calls: Callable[[str], bool] = lambda name: True,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.places_calls = places_calls
        self.silent_until: dict[str, float] = {}
        self.sent: dict[str, tuple[tuple[int, ...], float]] = {}
        self._changed_targets: set[str] = set()
        self._report_timer: asyncio.TimerHandle | None = None
        self._revision = -1
        self._instances_by_zone: dict[str, list[str]] = {}
        self._instance_count = 0
        self._ranked: dict[str, list[str]] = {}
        hub.register_handler(messages.LoadQuery, self._on_query)

    # Membership.

    def _update_members(self) -> None:
        """Recomputes what depends on the members, if they have changed."""
        revision = self.gossip.swim.revision
        if revision == self._revision:
            return
        self._revision = revision
        self._instances_by_zone = {}
        self._instance_count = 0
        self._ranked.clear()
        for name, zone in self.gossip.region_member_zones():
            if self.places_calls(name):
                self._instances_by_zone.setdefault(zone, []).append(name)
                self._instance_count += 1

    @property
    def is_active(self) -> bool:
        """Whether there are so many instances that owners are asked."""
        self._update_members()
        return self._instance_count >= MIN_INSTANCES

    def owner(self, identity: str) -> str | None:
        """Returns the owner of a target; None if the target is not known."""
        self._update_members()
        ranked = self._ranked.get(identity)
        if ranked is None:
            entry = self.context.targets.entries.get(identity)
            if entry is None:
                return None
            ranked = assignment.load_owners(
                identity, entry.record.zone, self._instances_by_zone
            )[:OWNERS_BY_TARGET]
            self._ranked[identity] = ranked
        if not self.silent_until:
            return ranked[0] if ranked else None
        now = context_lib.monotonic()
        replying = (n for n in ranked if self.silent_until.get(n, 0.0) <= now)
        return next(replying, None)

    def is_known(self, identity: str, now: float) -> bool:
        """Returns whether the load of a target is known well enough to wait on.

        That is so if this instance owns it, was told of it just now, or
        reaches none of its owners and has only its own requests to go by.

        Args:
            identity: Identity of the target.
            now: Monotonic time in seconds.
        """
        if self.context.load.load(identity).told_age_s(now) < KNOWN_S:
            return True
        return self.owner(identity) in (None, self.hub.local_name)

    # Asking.

    async def refresh(self, identities: Iterable[str]) -> bool:
        """Asks the owners of targets for load that is not known well enough.

        Returns:
            Whether an owner was asked and replied in time.
        """
        by_owner: dict[str, list[str]] = {}
        for identity, owner in self._to_ask(identities):
            by_owner.setdefault(owner, []).append(identity)
        if not by_owner:
            return False
        replied = await asyncio.gather(
            *(self._ask(owner, names) for owner, names in by_owner.items())
        )
        return any(replied)

    def _to_ask(self, identities: Iterable[str]) -> Iterator[tuple[str, str]]:
        now = context_lib.monotonic()
        for identity in identities:
            if self.context.load.load(identity).told_age_s(now) < FRESH_S:
                continue
            owner = self.owner(identity)
            if owner is not None and owner != self.hub.local_name:
                yield identity, owner

    async def _ask(self, owner: str, identities: list[str]) -> bool:
        query = messages.LoadQuery(identities)
        reply = await self.hub.request(owner, query, QUERY_TIMEOUT_S)
        now = context_lib.monotonic()
        if not isinstance(reply, messages.LoadUpdate):
            self._pass_over(owner, now)
            return False
        for entry in reply.entries:
            self.context.load.apply_told_load(
                entry.identity, _peer_load(entry, now)
            )
            self.context.work_estimates.apply_told(
                entry.identity, entry.log_ratio, entry.observed, now
            )
        return True

    def _pass_over(self, owner: str, now: float) -> None:
        """Lets the next by rank take the place of an owner for a while."""
        if self.silent_until.get(owner, 0.0) > now:
            return
        _log.info("owner of load does not reply", peer=owner)
        self.silent_until[owner] = now + SILENT_OWNER_DELAY_S
        # The next owners of its targets don't know the load here.
        for identity in list(self.sent):
            if owner in self._ranked.get(identity, ()):
                self.record_change(identity)

    def _on_query(
        self, peer: str, query: messages.LoadQuery
    ) -> messages.LoadUpdate:
        now = context_lib.monotonic()
        return messages.LoadUpdate(
            [
                self._reply_entry(i, peer, now)
                for i in query.identities
                if i in self.context.targets.entries
            ]
        )

    def _reply_entry(
        self, identity: str, peer: str, now: float
    ) -> messages.SendEntry:
        """Returns the load of a target that a peer is told.

        Of the pending tokens, it is told those that are left to do.
        """
        running, pending, *others = self.context.load.load_of_others(
            identity, peer, now
        )
        share = self.context.outstanding_share(identity, now)
        return messages.SendEntry(
            identity,
            running,
            round(share * pending),
            *others,
            *self.context.work_estimates.known_ratio(identity, now),
        )

    # Telling.

    def record_change(self, identity: str) -> None:
        """Schedules a report of a load that changed here."""
        self._changed_targets.add(identity)
        self.context.outstanding_share(identity, context_lib.monotonic())
        running = self.context.load.own_load(identity)[0]
        told = self.sent.get(identity)
        has_sent = running > (0 if told is None else told[0][0])
        loop = asyncio.get_running_loop()
        due_at = loop.time() + (SENT_DELAY_S if has_sent else ENDED_DELAY_S)
        timer = self._report_timer
        if timer is not None:
            if timer.when() <= due_at:
                return
            timer.cancel()
        self._report_timer = loop.call_at(due_at, self._report_changes)

    def _report_changes(self) -> None:
        self._report_timer = None
        now = context_lib.monotonic()
        by_owner: dict[str, list[messages.SendEntry]] = {}
        for identity in self._changed_targets:
            load = self.context.load.own_load(identity)
            if any(load):
                self.sent[identity] = (load, now)
            elif self.sent.pop(identity, None) is None:
                continue
            owner = self.owner(identity)
            unsent = self.context.work_estimates.take_unsent(identity)
            if owner is not None and owner != self.hub.local_name:
                entry = messages.SendEntry(identity, *load, *unsent)
                by_owner.setdefault(owner, []).append(entry)
        self._changed_targets.clear()
        for owner, entries in by_owner.items():
            self.hub.send(owner, messages.LoadUpdate(entries))

    @mode.Service.task
    async def _report_again(self) -> None:
        """Reports unchanged loads before their owners discard them."""
        while not self.should_stop:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.report_due(context_lib.monotonic())

    def report_due(self, now: float) -> None:
        """Reports the loads that were told too long ago."""
        if not self.is_active:
            return
        due = [
            identity
            for identity, (_, sent_at) in self.sent.items()
            if now - sent_at >= RESEND_PERIOD_S
        ]
        if due:
            self._changed_targets.update(due)
            self._report_changes()

    def remove_target(self, identity: str) -> None:
        """Removes the state of a target that was removed."""
        self.sent.pop(identity, None)
        self._ranked.pop(identity, None)
        self._changed_targets.discard(identity)

    async def on_stop(self) -> None:
        """Cancels the report that is scheduled."""
        if self._report_timer is not None:
            self._report_timer.cancel()


def _peer_load(entry: messages.SendEntry, now: float) -> routing.PeerLoad:
    return routing.PeerLoad(
        now, entry.running, entry.pending, entry.tokens, entry.suspects
    )
