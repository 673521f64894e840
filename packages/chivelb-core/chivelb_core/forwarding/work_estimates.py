"""Estimates of what requests cost and how fast targets work them off.

They are learned from the requests of this instance, and from the observations
that others pass on. There is no clock here: callers pass monotonic times.

Two figures describe the prefill of a service: the time to the first event of
a request with nothing to prefill, and the time for each token that is ahead of
it or its own. They are the coefficients of a regression over the service's
requests. A target has one figure, its slowness: the ratio of its times to
those that its service's figures give. An instance sees few requests of each
target, so the estimate of a ratio counts as if some requests of ratio one had
been observed as well, and a single request can't move it far.
"""

from collections.abc import Mapping
import dataclasses
import math

# Estimates before anything was observed.
START_FIRST_EVENT_S = 0.1
START_PREFILL_TOKENS_PER_S = 100_000.0
START_RUNNER_OCCUPANCY_S = 2.0
START_PLAIN_OCCUPANCY_S = 0.05
# Bounds of all estimates.
MIN_TIME_S = 1e-4
MAX_TIME_S = 600.0
MIN_TOKENS_PER_S = 10.0
MAX_TOKENS_PER_S = 1e8
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 20.0
# Time after which an observation has half of its weight.
HALF_LIFE_S = 4.0
# Weight that the observations of a service keep while nothing is observed: an
# engine does not change because it is not used. Those of a target lose all
# their weight, so that one that was slow is tried again.
RETAINED_WEIGHT = 8.0
# Weight of the start values, in observations.
START_WEIGHT = 2.0
# Weight of the assumption that a target is like its service, in observations.
SERVICE_WEIGHT = 3.0
# Observed times count as at most this many times as long or as short as they
# were expected, so that an outlier has a bounded effect.
MAX_RATIO = 3.0
# Weight from which the observations of a service can be compared with.
CONFIDENT_WEIGHT = 5.0
# Targets up to this ratio slower than their service count as usual.
USUAL_SLOWNESS = 1.25
# A slowness is computed again after this time without observations.
SLOWNESS_PERIOD_S = 0.25
_LOG_MAX_RATIO = math.log(MAX_RATIO)


class DecayingMean:
    """Mean of observations whose weight decays.

    Attributes:
        weight: Weight of the observations that the mean is made of.
        total: Weighted sum of the observations.
        updated_at: Monotonic time to which the weight has decayed, in seconds.
        retained_weight: Weight below which the passage of time does not take
            it.
    """

    __slots__ = ("weight", "total", "updated_at", "retained_weight")

    def __init__(self, *, retained_weight: float = 0.0) -> None:
        """Creates a mean of no observations."""
        self.weight = 0.0
        self.total = 0.0
        self.updated_at = 0.0
        self.retained_weight = retained_weight

    def decay(self, now: float) -> None:
        """Reduces the weight by the time that has passed."""
        factor = decay_factor(now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        if self.weight * factor < self.retained_weight:
            factor = min(1.0, self.retained_weight / max(self.weight, 1e-9))
        self.weight *= factor
        self.total *= factor

    def add(self, value: float, now: float, *, weight: float = 1.0) -> None:
        """Adds an observation."""
        self.decay(now)
        self.weight += weight
        self.total += weight * value

    def mean(self, start: float, start_weight: float) -> float:
        """Returns the mean, with a start value of some weight."""
        weight = self.weight + start_weight
        if weight <= 0.0:
            return start
        return (self.total + start * start_weight) / weight


def decay_factor(elapsed_s: float) -> float:
    """Returns the share of its weight that an observation has left."""
    return 0.5 ** (max(0.0, elapsed_s) / HALF_LIFE_S)


@dataclasses.dataclass(slots=True)
class PrefillFit:
    """Regression of the time to the first event over the tokens to prefill.

    It minimizes the squares of relative errors, since the errors of long
    prefills are larger. The start values count as observations.

    Attributes:
        first_event_s: Time to the first event with nothing to prefill.
        s_per_token: Additional time for each token.
        weight: Weight of the observations.
        sums: Weighted sums of 1, x, x², y and x y, each divided by the square
            of the expected time; x is the number of tokens and y the time.
        updated_at: Monotonic time to which the weights have decayed.
    """

    first_event_s: float = START_FIRST_EVENT_S
    s_per_token: float = 1.0 / START_PREFILL_TOKENS_PER_S
    weight: float = 0.0
    sums: list[float] = dataclasses.field(default_factory=lambda: [0.0] * 5)
    updated_at: float = 0.0

    def expected_s(self, tokens: int) -> float:
        """Returns the expected time to the first event."""
        return self.first_event_s + self.s_per_token * tokens

    def add(self, tokens: int, observed_s: float, now: float) -> None:
        """Adds an observation and updates the coefficients."""
        factor = decay_factor(now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        if self.weight * factor < RETAINED_WEIGHT:
            factor = min(1.0, RETAINED_WEIGHT / max(self.weight, 1e-9))
        expected_s = self.expected_s(tokens)
        observed_s = min(
            max(observed_s, expected_s / MAX_RATIO), expected_s * MAX_RATIO
        )
        w = 1.0 / expected_s**2
        terms = (w, w * tokens, w * tokens**2, w * observed_s)
        terms += (w * tokens * observed_s,)
        self.sums = [
            factor * total + term
            for total, term in zip(self.sums, terms, strict=True)
        ]
        self.weight = factor * self.weight + 1.0
        self._solve()

    def _solve(self) -> None:
        n, sx, sxx, sy, sxy = self.sums
        start_a = START_FIRST_EVENT_S
        start_b = 1.0 / START_PREFILL_TOKENS_PER_S
        weight_a = START_WEIGHT / start_a**2
        weight_b = START_WEIGHT / start_b**2
        n, sy = n + weight_a, sy + weight_a * start_a
        sxx, sxy = sxx + weight_b, sxy + weight_b * start_b
        determinant = n * sxx - sx * sx
        if determinant <= 0.0:
            return
        b = (n * sxy - sx * sy) / determinant
        b = min(max(b, 1.0 / MAX_TOKENS_PER_S), 1.0 / MIN_TOKENS_PER_S)
        self.s_per_token = b
        self.first_event_s = min(max((sy - b * sx) / n, MIN_TIME_S), MAX_TIME_S)


@dataclasses.dataclass(slots=True)
class ServiceWork:
    """Observations of a service.

    Attributes:
        runs_model: Whether its targets are runners.
        prefill: Time to the first event of its requests.
        occupancy: Logarithm of the time that a request holds a slot.
        occupancy_s: Mean time that a request holds a slot.
        output: Logarithm of the ratio of generated to expected tokens.
        error: Absolute difference of the logarithms of observed and expected
            times to the first event.
    """

    runs_model: bool = True
    prefill: PrefillFit = dataclasses.field(default_factory=PrefillFit)
    occupancy: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(retained_weight=RETAINED_WEIGHT)
    )
    output: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(retained_weight=RETAINED_WEIGHT)
    )
    error: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(retained_weight=RETAINED_WEIGHT)
    )

    @property
    def start_occupancy_s(self) -> float:
        """Time that a request holds a slot before any was observed."""
        if self.runs_model:
            return START_RUNNER_OCCUPANCY_S
        return START_PLAIN_OCCUPANCY_S

    @property
    def occupancy_s(self) -> float:
        """Mean time that a request holds a slot, in seconds."""
        mean_s = self.occupancy.mean(self.start_occupancy_s, START_WEIGHT)
        return min(max(mean_s, MIN_TIME_S), MAX_TIME_S)


