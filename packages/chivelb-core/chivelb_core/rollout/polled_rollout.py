"""Rollout of one model's weights on runners that are queried first.

A runner is queried for its state before it gets an order, the command to load
and serve a weight version. Each order carries the number of orders that the
runner had accepted when it was queried, so that a runner ignores an order
that arrives late, after another one.
"""

from collections.abc import Iterator
import dataclasses
import math
import statistics

from chivelb_core import targets
from chivelb_core.rollout import pacing

# Share of the runners that may be without requests, unless the version would
# be in force too late.
MAX_UNAVAILABLE_RATIO = 1 / 3
QUERY_INTERVAL_S = 0.25
HOLD_PROPAGATION_S = 0.1
# Time for requests in progress to finish before the weights change.
DRAIN_TIMEOUT_S = 0.8
# A report may show a state that is up to this old; usually it is some hundred
# milliseconds old.
MAX_REPORT_LAG_S = 0.8
# A runner on hold that did not report for this long no longer counts towards
# the maximum, so that it cannot block the rollout.
UNRESPONSIVE_AFTER_S = 5.0
# After this many queries in a row without a report the pace of the rollout does
# not depend on the runner.
SILENT_QUERIES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class RunnerReport:
    """A runner's report on its weights.

    Attributes:
        version: Number of the weight version that it serves; 0 if not
            reported.
        busy: Whether the runner is carrying out an order.
        accepted_orders: Number of orders that the runner accepted since its
            start.
        requests: Number of requests that it runs or that wait there.
    """

    version: int
    busy: bool
    accepted_orders: int
    requests: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class LoadOrder:
    """An order to load and serve a version.

    Attributes:
        identity: Identity of the runner.
        version: Number of the weight version to load.
        expected_accepted: Number of orders that the runner must have accepted
            so far; otherwise it ignores this one.
        during_requests: Whether the weights change while requests are in
            progress, which continue under the new version; otherwise the
            runner finishes them first.
        requests: Number of requests in progress by the newest report.
    """

    identity: str
    version: int
    expected_accepted: int
    during_requests: bool = False
    requests: int = 0


@dataclasses.dataclass(slots=True)
class RunnerState:
    """The controller's view of one runner.

    Attributes:
        incarnation: Incarnation of the runner.
        report: Its newest report, or None.
        queried_at: Monotonic time of the newest query, in seconds.
        held_since: Monotonic time since which the runner gets no new requests,
            in seconds; None if it is not on hold.
        pending_version: Weight version number of the pending order; 0 for none.
        expected_accepted: Number of orders that the runner had accepted
            before the pending one.
        order_sent_at: Monotonic time when the pending order was sent, in
            seconds.
        awaiting_reply: Whether a query or an order awaits its reply.
        reported_at: Monotonic time of the newest report, in seconds.
        failed_queries: Number of queries without a report since the last one
            with a report.
    """

    incarnation: int
    report: RunnerReport | None = None
    queried_at: float = -math.inf
    held_since: float | None = None
    pending_version: int = 0
    expected_accepted: int = 0
    order_sent_at: float = -math.inf
    awaiting_reply: bool = False
    reported_at: float = -math.inf
    failed_queries: int = 0


