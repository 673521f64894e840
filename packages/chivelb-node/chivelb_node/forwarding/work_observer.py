"""Records what requests cost and how fast targets work them off."""

from typing import Protocol

from chivelb_core.forwarding import choice as choice_lib

from chivelb_node import context as context_lib

# Share of the time to the first event that is attributed to fetches at most:
# they run beside the wait in the queue of the target.
MAX_FETCH_SHARE = 0.5
METRICS_PERIOD_S = 1.0


class Observed(Protocol):
    """A reservation, as far as its times are observed.

    Attributes:
        placement: The chosen target and the plan for its prompt.
        reserved_at: Monotonic time when the call was sent, in seconds.
        first_event_at: Monotonic time of the first event, in seconds, or None.
        answered_at: Monotonic time of the head of the response, in seconds, or
            None.
        is_complete: Whether the response was received to its end.
    """

    placement: choice_lib.Placement
    reserved_at: float
    first_event_at: float | None
    answered_at: float | None
    is_complete: bool


class WorkObserver:
    """Passes the times of requests on to the estimates.

    Attributes:
        context: Shared state of the instance.
    """

    def __init__(self, context: context_lib.InstanceContext) -> None:
        """Creates an observer."""
        self.context = context
        self._metrics_updated_at = float("-inf")

    def observe_first_event(self, observed: Observed) -> None:
        """Records the time to the first event of a request with a prompt."""
        if observed.placement.fetch_plan is not None and self._is_direct(
            observed, observed.first_event_at
        ):
            elapsed_s = observed.first_event_at - observed.reserved_at
            self._record_first_event(
                observed, elapsed_s, observed.first_event_at
            )

    def _is_direct(self, observed: Observed, now: float) -> bool:
        """Returns whether the times of a request are those of its target.

        Those of one that went through another instance show the path as well.
        """
        return not self.context.is_unreachable(observed.placement.record, now)

    def _record_first_event(
        self, observed: Observed, elapsed_s: float, now: float
    ) -> None:
        placement = observed.placement
        record = placement.record
        estimates = self.context.work_estimates
        tokens = placement.tokens_to_prefill
        tokens_ahead = placement.candidate.pending_tokens
        fetch_s = placement.fetch_plan.fetch_s
        observed_s = elapsed_s - min(fetch_s, MAX_FETCH_SHARE * elapsed_s)
        expected_s = estimates.expected_first_event_s(
            record.service,
            record.identity,
            tokens=tokens,
            tokens_ahead=tokens_ahead,
        )
        metrics = self.context.metrics
        ratio = metrics.first_event_ratio.labels(record.service)
        ratio.observe(observed_s / expected_s)
        estimates.record_first_event(
            record.service,
            record.identity,
            tokens=tokens,
            tokens_ahead=tokens_ahead,
            observed_s=observed_s,
            now=now,
            crosses_zones=record.zone != self.context.settings.instance.zone,
        )
        if self.context.work_estimates.is_enabled:
            self._update_metrics(now)

    def observe_end(self, observed: Observed) -> None:
        """Records how long a request held its slot, if it was served.

        The end of a request without a prompt is the head of the response: the
        body ends when the caller has read it.
        """
        now = context_lib.monotonic()
        if not (observed.is_complete and self._is_direct(observed, now)):
            return
        if observed.placement.fetch_plan is None and observed.answered_at:
            now = observed.answered_at
        record = observed.placement.record
        self.context.work_estimates.record_end(
            record.service,
            record.identity,
            duration_s=now - observed.reserved_at,
            now=now,
        )

    def _update_metrics(self, now: float) -> None:
        """Sets the gauges of what was learned, without targets that are gone.

        It does so once in ``METRICS_PERIOD_S`` at most.
        """
        if now - self._metrics_updated_at < METRICS_PERIOD_S:
            return
        self._metrics_updated_at = now
        estimates = self.context.work_estimates
        estimates.keep_targets(self.context.targets.entries)
        slow_by_service = dict.fromkeys(estimates.services, 0)
        for identity, entry in self.context.targets.entries.items():
            service = entry.record.service
            if estimates.unusual_slowness(identity) > 1.0:
                slow_by_service[service] = slow_by_service.get(service, 0) + 1
        metrics = self.context.metrics
        for service, count in slow_by_service.items():
            metrics.slow_targets.labels(service).set(count)
            rate = estimates.prefill_tokens_per_s(service)
            metrics.prefill_rate.labels(service).set(rate)

    def observe_failure(self, observed: Observed) -> None:
        """Records the time for which a request had no event until it failed.

        Only a target that took longer than expected shows anything by it; one
        that refuses at once does not.
        """
        placement = observed.placement
        if placement.fetch_plan is None or observed.first_event_at is not None:
            return
        now = context_lib.monotonic()
        if not self._is_direct(observed, now):
            return
        elapsed_s = now - observed.reserved_at
        estimates = self.context.work_estimates
        service = placement.record.service
        expected_s = (
            estimates.first_event_s(service) + placement.time_to_first_token_s
        )
        if elapsed_s > expected_s:
            self._record_first_event(observed, elapsed_s, now)