@dataclasses.dataclass(slots=True)
class TargetWork:
    """Observations of a target.

    Attributes:
        log_ratio: Logarithm of the ratio of its times to those of its service.
        slowness: The ratio, as computed last.
        computed_at: Monotonic time when it was computed, in seconds.
    """

    log_ratio: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    slowness: float = 1.0
    computed_at: float = -math.inf

    def compute(self, now: float) -> None:
        """Computes the slowness."""
        self.log_ratio.decay(now)
        slowness = math.exp(self.log_ratio.mean(0.0, SERVICE_WEIGHT))
        self.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        self.computed_at = now


class WorkEstimates:
    """Estimates of the cost of requests by service and target.

    Attributes:
        is_enabled: Whether observations are used; otherwise all estimates are
            the start values.
        services: Observations by service.
        targets: Observations of targets, by identity.
        now: Monotonic time of the estimates, in seconds.
    """

    __slots__ = ("is_enabled", "services", "targets", "now")

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Creates estimates without observations."""
        self.is_enabled = is_enabled
        self.services: dict[str, ServiceWork] = {}
        self.targets: dict[str, TargetWork] = {}
        self.now = 0.0

    def advance(self, now: float) -> None:
        """Sets the time up to which observations have lost weight."""
        self.now = max(now, self.now)

    def update_services(
        self, runs_model_by_service: Mapping[str, bool]
    ) -> None:
        """Keeps the observations of services that exist and are the same kind.

        Args:
            runs_model_by_service: Whether the targets of a service are runners.
        """
        self.services = {
            name: known
            if (known := self.services.get(name)) is not None
            and known.runs_model == runs_model
            else ServiceWork(runs_model)
            for name, runs_model in runs_model_by_service.items()
        }

    def _service(self, service: str) -> ServiceWork:
        work = self.services.get(service)
        if work is None:
            work = self.services[service] = ServiceWork()
        return work

    def remove_target(self, identity: str) -> None:
        """Discards what was observed of a target."""
        self.targets.pop(identity, None)

    # Estimates.

    def first_event_s(self, service: str) -> float:
        """Returns the time from a send to the first event, in seconds.

        It is that of a request with nothing to prefill, at a target that has
        nothing else to prefill.
        """
        work = self.services.get(service)
        if work is None or not self.is_enabled:
            return START_FIRST_EVENT_S
        return work.prefill.first_event_s

    def prefill_tokens_per_s(
        self, service: str, identity: str | None = None
    ) -> float:
        """Returns the prefill throughput of a target, in tokens per second.

        Args:
            service: Name of the service.
            identity: Identity of the target; None for a usual one.
        """
        work = self.services.get(service)
        if work is None or not self.is_enabled:
            return START_PREFILL_TOKENS_PER_S
        return 1.0 / (work.prefill.s_per_token * self.slowness(identity))

    def occupancy_s(self, service: str) -> float:
        """Returns the mean time that a request holds a slot, in seconds."""
        work = self.services.get(service)
        if work is None:
            return START_RUNNER_OCCUPANCY_S
        return work.occupancy_s if self.is_enabled else work.start_occupancy_s

    def slowness(self, identity: str | None) -> float:
        """Returns the ratio of a target's times to those of its service.

        It is 1.0 for a target of which little is known.
        """
        work = self.targets.get(identity)
        if work is None or not self.is_enabled:
            return 1.0
        if self.now - work.computed_at > SLOWNESS_PERIOD_S:
            work.compute(self.now)
        return work.slowness

    def confidence(self, identity: str) -> float:
        """Returns the weight of what was observed of a target."""
        work = self.targets.get(identity)
        if work is None:
            return 0.0
        work.log_ratio.decay(self.now)
        return work.log_ratio.weight

    def wait_s(
        self,
        service: str,
        identity: str,
        pending_tokens: int,
        running: int,
        slots: int,
    ) -> float:
        """Returns the outstanding work before a new request, in seconds.

        Args:
            service: Name of the service.
            identity: Identity of the target.
            pending_tokens: Prompt tokens that await prefill there.
            running: Requests in progress there.
            slots: Maximum number of concurrent requests.
        """
        wait_s = pending_tokens / self.prefill_tokens_per_s(service, identity)
        excess = running - slots
        if excess >= 0:
            slot_s = self.occupancy_s(service) * self.slowness(identity)
            wait_s += (excess + 1) * slot_s / max(1, slots)
        return wait_s

    # Observations.

    def record_first_event(
        self,
        service: str,
        identity: str,
        *,
        tokens: int,
        observed_s: float,
        now: float,
    ) -> None:
        """Records the time to the first event of a request.

        Args:
            service: Name of the service.
            identity: Identity of the target.
            tokens: Prompt tokens that were ahead of it when it was sent, and
                its own to prefill.
            observed_s: Time from the send to the first event, without the
                expected time of fetches, in seconds.
            now: Monotonic time in seconds.
        """
        if not 0.0 < observed_s < math.inf:
            return
        work = self._service(service)
        expected_s = work.prefill.expected_s(tokens)
        is_confident = work.prefill.weight >= CONFIDENT_WEIGHT
        work.prefill.add(tokens, observed_s, now)
        if is_confident:
            ratio = math.log(observed_s / expected_s)
            work.error.add(abs(ratio), now)
            self.record_ratio(identity, ratio, now)

    def record_ratio(
        self,
        identity: str,
        log_ratio: float,
        now: float,
        *,
        weight: float = 1.0,
    ) -> None:
        """Records observed times of a target in relation to its service's.

        Args:
            identity: Identity of the target.
            log_ratio: Logarithm of observed by expected time.
            now: Monotonic time in seconds.
            weight: Number of observations that it is the mean of.
        """
        self.advance(now)
        work = self.targets.get(identity)
        if work is None:
            work = self.targets[identity] = TargetWork()
        observed = work.log_ratio
        observed.decay(now)
        mean = observed.mean(0.0, SERVICE_WEIGHT)
        log_ratio = min(
            max(log_ratio, mean - _LOG_MAX_RATIO), mean + _LOG_MAX_RATIO
        )
        observed.add(log_ratio, now, weight=weight)
        work.compute(now)

    def record_end(
        self, service: str, identity: str, *, duration_s: float, now: float
    ) -> None:
        """Records how long a request held a slot, from its send to its end."""
        if not 0.0 < duration_s < math.inf:
            return
        work = self._service(service)
        expected_s = work.occupancy_s
        is_confident = work.occupancy.weight >= CONFIDENT_WEIGHT
        bounded_s = min(duration_s, expected_s * MAX_RATIO)
        work.occupancy.add(bounded_s, now)
        if is_confident and not work.runs_model:
            ratio = math.log(duration_s / expected_s)
            work.error.add(abs(ratio), now)
            self.record_ratio(identity, ratio, now)

    def record_output(
        self, service: str, *, generated: int, expected: int, now: float
    ) -> None:
        """Records how many tokens a request generated.

        Args:
            service: Name of the service.
            generated: Tokens that it generated.
            expected: Tokens that its hint, or its maximum, led to expect.
            now: Monotonic time in seconds.
        """
        if generated > 0 and expected > 0:
            ratio = math.log(generated / expected)
            self._service(service).output.add(ratio, now)
