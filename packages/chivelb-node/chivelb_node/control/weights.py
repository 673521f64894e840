"""Moves runners to the weight versions set by operators."""

from typing import Protocol

from chivelb_core import rollout
from chivelb_core import targets
from chivelb_core.rollout import swap as swap_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.control import controller
from chivelb_node.links import fleet as fleet_lib
from chivelb_node.telemetry import logs

PERIOD_S = 0.1
HOLD_S = 3.0
HOLD_RENEWAL_PERIOD_S = 1.0
_log = logs.get_logger("weights")


class RunnerPort(Protocol):
    """Queries the state of runners and sends them orders."""

    async def ask(
        self, record: targets.TargetRecord, model: str
    ) -> rollout.RunnerReport | None:
        """Returns the report of a runner, or None if it did not reply."""

    async def order(
        self,
        record: targets.TargetRecord,
        model: str,
        order: swap_lib.Order,
        token: int,
    ) -> str:
        """Sends an order and returns its result for the log."""


class WeightsService(mode.Service):
    """Controller of swaps, while this instance leads and has the lease.

    Attributes:
        context: Shared state of the instance.
        lease_holder: The controller lease.
        fleet: Notifies entry instances of runners that get no new work.
        port: Sends queries and orders to runners.
        swaps: Swaps in progress, by model.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        lease_holder: controller.ControllerSeat,
        fleet: fleet_lib.FleetService,
        port: RunnerPort,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.lease_holder = lease_holder
        self.fleet = fleet
        self.port = port
        self.swaps: dict[str, rollout.Swap] = {}
        self._holds_renewed_at = 0.0

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(PERIOD_S)
            self.lease_holder.observe()
            if not self.lease_holder.voting.is_leader:
                self.swaps.clear()
                continue
            for model, wanted in self.context.document_state.weights.items():
                await self._advance(model, wanted)

    def _records(self, model: str) -> list[targets.TargetRecord]:
        return [
            entry.record
            for entry in self.context.targets.entries.values()
            if entry.record.model == model and not entry.left
        ]

    async def _advance(self, model: str, wanted: int) -> None:
        records = self._records(model)
        swap = self.swaps.get(model) or rollout.Swap(model)
        outdated = swap.observe(records, wanted)
        if not outdated:
            self.swaps.pop(model, None)
            return
        self.swaps[model] = swap
        if not await self.lease_holder.hold():
            return
        self._query_due_runners(swap, records, wanted)
        load = self._running_requests(records)
        self._send_holds(swap, records, wanted, load)
        outdated = swap.observe(records, wanted)
        by_identity = {record.identity: record for record in records}
        now = context_lib.monotonic()
        for order in swap.to_order(outdated, wanted, load, now):
            swap.note_ordered(order, now)
            record = by_identity[order.identity]
            self.add_future(self._send_order(swap, record, order))

    def _running_requests(
        self, records: list[targets.TargetRecord]
    ) -> dict[str, int]:
        """Returns the requests in progress by target, as reported by peers."""
        now = context_lib.monotonic()
        return {
            record.identity: self.context.load.running(record.identity, now)
            for record in records
        }

    def _query_due_runners(
        self,
        swap: rollout.Swap,
        records: list[targets.TargetRecord],
        wanted: int,
    ) -> None:
        now = context_lib.monotonic()
        due = set(swap.to_ask(swap.observe(records, wanted), now))
        for record in records:
            if record.identity in due:
                swap.note_asked(record.identity, now)
                self.add_future(self._query_runner(swap, record, wanted))

    async def _query_runner(
        self, swap: rollout.Swap, record: targets.TargetRecord, wanted: int
    ) -> None:
        report = await self.port.ask(record, swap.model)
        if report is None:
            _log.warning(
                "runner did not report its state", target=record.identity
            )
        now = context_lib.monotonic()
        if not swap.note_report(record.identity, report, wanted, now):
            return
        _log.info(
            "runner serves wanted weights",
            target=record.identity,
            model=swap.model,
            version=report.version,
        )
        await self.fleet.hold(record, 0.0, str(report.version))

    def _send_holds(
        self,
        swap: rollout.Swap,
        records: list[targets.TargetRecord],
        wanted: int,
        load: dict[str, int],
    ) -> None:
        now = context_lib.monotonic()
        to_notify = set(swap.to_hold(swap.observe(records, wanted), load, now))
        for identity in to_notify:
            swap.note_held(identity, now)
        if now - self._holds_renewed_at >= HOLD_RENEWAL_PERIOD_S:
            self._holds_renewed_at = now
            to_notify.update(swap.held())
        for record in records:
            if record.identity in to_notify:
                self.add_future(self.fleet.hold(record, HOLD_S, ""))

    async def _send_order(
        self,
        swap: rollout.Swap,
        record: targets.TargetRecord,
        order: swap_lib.Order,
    ) -> None:
        result = "not sent: the controller lease expired"
        if self.lease_holder.may_order():
            result = await self.port.order(
                record, swap.model, order, self.lease_holder.token
            )
        swap.note_answered(order.identity)
        _log.info(
            "order sent",
            target=order.identity,
            model=swap.model,
            version=order.version,
            expected=order.expected,
            cuts_across=order.cuts_across,
            token=self.lease_holder.token,
            result=result,
        )
