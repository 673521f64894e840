"""Rollouts of the weight versions that the document sets.

``chivelbd`` runs them on the instance of the Raft leader. They decide from the
announcements of runners; those in ``weights`` query the runners instead.
"""

import asyncio

import aiohttp
from chivelb_core import rollout
from chivelb_core import targets
from chivelb_core.rollout import announced_rollout as announced_lib
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.control import controller
from chivelb_node.control import voter_service as voter_service_lib
from chivelb_node.links import limited_bodies
from chivelb_node.telemetry import logs

PERIOD_S = 0.2
ORDER_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 65_536
_log = logs.get_logger("rollout")


class OrderReply(msgspec.Struct):
    """Reply of a runner to an order.

    Attributes:
        state: ``accepted``, ``loading``, ``done`` or ``failed``. Orders are
            idempotent: a resend is not executed again.
    """

    state: str


class DocumentRolloutService(mode.Service):
    """Orders runners to load the current weight version of their model.

    The document in force sets the current version.

    Sends orders only while this instance is the Raft leader and holds the
    controller lease. A rollout moves all runners of a model to a version; it
    sends one order, of the kind "swap", to each of them.

    Attributes:
        context: Shared state of the instance.
        voter_service: Voter of this instance.
        session: HTTP client session for targets.
        lease_holder: The controller lease.
        rollouts: Rollouts by model; one stops when a runner fails to load.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        voter_service: voter_service_lib.VoterService,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.voter_service = voter_service
        self.session = session
        self.lease_holder = controller.ControllerLeaseHolder(
            context, voter_service
        )
        self.rollouts: dict[str, rollout.AnnouncedRollout] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(PERIOD_S)
            self.lease_holder.apply_grant()
            if (
                not self.voter_service.is_leader
                or not self._has_outdated_runners()
            ):
                continue
            await self.lease_holder.acquire_or_renew()
            for model in list(self.context.document.models):
                await self._advance(model)

    def _records(self, model: str) -> list[targets.TargetRecord]:
        now = context_lib.monotonic()
        return [
            entry.record
            for entry in self.context.targets.entries.values()
            if entry.record.role == "runner"
            and entry.record.model == model
            and not entry.is_leaving
            and entry.expires_at > now
        ]

    def _has_outdated_runners(self) -> bool:
        return any(
            record.weight_version != model.current
            for name, model in self.context.document.models.items()
            for record in self._records(name)
        )

    async def _advance(self, model: str) -> None:
        rollout_state = self.rollouts.setdefault(
            model, rollout.AnnouncedRollout(model)
        )
        wanted = self.context.document.models[model]
        records = self._records(model)
        failed_before = rollout_state.failed
        orders = rollout_state.plan(wanted, records, context_lib.monotonic())
        if rollout_state.failed and not failed_before:
            _log.error(
                "rollout stopped",
                model=model,
                version=wanted.current,
                target=rollout_state.failed,
            )
        by_identity = {record.identity: record for record in records}
        for order in orders:
            if not self.lease_holder.may_send_orders():
                return
            await self._send_order(
                rollout_state, order, by_identity[order.identity]
            )

    async def _send_order(
        self,
        rollout_state: rollout.AnnouncedRollout,
        order: announced_lib.LoadOrder,
        record: targets.TargetRecord,
    ) -> None:
        body = {
            "token": self.lease_holder.token,
            "order_id": order.order_id,
            "kind": "swap",
            "version": order.version,
        }
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self.session.post(
                    f"http://{record.address}/orders",
                    data=msgspec.json.encode(body),
                ) as response:
                    status = response.status
                    reply = await limited_bodies.read_limited(
                        response, MAX_REPLY_BYTES
                    )
            state = msgspec.json.decode(reply, type=OrderReply).state
        except (aiohttp.ClientError, TimeoutError):
            # The runner may have accepted the order. It is recorded as sent,
            # so that the limit on concurrent loads holds; a resend has the
            # same order id.
            status, state = 0, "unknown"
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            # Without a valid reply the order is not recorded as sent.
            state = "refused"
        if state == "failed":
            rollout_state.record_failed(order)
            _log.error(
                "rollout stopped",
                model=rollout_state.model,
                version=order.version,
                target=order.identity,
            )
        if state not in ("failed", "refused"):
            rollout_state.record_sent(
                order, record.incarnation, context_lib.monotonic()
            )
        _log.info(
            "order attempted",
            target=order.identity,
            version=order.version,
            token=self.lease_holder.token,
            status=status,
            state=state,
        )