class PolledRollout:
    """Rollout of one model's numbered weight version.

    Invariants: at most ``MAX_UNAVAILABLE_RATIO`` of the runners, or one, are
    on hold or loading at a time, not counting runners that for
    ``UNRESPONSIVE_AFTER_S`` sent no report or obeyed no order, or as many more
    as are needed for each to change by ``due_at``, but not all of several
    runners; a runner gets no order before it has stopped getting new requests,
    nor before it has been queried after the previous order. Whether it is idle
    is known from its own reports only.

    Attributes:
        model: Name of the model.
        runners: View of each runner, by identity.
        due_at: Monotonic time by which a runner is to have changed, in
            seconds, by its identity; none for runners without such a time.
        durations_s: Time from the hold of each runner that changed until it
            served the version, in seconds.
    """

    __slots__ = ("model", "runners", "due_at", "durations_s")

    def __init__(self, model: str) -> None:
        """Creates a rollout without known runners and without a due time."""
        self.model = model
        self.runners: dict[str, RunnerState] = {}
        self.due_at: dict[str, float] = {}
        self.durations_s: list[float] = []

    def observe(
        self, records: list[targets.TargetRecord], desired_version: int
    ) -> list[targets.TargetRecord]:
        """Updates the set of runners and returns the outdated ones.

        Args:
            records: Newest records of all live runners.
            desired_version: Number of the weight version that the runners are
                to serve.

        Returns:
            Records of the runners with an older version or a pending order.
        """
        alive = {record.identity: record for record in records}
        for identity in list(self.runners):
            if identity not in alive:
                del self.runners[identity]
        outdated = []
        for identity, record in alive.items():
            state = self.runners.get(identity)
            if state is None or state.incarnation != record.incarnation:
                state = RunnerState(record.incarnation)
                self.runners[identity] = state
            if (
                self._known_version(record, state) < desired_version
                or state.pending_version
            ):
                outdated.append(record)
        return outdated

    def _known_version(
        self, record: targets.TargetRecord, state: RunnerState
    ) -> int:
        announced = int(record.weight_version or 0)
        if state.report is None:
            return announced
        return max(announced, state.report.version)

    def is_held(self, identity: str) -> bool:
        """Returns whether a runner is on hold."""
        state = self.runners.get(identity)
        return state is not None and state.held_since is not None

    def held_runners(self) -> list[str]:
        """Returns the identities of the runners that are on hold."""
        return [
            identity
            for identity, state in self.runners.items()
            if state.held_since is not None
        ]

    def runners_to_query(
        self, outdated: list[targets.TargetRecord], now: float
    ) -> list[str]:
        """Returns the identities of the runners to query now."""
        to_query = []
        for record in outdated:
            state = self.runners[record.identity]
            if state.awaiting_reply or not _needs_query(state, now):
                continue
            if (
                _is_hold_unreported(state, now)
                or now - state.queried_at >= QUERY_INTERVAL_S
            ):
                to_query.append(record.identity)
        return to_query

    def runners_to_hold(
        self,
        outdated: list[targets.TargetRecord],
        now: float,
    ) -> list[str]:
        """Returns the identities of the runners to put on hold now.

        Those that are due first come first, among them those that reported the
        fewest requests.

        Args:
            outdated: Records of the outdated runners.
            now: Monotonic time in seconds.
        """
        held_count = sum(1 for _ in self._changing(now))
        max_held = self._max_held(outdated, now)
        candidates = [
            record.identity
            for record in outdated
            if self.runners[record.identity].held_since is None
            and self.runners[record.identity].report is not None
        ]
        candidates.sort(
            key=lambda identity: (
                self._due_at(identity),
                self.runners[identity].report.requests,
                identity,
            )
        )
        return candidates[: max(0, max_held - held_count)]

    def _changing(self, now: float) -> Iterator[RunnerState]:
        """Yields the runners on hold, except those that do not change."""
        for state in self.runners.values():
            if state.held_since is None or _is_disobedient(state, now):
                continue
            silent_since = max(state.held_since, state.reported_at)
            if now - silent_since < UNRESPONSIVE_AFTER_S:
                yield state

    def _expected_change_s(self, now: float) -> float:
        """Returns how long a change takes in seconds, by what was observed.

        Before the first has ended, it is the age of those in progress.
        """
        if self.durations_s:
            return statistics.median_high(self.durations_s)
        ages = [now - state.held_since for state in self._changing(now)]
        return max([HOLD_PROPAGATION_S, *ages])

    def _max_held(
        self, outdated: list[targets.TargetRecord], now: float
    ) -> int:
        """Returns how many runners may be on hold at a time."""
        total = len(self.runners)
        by_capacity = max(1, math.floor(total * MAX_UNAVAILABLE_RATIO))
        needed = self._needed_at_once(outdated, now)
        return max(by_capacity, min(needed, total - 1))

    def _needed_at_once(
        self, outdated: list[targets.TargetRecord], now: float
    ) -> int:
        """Returns how many must change at a time for all to be in time.

        A runner that cannot be in time any more must change now.
        """
        change_s = self._expected_change_s(now)
        due_times = sorted(
            max(self._due_at(record.identity), now + change_s)
            for record in outdated
            if _is_waiting(self.runners[record.identity])
        )
        ends = sorted(
            state.held_since + change_s for state in self._changing(now)
        )
        return pacing.places_needed(due_times, ends, change_s=change_s, now=now)

    def _due_at(self, identity: str) -> float:
        return self.due_at.get(identity, math.inf)

    def _drain_timeout_s(self, identity: str, now: float) -> float:
        """Returns for how long requests in progress may finish, in seconds."""
        if self._due_at(identity) - now < self._expected_change_s(now):
            return 0.0
        return DRAIN_TIMEOUT_S

    def orders_to_send(
        self,
        outdated: list[targets.TargetRecord],
        desired_version: int,
        now: float,
    ) -> list[LoadOrder]:
        """Returns the orders to send now.

        A runner gets its order once it reports that it is idle. After
        ``DRAIN_TIMEOUT_S``, or at once if the time left is shorter than a
        change has taken, the order changes the weights while the remaining
        requests are in progress, since waiting for the longest of them delays
        all other requests more.

        A runner that finishes requests first cannot be told otherwise later.
        The order therefore leaves that to it only if its report cannot have
        missed a request.

        Args:
            outdated: Records of the outdated runners.
            desired_version: Number of the weight version that the runners are
                to serve.
            now: Monotonic time in seconds.
        """
        orders = []
        for record in outdated:
            state = self.runners[record.identity]
            if not _may_get_order(state, now):
                continue
            is_idle = (
                state.queried_at >= state.held_since + HOLD_PROPAGATION_S
                and not state.report.requests
            )
            drain_timeout_s = self._drain_timeout_s(record.identity, now)
            if not is_idle and now - state.held_since < drain_timeout_s:
                continue
            may_have_missed_requests = (
                state.queried_at < state.held_since + MAX_REPORT_LAG_S
            )
            orders.append(
                LoadOrder(
                    record.identity,
                    desired_version,
                    state.report.accepted_orders,
                    not is_idle or may_have_missed_requests,
                    state.report.requests,
                )
            )
        return orders

    def record_query(self, identity: str, now: float) -> None:
        """Records a query; ``record_report`` must be called afterwards."""
        state = self.runners[identity]
        state.queried_at = now
        state.awaiting_reply = True

    def record_hold(self, identity: str, now: float) -> None:
        """Records that a runner was put on hold."""
        self.runners[identity].held_since = now

    def record_order_sent(self, order: LoadOrder, now: float) -> None:
        """Records a sent order; the runner must be queried again."""
        state = self.runners[order.identity]
        state.pending_version = order.version
        state.expected_accepted = order.expected_accepted
        state.order_sent_at = now
        state.report = None
        state.awaiting_reply = True

    def record_order_reply(self, identity: str) -> None:
        """Records that the reply to an order arrived or is given up."""
        state = self.runners.get(identity)
        if state is not None:
            state.awaiting_reply = False

    def record_report(
        self,
        identity: str,
        report: RunnerReport | None,
        desired_version: int,
        now: float,
    ) -> bool:
        """Records the result of a query.

        Args:
            identity: Identity of the runner.
            report: Its report, or None if the query failed.
            desired_version: Number of the weight version that the runner is to
                serve.
            now: Monotonic time in seconds.

        Returns:
            True if the runner's hold ended, so that it may get new requests
            again.
        """
        state = self.runners.get(identity)
        if state is None:
            return False
        state.awaiting_reply = False
        if report is None:
            state.failed_queries += 1
            return False
        state.failed_queries = 0
        state.reported_at = now
        if _may_predate_order(state, report, now):
            return False
        state.report = report
        if report.busy:
            return False
        # No order is pending any more; a lost one will be sent again.
        state.pending_version = 0
        if report.version < desired_version:
            return False
        return self._end_hold(state, now)

    def record_announcements(
        self,
        records: list[targets.TargetRecord],
        desired_version: int,
        now: float,
    ) -> list[targets.TargetRecord]:
        """Records what runners announce, which may be newer than a report.

        Args:
            records: Newest records of all live runners.
            desired_version: Number of the weight version that the runners are
                to serve.
            now: Monotonic time in seconds.

        Returns:
            Records of the runners whose hold ended.
        """
        released = []
        for record in records:
            state = self.runners.get(record.identity)
            if state is None or state.incarnation != record.incarnation:
                continue
            if int(record.weight_version or 0) < desired_version:
                continue
            state.pending_version = 0
            if self._end_hold(state, now):
                released.append(record)
        return released

    def _end_hold(self, state: RunnerState, now: float) -> bool:
        """Ends the hold of a runner, if any; returns whether there was one."""
        if state.held_since is None:
            return False
        self.durations_s.append(now - state.held_since)
        state.held_since = None
        return True


