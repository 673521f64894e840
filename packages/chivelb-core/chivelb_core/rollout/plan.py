"""Aggregate of one model's swap: which runner is ordered next."""

import dataclasses

import msgspec

from chivelb_core import targets
from chivelb_core.document import model as model_lib

ORDER_TIMEOUT_S = 30.0
REPORT_DELAY_S = 2.0


class Order(msgspec.Struct, frozen=True):
    """An order for a runner.

    Attributes:
        identity: The runner.
        version: Weight version to load and serve.
        order_id: The same for each resend, whoever sends it.
    """

    identity: str
    version: str
    order_id: str


@dataclasses.dataclass(slots=True)
class Sent:
    """An order that was sent.

    Attributes:
        version: Version that was ordered.
        incarnation: Incarnation of the runner.
        at: Monotonic time of the order, in seconds.
        loading: Whether the runner was seen loading since.
    """

    version: str
    incarnation: int
    at: float
    loading: bool = False


class Rollout:
    """The swap of one model towards the document's current version.

    Rules: at most ``loads_at_once`` runners load together; at least
    ``min_ready`` stay ready; after a failed load no further one is ordered
    until the document names another version.

    Attributes:
        model: Name of the model.
        sent: Newest order by runner.
        failed: Runner whose load failed, or empty.
    """

    __slots__ = ("model", "sent", "failed", "_version")

    def __init__(self, model: str) -> None:
        """Creates a rollout that has ordered nothing."""
        self.model = model
        self.sent: dict[str, Sent] = {}
        self.failed = ""
        self._version = ""

    def plan(
        self,
        wanted: model_lib.Model,
        records: list[targets.TargetRecord],
        now: float,
    ) -> list[Order]:
        """Returns the orders to send now.

        Args:
            wanted: The model as the document has it.
            records: Newest records of its living runners.
            now: Monotonic time in seconds.

        Returns:
            Orders; ``note_sent`` must be called for each that was sent.
        """
        if wanted.current != self._version:
            self._version = wanted.current
            self.failed = ""
            self.sent.clear()
        self._observe(records, now)
        if self.failed:
            return []
        loading = {r.identity for r in records if self._is_loading(r, now)}
        ready = [
            r
            for r in records
            if r.state == "ready" and r.identity not in loading
        ]
        behind = [r for r in ready if r.weight_version != wanted.current]
        room = min(
            wanted.loads_at_once - len(loading),
            len(ready) - wanted.min_ready,
        )
        chosen = sorted(behind, key=lambda r: (r.running, r.identity))
        return [
            Order(
                record.identity,
                wanted.current,
                f"{self.model}/{wanted.current}/{record.identity}"
                f"/{record.incarnation}",
            )
            for record in chosen[: max(0, room)]
        ]

    def note_sent(self, order: Order, incarnation: int, now: float) -> None:
        """Notes that a runner took an order."""
        self.sent[order.identity] = Sent(order.version, incarnation, now)

    def note_failed(self, order: Order) -> None:
        """Takes a runner's word that it could not carry an order out."""
        if order.version == self._version:
            self.failed = order.identity

    def is_done(
        self, wanted: model_lib.Model, records: list[targets.TargetRecord]
    ) -> bool:
        """Tells whether all runners serve the document's version."""
        return all(
            record.weight_version == wanted.current for record in records
        )

    def _is_loading(self, record: targets.TargetRecord, now: float) -> bool:
        if record.state == "loading":
            return True
        sent = self.sent.get(record.identity)
        if sent is None or sent.incarnation != record.incarnation:
            return False
        if record.weight_version == sent.version:
            return False
        return not sent.loading and now - sent.at < REPORT_DELAY_S

    def _observe(self, records: list[targets.TargetRecord], now: float) -> None:
        for record in records:
            sent = self.sent.get(record.identity)
            if sent is None or sent.incarnation != record.incarnation:
                continue
            if record.state == "loading":
                sent.loading = True
            elif record.weight_version == sent.version:
                continue
            elif sent.loading or now - sent.at > ORDER_TIMEOUT_S:
                # It loaded, or had the time to, and serves the old one.
                self.failed = record.identity
