"""Brings runners to the weight versions that operators name."""

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
HOLD_AGAIN_S = 1.0
_log = logs.get_logger("weights")


class RunnerPort(Protocol):
    """Asks runners for their state and gives them orders."""

    async def ask(
        self, record: targets.TargetRecord, model: str
    ) -> rollout.RunnerReport | None:
        """Returns a runner's word, or None when there is none."""

    async def order(
        self,
        record: targets.TargetRecord,
        model: str,
        order: swap_lib.Order,
        token: int,
    ) -> str:
        """Sends an order and returns what came of it, for the log."""


class WeightsService(mode.Service):
    """The controller of swaps, while this instance leads and has the lease.

    Attributes:
        context: Aggregates of the instance.
        seat: The controller's lease.
        fleet: Tells entry instances which runners are held.
        port: Speaks to runners.
        swaps: Swaps under way, by model.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        seat: controller.ControllerSeat,
        fleet: fleet_lib.FleetService,
        port: RunnerPort,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.seat = seat
        self.fleet = fleet
        self.port = port
        self.swaps: dict[str, rollout.Swap] = {}
        self._held_again_at = 0.0

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(PERIOD_S)
            self.seat.observe()
            if not self.seat.voting.is_leader:
                self.swaps.clear()
                continue
            for model, wanted in self.context.register.weights.items():
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
        behind = swap.observe(records, wanted)
        if not behind:
            self.swaps.pop(model, None)
            return
        self.swaps[model] = swap
        if not await self.seat.hold():
            return
        self._ask(swap, records, wanted)
        load = self._load(records)
        self._hold(swap, records, wanted, load)
        behind = swap.observe(records, wanted)
        by_identity = {record.identity: record for record in records}
        now = context_lib.monotonic()
        for order in swap.to_order(behind, wanted, load, now):
            swap.note_ordered(order, now)
            record = by_identity[order.identity]
            self.add_future(self._order(swap, record, order))

    def _load(self, records: list[targets.TargetRecord]) -> dict[str, int]:
        """Returns the requests in progress that entry instances told of."""
        now = context_lib.monotonic()
        return {
            record.identity: self.context.load.running(record.identity, now)
            for record in records
        }

    def _ask(
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
                self.add_future(self._ask_one(swap, record, wanted))

    async def _ask_one(
        self, swap: rollout.Swap, record: targets.TargetRecord, wanted: int
    ) -> None:
        report = await self.port.ask(record, swap.model)
        if report is None:
            _log.warning("no report", target=record.identity)
        now = context_lib.monotonic()
        if not swap.note_report(record.identity, report, wanted, now):
            return
        _log.info(
            "weights in force",
            target=record.identity,
            model=swap.model,
            version=report.version,
        )
        await self.fleet.hold(record, 0.0, str(report.version))

    def _hold(
        self,
        swap: rollout.Swap,
        records: list[targets.TargetRecord],
        wanted: int,
        load: dict[str, int],
    ) -> None:
        now = context_lib.monotonic()
        chosen = set(swap.to_hold(swap.observe(records, wanted), load, now))
        for identity in chosen:
            swap.note_held(identity, now)
        if now - self._held_again_at >= HOLD_AGAIN_S:
            self._held_again_at = now
            chosen.update(swap.held())
        for record in records:
            if record.identity in chosen:
                self.add_future(self.fleet.hold(record, HOLD_S, ""))

    async def _order(
        self,
        swap: rollout.Swap,
        record: targets.TargetRecord,
        order: swap_lib.Order,
    ) -> None:
        result = "not sent: the lease lapsed"
        if self.seat.may_order():
            result = await self.port.order(
                record, swap.model, order, self.seat.token
            )
        swap.note_answered(order.identity)
        _log.info(
            "order sent",
            target=order.identity,
            model=swap.model,
            version=order.version,
            expected=order.expected,
            cuts_across=order.cuts_across,
            token=self.seat.token,
            result=result,
        )
