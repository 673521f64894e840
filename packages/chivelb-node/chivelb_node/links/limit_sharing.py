"""Shares the request limits of targets, and grants requests to limited ones.

Of the instances that place calls, the first by rendezvous hashing owns a
target: it tells all others of a change of the limit, and grants them requests
one by one. While it does not reply, the next one grants.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math

from chivelb_core.forwarding import choice
from chivelb_core.forwarding import request_limits as limits_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

GRANT_TIMEOUT_S = 0.15
# Number of instances that are asked for a grant, one after the other.
MAX_OWNERS_ASKED = 2
# Pause after none of them has replied.
NO_OWNER_DELAY_S = 0.3
CLEAN_UP_PERIOD_S = 10.0
_log = logs.get_logger("limits")


class LimitSharing(mode.Service):
    """Learns request limits, and gets and gives grants.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        places_calls: Whether an instance places calls at targets.
        on_grant: Called with the identity of a target to which a request may
            be sent now.
        schedules: Grants of the targets that this instance owns, or owned.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        *,
        places_calls: Callable[[str], bool] = lambda name: True,
    ) -> None:
        """Creates the service.

        Args:
            context: Shared state of the instance.
            hub: Links to peers.
            gossip: Membership.
            places_calls: Returns whether an instance places calls at targets;
                the others need no grants and give none.
        """
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.places_calls = places_calls
        self.on_grant: Callable[[str], None] = lambda identity: None
        self.schedules: dict[str, limits_lib.GrantSchedule] = {}
        context.request_limits.on_want = self._on_want
        hub.register_handler(messages.LimitNotice, self._on_notice)
        hub.register_handler(messages.GrantRequest, self._on_grant_request)

    # What answers of targets tell.

    def record_answer(
        self, identity: str, values: Sequence[str], sent_at: float
    ) -> None:
        """Records the limit that an answer names, or that it names none.

        Args:
            identity: The target.
            values: All values of the header that names a limit.
            sent_at: Monotonic time at which the request was sent, in seconds.
        """
        limits = self.context.request_limits
        if not values and limits.rate_per_s(identity) is None:
            return
        try:
            rate_per_s = limits_lib.parse_limit(values)
        except limits_lib.LimitError as error:
            _log.warning(
                "request limit not understood",
                target=identity,
                detail=str(error),
            )
            return
        now = context_lib.monotonic()
        if limits.record_answer(identity, rate_per_s, sent_at=sent_at, now=now):
            self._log_change(identity, "target")
            self._tell_of(identity)

    def _tell_of(self, identity: str) -> None:
        """Tells the owner of a limit, which tells all others."""
        owners = self._owners(identity)
        if owners[0] == self.hub.local_name:
            self.hub.broadcast(owners[1:], self._notice(identity))
        else:
            self.hub.send(owners[0], self._notice(identity))

    def _notice(self, identity: str) -> messages.LimitNotice:
        limit = self.context.request_limits.limits[identity]
        age_s = context_lib.monotonic() - limit.learned_at
        return messages.LimitNotice(
            identity,
            limit.rate_per_s is not None,
            limit.rate_per_s or 0.0,
            max(0.0, age_s),
        )

    def _on_notice(self, peer: str, notice: messages.LimitNotice) -> None:
        if not self._apply(peer, notice):
            return
        owners = self._owners(notice.identity)
        if owners[0] == self.hub.local_name:
            others = [name for name in owners[1:] if name != peer]
            self.hub.broadcast(others, self._notice(notice.identity))

    def _apply(self, peer: str, notice: messages.LimitNotice) -> bool:
        """Applies news of a peer; returns whether the limit has changed."""
        if not _is_valid(notice):
            _log.warning("request limit not understood", source=peer)
            return False
        changed = self.context.request_limits.apply(
            notice.identity,
            limits_lib.RequestLimit(
                notice.rate_per_s if notice.is_limited else None,
                context_lib.monotonic() - notice.age_s,
            ),
        )
        if changed:
            self._log_change(notice.identity, peer)
        return changed

    def _log_change(self, identity: str, source: str) -> None:
        _log.info(
            "request limit changed",
            target=identity,
            rate_per_s=self.context.request_limits.rate_per_s(identity),
            source=source,
        )

    def _owners(self, identity: str) -> list[str]:
        """Returns the instances that place calls, the owner first."""
        names = filter(self.places_calls, self.gossip.region_members())
        return choice.rank_by_rendezvous(identity, names)

    # Grants for this instance.

    def _on_want(self, identity: str) -> None:
        self.add_future(self.request_grant(identity))

    async def request_grant(self, identity: str) -> None:
        """Asks the owner of a target for a grant, and records its reply."""
        if self.context.request_limits.rate_per_s(identity) is None:
            return
        request = messages.GrantRequest(self._notice(identity))
        for owner in self._owners(identity)[:MAX_OWNERS_ASKED]:
            reply = await self.hub.request(owner, request, GRANT_TIMEOUT_S)
            if isinstance(reply, messages.GrantReply):
                self._record_reply(owner, reply)
                return
        now = context_lib.monotonic()
        self.context.request_limits.refuse(identity, now + NO_OWNER_DELAY_S)

    def _record_reply(self, owner: str, reply: messages.GrantReply) -> None:
        limits = self.context.request_limits
        identity = reply.limit.identity
        now = context_lib.monotonic()
        self._apply(owner, reply.limit)
        if limits.rate_per_s(identity) is None:
            self.on_grant(identity)
            return
        valid_from = now + max(0.0, reply.delay_s)
        if not reply.is_granted:
            limits.refuse(identity, valid_from)
            return
        expires_at = valid_from + limits_lib.GRANT_TTL_S
        limits.add_grant(identity, limits_lib.Grant(valid_from, expires_at))
        loop = asyncio.get_running_loop()
        loop.call_later(valid_from - now, self.on_grant, identity)

    # Grants for other instances.

    def _on_grant_request(
        self, peer: str, request: messages.GrantRequest
    ) -> messages.GrantReply | None:
        identity = request.limit.identity
        if self._apply(peer, request.limit):
            self._tell_of(identity)
        if identity not in self.context.request_limits.limits:
            return None
        rate_per_s = self.context.request_limits.rate_per_s(identity)
        if rate_per_s is None:
            return messages.GrantReply(self._notice(identity), True, 0.0)
        schedule = self.schedules.setdefault(
            identity, limits_lib.GrantSchedule()
        )
        is_granted, delay_s = schedule.grant(
            rate_per_s, context_lib.monotonic()
        )
        return messages.GrantReply(self._notice(identity), is_granted, delay_s)

    @mode.Service.task
    async def _clean_up(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CLEAN_UP_PERIOD_S)
            self.clean_up()

    def clean_up(self) -> None:
        """Removes the state of targets that are gone."""
        limits = self.context.request_limits
        known = self.context.targets.entries
        gone = [identity for identity in limits.limits if identity not in known]
        limits.forget(gone, context_lib.monotonic())
        for identity in self.schedules.keys() - limits.limits.keys():
            del self.schedules[identity]


def _is_valid(notice: messages.LimitNotice) -> bool:
    return (
        math.isfinite(notice.rate_per_s)
        and math.isfinite(notice.age_s)
        and notice.rate_per_s >= 0.0
        and notice.age_s >= 0.0
    )
