"""Aggregate of one model's swap on runners that are asked before an order.

Each order names the number of orders that its runner had accepted when it
was asked, so that an order which is carried out late, after another one,
does nothing.
"""

import dataclasses
import math

from chivelb_core import targets

LOADING_SHARE = 1 / 3
ASK_PERIOD_S = 0.25
SETTLE_S = 0.1
# Time that runs in progress have to end before the weights change.
DRAIN_S = 0.8
# Reports tell of a state that is some hundred milliseconds old.
REPORT_LAG_S = 0.8
# A runner that says nothing for so long no longer keeps others waiting.
STUCK_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class RunnerReport:
    """A runner's word on its weights.

    Attributes:
        version: Version of the model's weights; 0 when it is not told.
        busy: Whether an order is in progress.
        accepted: Number of orders accepted since its start.
    """

    version: int
    busy: bool
    accepted: int


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to load and serve a version.

    Attributes:
        identity: The runner.
        version: The version.
        expected: Number of orders that it must have accepted so far.
        cuts_across: Whether runs in progress go on under the new version,
            instead of ending first.
    """

    identity: str
    version: int
    expected: int
    cuts_across: bool = False


@dataclasses.dataclass(slots=True)
class RunnerState:
    """What the controller knows of one runner.

    Attributes:
        incarnation: Life of the runner that this is about.
        report: Its newest word, or None.
        asked_at: Time of the newest question, in seconds.
        held_at: Time since when no new work goes there, or None.
        ordered: Version of the order that is under way; 0 for none.
        expected: Orders that it had accepted before the one under way.
        ordered_at: Time when that one left, in seconds.
        waiting: Whether an answer of the runner is awaited.
    """

    incarnation: int
    report: RunnerReport | None = None
    asked_at: float = -math.inf
    held_at: float | None = None
    ordered: int = 0
    expected: int = 0
    ordered_at: float = -math.inf
    waiting: bool = False


class Swap:
    """The swap of one model towards a version.

    Rules: at most a share of the runners is held or loading at a time; a
    runner gets no order before new work has stopped going there; no order
    goes to a runner whose state is not known since the last one.

    Attributes:
        model: Name of the model.
        runners: State by identity.
    """

    __slots__ = ("model", "runners")

    def __init__(self, model: str) -> None:
        """Creates a swap that knows nothing of the runners."""
        self.model = model
        self.runners: dict[str, RunnerState] = {}

    def observe(
        self, records: list[targets.TargetRecord], wanted: int
    ) -> list[targets.TargetRecord]:
        """Takes the living runners and returns those that are behind."""
        living = {record.identity: record for record in records}
        for identity in list(self.runners):
            if identity not in living:
                del self.runners[identity]
        behind = []
        for identity, record in living.items():
            state = self.runners.get(identity)
            if state is None or state.incarnation != record.incarnation:
                state = RunnerState(record.incarnation)
                self.runners[identity] = state
            if self._version(record, state) < wanted or state.ordered:
                behind.append(record)
        return behind

    def _version(self, record: targets.TargetRecord, state: RunnerState) -> int:
        announced = int(record.weight_version or 0)
        if state.report is None:
            return announced
        return max(announced, state.report.version)

    def held(self) -> list[str]:
        """Returns the runners that no new work may go to."""
        return [
            identity
            for identity, state in self.runners.items()
            if state.held_at is not None
        ]

    def to_ask(
        self, behind: list[targets.TargetRecord], now: float
    ) -> list[str]:
        """Returns the runners whose state must be asked for now."""
        due = []
        for record in behind:
            state = self.runners[record.identity]
            wants = state.report is None or state.ordered
            if state.waiting or not wants:
                continue
            if now - state.asked_at >= ASK_PERIOD_S:
                due.append(record.identity)
        return due

    def to_hold(
        self,
        behind: list[targets.TargetRecord],
        load: dict[str, int],
        now: float,
    ) -> list[str]:
        """Returns the runners that new work must stop going to.

        Args:
            behind: Runners that are behind.
            load: Requests in progress by identity; idle runners go first.
            now: Time in seconds.
        """
        total = len(self.runners)
        limit = max(1, math.floor(total * LOADING_SHARE))
        held = sum(
            1
            for state in self.runners.values()
            if state.held_at is not None and now - state.held_at < STUCK_S
        )
        waiting = [
            record.identity
            for record in behind
            if self.runners[record.identity].held_at is None
            and self.runners[record.identity].report is not None
        ]
        waiting.sort(key=lambda identity: (load.get(identity, 0), identity))
        return waiting[: max(0, limit - held)]

    def to_order(
        self,
        behind: list[targets.TargetRecord],
        wanted: int,
        load: dict[str, int],
        now: float,
    ) -> list[Order]:
        """Returns the orders to send now.

        A runner gets its order when it is idle. After a while it gets one
        that changes the weights under the runs that are left, since waiting
        for the longest of them costs all others more.

        Args:
            behind: Runners that are behind.
            wanted: The version that they are to serve.
            load: Requests in progress by identity.
            now: Time in seconds.
        """
        orders = []
        for record in behind:
            state = self.runners[record.identity]
            if state.held_at is None or state.report is None or state.ordered:
                continue
            held_s = now - state.held_at
            if state.waiting or state.report.busy or held_s < SETTLE_S:
                continue
            left = load.get(record.identity, 0)
            if left and held_s < DRAIN_S:
                continue
            orders.append(
                Order(record.identity, wanted, state.report.accepted, left > 0)
            )
        return orders

    def note_asked(self, identity: str, now: float) -> None:
        """Notes that a runner is asked; ``note_report`` must follow."""
        state = self.runners[identity]
        state.asked_at = now
        state.waiting = True

    def note_held(self, identity: str, now: float) -> None:
        """Notes that new work stops going to a runner."""
        self.runners[identity].held_at = now

    def note_ordered(self, order: Order, now: float) -> None:
        """Notes that an order leaves; its runner must be asked after it."""
        state = self.runners[order.identity]
        state.ordered = order.version
        state.expected = order.expected
        state.ordered_at = now
        state.report = None
        state.waiting = True

    def note_answered(self, identity: str) -> None:
        """Notes that an order was answered, or that no answer comes."""
        state = self.runners.get(identity)
        if state is not None:
            state.waiting = False

    def note_report(
        self,
        identity: str,
        report: RunnerReport | None,
        wanted: int,
        now: float,
    ) -> bool:
        """Takes a runner's word; True when it may take new work again.

        Args:
            identity: The runner.
            report: Its word, or None when it gave none.
            wanted: The version that it is to serve.
            now: Time in seconds.
        """
        state = self.runners.get(identity)
        if state is None:
            return False
        state.waiting = False
        if report is None or _may_be_older_than_order(state, report, now):
            return False
        state.report = report
        if report.busy:
            return False
        # Nothing is under way: an order that did not arrive is sent again.
        state.ordered = 0
        if report.version < wanted:
            return False
        released = state.held_at is not None
        state.held_at = None
        return released


def _may_be_older_than_order(
    state: RunnerState, report: RunnerReport, now: float
) -> bool:
    """Tells whether a late report may not know the newest order yet."""
    if not state.ordered or report.busy or report.accepted > state.expected:
        return False
    return now - state.ordered_at < REPORT_LAG_S
