"""Rollout of one model's weights, based on the runners' announcements."""

import dataclasses

import msgspec

from chivelb_core import targets
from chivelb_core.document import model as model_lib

LOAD_START_TIMEOUT_S = 30.0
# For this time after an order was sent, the runner counts as loading although
# it has not announced so yet.
MAX_ANNOUNCEMENT_DELAY_S = 2.0


class LoadOrder(msgspec.Struct, frozen=True):
    """An order for a runner to load and serve a weight version.

    Attributes:
        identity: Identity of the runner.
        version: Name of the weight version to load.
        order_id: Idempotency key; the same for each resend, also by another
            controller.
    """

    identity: str
    version: str
    order_id: str


@dataclasses.dataclass(slots=True)
class SentOrder:
    """An order that was sent.

    Attributes:
        version: Name of the weight version to load.
        incarnation: Incarnation of the runner.
        sent_at: Monotonic time when it was sent, in seconds.
        loading: Whether the runner has announced since that it is loading.
    """

    version: str
    incarnation: int
    sent_at: float
    loading: bool = False


class AnnouncedRollout:
    """Rollout of one model's current weight version, ``Model.current``.

    Invariants: at most ``loads_at_once`` runners load at the same time; at
    least ``min_ready`` runners stay ready; after a failed load no order is
    issued until the model has another current weight version.

    Attributes:
        model: Name of the model.
        sent: Newest order by identity of the runner.
        failed: Identity of the runner whose load failed, or empty.
    """

    __slots__ = ("model", "sent", "failed", "_desired_version")

    def __init__(self, model: str) -> None:
        """Creates a rollout without any orders sent."""
        self.model = model
        self.sent: dict[str, SentOrder] = {}
        self.failed = ""
        self._desired_version = ""

    def plan(
        self,
        desired: model_lib.Model,
        records: list[targets.TargetRecord],
        now: float,
    ) -> list[LoadOrder]:
        """Returns the orders to send now.

        Args:
            desired: The model as specified by the document.
            records: Newest records of all live runners.
            now: Monotonic time in seconds.

        Returns:
            Orders; ``record_sent`` must be called for each that was sent.
        """
        if desired.current != self._desired_version:
            self._desired_version = desired.current
            self.failed = ""
            self.sent.clear()
        self._update(records, now)
        if self.failed:
            return []
        loading = {r.identity for r in records if self._is_loading(r, now)}
        ready = [
            r
            for r in records
            if r.state == "ready" and r.identity not in loading
        ]
        outdated = [r for r in ready if r.weight_version != desired.current]
        max_orders = min(
            desired.loads_at_once - len(loading),
            len(ready) - desired.min_ready,
        )
        candidates = sorted(outdated, key=lambda r: (r.running, r.identity))
        return [
            LoadOrder(
                record.identity,
                desired.current,
                f"{self.model}/{desired.current}/{record.identity}"
                f"/{record.incarnation}",
            )
            for record in candidates[: max(0, max_orders)]
        ]

    def record_sent(
        self, order: LoadOrder, incarnation: int, now: float
    ) -> None:
        """Records that an order was sent to a runner."""
        self.sent[order.identity] = SentOrder(order.version, incarnation, now)

    def record_failed(self, order: LoadOrder) -> None:
        """Records a runner's reply that an order failed."""
        if order.version == self._desired_version:
            self.failed = order.identity

    def is_done(
        self, desired: model_lib.Model, records: list[targets.TargetRecord]
    ) -> bool:
        """Whether all runners serve the model's current weight version."""
        return all(
            record.weight_version == desired.current for record in records
        )

    def _is_loading(self, record: targets.TargetRecord, now: float) -> bool:
        if record.state == "loading":
            return True
        sent = self.sent.get(record.identity)
        if sent is None or sent.incarnation != record.incarnation:
            return False
        if record.weight_version == sent.version:
            return False
        return (
            not sent.loading and now - sent.sent_at < MAX_ANNOUNCEMENT_DELAY_S
        )

    def _update(self, records: list[targets.TargetRecord], now: float) -> None:
        for record in records:
            sent = self.sent.get(record.identity)
            if sent is None or sent.incarnation != record.incarnation:
                continue
            if record.state == "loading":
                sent.loading = True
            elif record.weight_version == sent.version:
                continue
            elif sent.loading or now - sent.sent_at > LOAD_START_TIMEOUT_S:
                # The load ended, or never started within the timeout, and
                # the runner still serves the old version.
                self.failed = record.identity