def _is_waiting(state: RunnerState) -> bool:
    """Whether a runner that answers is not on hold yet."""
    return (
        state.held_since is None
        and state.report is not None
        and state.failed_queries < SILENT_QUERIES
    )


def _needs_query(state: RunnerState, now: float) -> bool:
    return (
        state.report is None
        or state.pending_version > 0
        or (
            state.held_since is not None
            and now - state.held_since >= HOLD_PROPAGATION_S
        )
    )


def _is_disobedient(state: RunnerState, now: float) -> bool:
    """Whether a runner on hold reports for long that it obeys no order."""
    return (
        state.held_since is not None
        and now - state.held_since >= UNRESPONSIVE_AFTER_S
        and state.report is not None
        and not state.report.busy
    )


def _is_hold_unreported(state: RunnerState, now: float) -> bool:
    """Whether no query was made since the hold reached all instances."""
    if state.held_since is None:
        return False
    effective_at = state.held_since + HOLD_PROPAGATION_S
    return state.queried_at < effective_at <= now


def _may_get_order(state: RunnerState, now: float) -> bool:
    return (
        state.held_since is not None
        and now - state.held_since >= HOLD_PROPAGATION_S
        and state.report is not None
        and not state.report.busy
        and not state.pending_version
        and not state.awaiting_reply
    )


def _may_predate_order(
    state: RunnerState, report: RunnerReport, now: float
) -> bool:
    """Whether a report may show the state before the pending order."""
    if (
        not state.pending_version
        or report.busy
        or report.accepted_orders > state.expected_accepted
    ):
        return False
    return now - state.order_sent_at < MAX_REPORT_LAG_S
