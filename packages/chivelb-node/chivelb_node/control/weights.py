"""Rollouts of the weight versions that operators set in the replicated log.

A runner is queried for its state before it gets an order to load weights.
While its weights change it is on hold: instances send it no new requests.
The platform package uses these rollouts; those in ``rollout``, which
``chivelbd`` uses, decide from announcements.
"""

import math
from typing import Protocol

from chivelb_core import rollout
from chivelb_core import targets
from chivelb_core.rollout import polled_rollout as polled_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.control import controller
from chivelb_node.links import target_replication as target_replication_lib
from chivelb_node.telemetry import logs

PERIOD_S = 0.1
HOLD_S = 3.0
HOLD_RENEWAL_PERIOD_S = 1.0
_log = logs.get_logger("weights")


class RunnerPort(Protocol):
    """Interface to runners: queries their state and sends them orders."""

    async def get_report(
        self, record: targets.TargetRecord, model: str
    ) -> rollout.RunnerReport | None:
        """Returns the report of a runner, or None if it did not reply."""

    async def send_order(
        self,
        record: targets.TargetRecord,
        model: str,
        order: polled_lib.LoadOrder,
        token: int,
    ) -> str:
        """Sends an order and returns its result for the log."""


class WeightRolloutService(mode.Service):
    """Orders runners to load the weight versions that operators set.

    Sends orders only while this instance is the Raft leader and holds the
    controller lease.

    Attributes:
        context: Shared state of the instance.
        lease_holder: The controller lease.
        target_replication: Tells the instances that serve callers which
            runners are on hold.
        port: Interface to runners, for queries and orders.
        polled_rollouts: Rollouts in progress, by model.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        lease_holder: controller.ControllerLeaseHolder,
        target_replication: target_replication_lib.TargetReplication,
        port: RunnerPort,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.lease_holder = lease_holder
        self.target_replication = target_replication
        self.port = port
        self.polled_rollouts: dict[str, rollout.PolledRollout] = {}
        self._holds_renewed_at = 0.0

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(PERIOD_S)
            self.lease_holder.apply_grant()
            if not self.lease_holder.voter_service.is_leader:
                self.polled_rollouts.clear()
                continue
            for model, wanted in self.context.document_state.weights.items():
                await self._advance(model, wanted)

    def _records(self, model: str) -> list[targets.TargetRecord]:
        return [
            entry.record
            for entry in self.context.targets.entries.values()
            if entry.record.model == model and not entry.is_leaving
        ]

    async def _advance(self, model: str, wanted: int) -> None:
        records = self._records(model)
        rollout_state = self.polled_rollouts.get(
            model
        ) or rollout.PolledRollout(model)
        rollout_state.observe(records, wanted)
        self._release_announced(rollout_state, records, wanted)
        outdated = rollout_state.observe(records, wanted)
        if not outdated:
            self.polled_rollouts.pop(model, None)
            return
        self.polled_rollouts[model] = rollout_state
        rollout_state.due_at = {
            record.identity: self.context.weights_due_at(record)
            for record in outdated
        }
        if not await self.lease_holder.acquire_or_renew():
            return
        self._query_due_runners(rollout_state, records, wanted)
        self._send_holds(rollout_state, records, wanted)
        outdated = rollout_state.observe(records, wanted)
        by_identity = {record.identity: record for record in records}
        now = context_lib.monotonic()
        for order in rollout_state.orders_to_send(outdated, wanted, now):
            rollout_state.record_order_sent(order, now)
            record = by_identity[order.identity]
            self.add_future(self._send_order(rollout_state, record, order))

    def _query_due_runners(
        self,
        rollout_state: rollout.PolledRollout,
        records: list[targets.TargetRecord],
        wanted: int,
    ) -> None:
        now = context_lib.monotonic()
        due = set(
            rollout_state.runners_to_query(
                rollout_state.observe(records, wanted), now
            )
        )
        for record in records:
            if record.identity in due:
                rollout_state.record_query(record.identity, now)
                self.add_future(
                    self._query_runner(rollout_state, record, wanted)
                )

    async def _query_runner(
        self,
        rollout_state: rollout.PolledRollout,
        record: targets.TargetRecord,
        wanted: int,
    ) -> None:
        report = await self._get_report(record, rollout_state.model)
        if report is None:
            _log.warning(
                "runner did not report its state", target=record.identity
            )
        now = context_lib.monotonic()
        if not rollout_state.record_report(
            record.identity, report, wanted, now
        ):
            return
        await self._release(rollout_state.model, record, report.version)

    async def _get_report(
        self, record: targets.TargetRecord, model: str
    ) -> rollout.RunnerReport | None:
        # Whatever fails for one runner must not end the service.
        try:
            return await self.port.get_report(record, model)
        except Exception as error:  # noqa: BLE001
            _log.error(
                "runner cannot be queried",
                target=record.identity,
                error=repr(error),
            )
            return None

    def _release_announced(
        self,
        rollout_state: rollout.PolledRollout,
        records: list[targets.TargetRecord],
        wanted: int,
    ) -> None:
        released = rollout_state.record_announcements(
            records, wanted, context_lib.monotonic()
        )
        for record in released:
            self.add_future(
                self._release(
                    rollout_state.model, record, int(record.weight_version)
                )
            )

    async def _release(
        self, model: str, record: targets.TargetRecord, version: int
    ) -> None:
        _log.info(
            "runner serves wanted weights",
            target=record.identity,
            model=model,
            version=version,
        )
        await self.target_replication.suspend_dispatch(
            record, 0.0, str(version)
        )

    def _send_holds(
        self,
        rollout_state: rollout.PolledRollout,
        records: list[targets.TargetRecord],
        wanted: int,
    ) -> None:
        now = context_lib.monotonic()
        to_notify = set(
            rollout_state.runners_to_hold(
                rollout_state.observe(records, wanted), now
            )
        )
        for identity in to_notify:
            rollout_state.record_hold(identity, now)
            self._log_hold(rollout_state, identity, now)
        if now - self._holds_renewed_at >= HOLD_RENEWAL_PERIOD_S:
            self._holds_renewed_at = now
            to_notify.update(rollout_state.held_runners())
        for record in records:
            if record.identity in to_notify:
                self.add_future(self._send_hold(rollout_state, record))

    def _log_hold(
        self, rollout_state: rollout.PolledRollout, identity: str, now: float
    ) -> None:
        # ``held`` and ``known`` are the runners on hold and all runners;
        # ``due_ms`` is the time until the runner is to have changed, if known.
        due_at = rollout_state.due_at.get(identity, math.inf)
        due_ms = None if math.isinf(due_at) else round((due_at - now) * 1000)
        _log.info(
            "runner put on hold",
            target=identity,
            model=rollout_state.model,
            held=len(rollout_state.held_runners()),
            known=len(rollout_state.runners),
            due_ms=due_ms,
        )

    async def _send_hold(
        self, rollout_state: rollout.PolledRollout, record: targets.TargetRecord
    ) -> None:
        # The hold may have ended since this was scheduled.
        if rollout_state.is_held(record.identity):
            await self.target_replication.suspend_dispatch(record, HOLD_S, "")

    async def _send_order(
        self,
        rollout_state: rollout.PolledRollout,
        record: targets.TargetRecord,
        order: polled_lib.LoadOrder,
    ) -> None:
        result = "not sent: the controller lease expired"
        if self.lease_holder.may_send_orders():
            # Whatever fails for one runner must not end the service.
            try:
                result = await self.port.send_order(
                    record, rollout_state.model, order, self.lease_holder.token
                )
            except Exception as error:  # noqa: BLE001
                result = repr(error)
        rollout_state.record_order_reply(order.identity)
        # ``expected`` is the number of orders that the runner must have
        # accepted before; ``requests`` are in progress there by its newest
        # report; ``cuts_across`` tells whether the weights change while
        # requests may be in progress.
        _log.info(
            "order attempted",
            target=order.identity,
            model=rollout_state.model,
            version=order.version,
            expected=order.expected_accepted,
            requests=order.requests,
            cuts_across=order.during_requests,
            token=self.lease_holder.token,
            result=result,
        )
