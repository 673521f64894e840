"""Estimates of what requests cost and how fast targets work them off.

They are learned from the requests of this instance, and from the observations
that others pass on. There is no clock here: callers pass monotonic times.

Three figures describe the prefill of a service: the time to the first event of
a request with nothing to prefill, and the time for each own token and for each
that is ahead of it. They are the coefficients of a regression over the
service's requests. A target has one figure, its slowness: the ratio of its
times to those that its service's figures give. An instance sees few requests
of each target, so the estimate of a ratio counts as if some requests of ratio
one had been observed as well, and a single request can't move it far.
"""

from collections.abc import Container
from collections.abc import Mapping
import dataclasses
import math

from chivelb_core.routing import cost

# Estimates before anything was observed.
START_FIRST_EVENT_S = 0.1
START_PREFILL_TOKENS_PER_S = 100_000.0
START_RUNNER_OCCUPANCY_S = cost.RUNNER_SLOT_OCCUPANCY_S
START_PLAIN_OCCUPANCY_S = 0.05
START_CROSS_ZONE_S = 0.02
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
# Weight of the start values, or of the present ones of a regression, in
# observations.
START_WEIGHT = 0.5
# Coefficients count as at least this share of their start values when changes
# of them are compared.
MIN_COEFFICIENT_SHARE = 0.1
MIN_PIVOT = 1e-12
# Weight of the assumption that a target is like its service, in observations.
SERVICE_WEIGHT = 3.0
# Observed times count as at most this many times as long or as short as they
# were expected, so that an outlier has a bounded effect.
MAX_RATIO = 3.0
# Weight from which the observations of a service can be compared with.
CONFIDENT_WEIGHT = 5.0
# Targets up to this ratio slower than their service count as usual.
USUAL_SLOWNESS = 1.25
# Weight of the start value of the latency between zones, and bounds of what
# one observation adds to it: it is small beside the times that it is a part of.
CROSS_ZONE_START_WEIGHT = 20.0
MAX_CROSS_ZONE_S = 0.2
# Share of the pending tokens that counts as left to do at least: the rate at
# which they are worked off is an estimate.
MIN_OUTSTANDING_SHARE = 0.5
# Observations of a target that one message passes on at most.
MAX_PASSED_WEIGHT = 1_000
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


_START_COEFFICIENTS = (
    START_FIRST_EVENT_S,
    1.0 / START_PREFILL_TOKENS_PER_S,
    1.0 / START_PREFILL_TOKENS_PER_S,
)


class PrefillFit:
    """Regression of the time to the first event over the tokens to prefill.

    The tokens of a request itself and those ahead of it have coefficients of
    their own: what is ahead is known late, and was partly prefilled by the
    time of the send, so that a token ahead takes less time than an own one.

    It minimizes the squares of relative errors, since the errors of long
    prefills are larger.

    Attributes:
        first_event_s: Time to the first event with nothing to prefill.
        s_per_token: Additional time for each token of the request.
        s_per_token_ahead: Additional time for each token ahead of it.
        weight: Weight of the observations.
        updated_at: Monotonic time to which the weights have decayed.
    """

    __slots__ = (
        "first_event_s",
        "s_per_token",
        "s_per_token_ahead",
        "weight",
        "updated_at",
        "_products",
        "_moments",
    )

    def __init__(self) -> None:
        """Creates a regression without observations."""
        self.first_event_s, self.s_per_token, self.s_per_token_ahead = (
            _START_COEFFICIENTS
        )
        self.weight = 0.0
        self.updated_at = 0.0
        # Weighted sums over the observations: products of each two of
        # (1, tokens, tokens ahead), and products of these with the time.
        self._products = [0.0] * 6
        self._moments = [0.0] * 3

    @property
    def tokens_per_s(self) -> float:
        """Prefill throughput, in tokens per second."""
        if not self.weight:
            return START_PREFILL_TOKENS_PER_S
        return 1.0 / self.s_per_token

    @property
    def tokens_ahead_per_s(self) -> float:
        """Rate at which tokens ahead are worked off, in tokens per second."""
        if not self.weight:
            return START_PREFILL_TOKENS_PER_S
        return 1.0 / self.s_per_token_ahead

    def expected_s(self, tokens: int, tokens_ahead: int) -> float:
        """Returns the expected time to the first event."""
        return (
            self.first_event_s
            + self.s_per_token * tokens
            + self.s_per_token_ahead * tokens_ahead
        )

    def add(
        self, tokens: int, tokens_ahead: int, observed_s: float, now: float
    ) -> None:
        """Adds an observation and updates the coefficients."""
        factor = decay_factor(now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        if self.weight * factor < RETAINED_WEIGHT:
            factor = min(1.0, RETAINED_WEIGHT / max(self.weight, 1e-9))
        expected_s = self.expected_s(tokens, tokens_ahead)
        observed_s = min(
            max(observed_s, expected_s / MAX_RATIO), expected_s * MAX_RATIO
        )
        w = 1.0 / (expected_s * observed_s)
        x, z = tokens, tokens_ahead
        products = (w, w * x, w * z, w * x * x, w * x * z, w * z * z)
        moments = (w * observed_s, w * x * observed_s, w * z * observed_s)
        self._products = [
            factor * total + term
            for total, term in zip(self._products, products, strict=True)
        ]
        self._moments = [
            factor * total + term
            for total, term in zip(self._moments, moments, strict=True)
        ]
        self.weight = factor * self.weight + 1.0
        self._solve()

    def _solve(self) -> None:
        """Solves the normal equations for the coefficients.

        ``START_WEIGHT`` is the weight of the present coefficients, in units of
        themselves. It makes the matrix positive definite, also if all requests
        have the same number of tokens.
        """
        present = (self.first_event_s, self.s_per_token, self.s_per_token_ahead)
        a0, b0, c0 = (
            max(value, MIN_COEFFICIENT_SHARE * start)
            for value, start in zip(present, _START_COEFFICIENTS, strict=True)
        )
        n, nx, nz, xx, xz, zz = self._products
        ny, xy, zy = self._moments
        s11 = n * a0 * a0 + START_WEIGHT
        s12, s13 = nx * a0 * b0, nz * a0 * c0
        s22, s23 = xx * b0 * b0 + START_WEIGHT, xz * b0 * c0
        s33 = zz * c0 * c0 + START_WEIGHT
        y1 = ny * a0 + START_WEIGHT * present[0] / a0
        y2 = xy * b0 + START_WEIGHT * present[1] / b0
        y3 = zy * c0 + START_WEIGHT * present[2] / c0
        # Cholesky factors.
        l11 = math.sqrt(s11)
        l21, l31 = s12 / l11, s13 / l11
        l22 = math.sqrt(max(s22 - l21 * l21, MIN_PIVOT))
        l32 = (s23 - l31 * l21) / l22
        l33 = math.sqrt(max(s33 - l31 * l31 - l32 * l32, MIN_PIVOT))
        u1 = y1 / l11
        u2 = (y2 - l21 * u1) / l22
        u3 = (y3 - l31 * u1 - l32 * u2) / l33
        c = u3 / l33
        b = (u2 - l32 * c) / l22
        a = (u1 - l21 * b - l31 * c) / l11
        self.first_event_s = min(max(a * a0, MIN_TIME_S), MAX_TIME_S)
        self.s_per_token = _bounded_s_per_token(b * b0)
        self.s_per_token_ahead = _bounded_s_per_token(c * c0)


def _bounded_s_per_token(value: float) -> float:
    return min(max(value, 1.0 / MAX_TOKENS_PER_S), 1.0 / MIN_TOKENS_PER_S)


@dataclasses.dataclass(slots=True)
class ServiceWork:
    """Observations of a service.

    Attributes:
        runs_model: Whether its targets are runners.
        cross_zone: Additional time to the first event at a target of another
            zone, in seconds.
        prefill: Time to the first event of its requests.
        occupancy: Logarithm of the time that a request holds a slot.
        occupancy_s: Mean time that a request holds a slot.
    """

    runs_model: bool = True
    prefill: PrefillFit = dataclasses.field(default_factory=PrefillFit)
    occupancy: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(retained_weight=RETAINED_WEIGHT)
    )
    cross_zone: DecayingMean = dataclasses.field(
        default_factory=lambda: DecayingMean(retained_weight=RETAINED_WEIGHT)
    )

    @property
    def cross_zone_s(self) -> float:
        """Additional time at a target of another zone, in seconds."""
        mean_s = self.cross_zone.mean(
            START_CROSS_ZONE_S, CROSS_ZONE_START_WEIGHT
        )
        return min(max(mean_s, 0.0), MAX_CROSS_ZONE_S)

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
        unsent_total: Sum of the logarithms that were observed here and not
            passed on yet.
        unsent_weight: Number of these observations.
        pending_tokens: Prompt tokens without a first event, as known last.
        outstanding_tokens: Those of them that were not prefilled by then.
        outstanding_at: Monotonic time when they were known, in seconds.
    """

    log_ratio: DecayingMean = dataclasses.field(default_factory=DecayingMean)
    slowness: float = 1.0
    computed_at: float = -math.inf
    unsent_total: float = 0.0
    unsent_weight: int = 0
    pending_tokens: int = 0
    outstanding_tokens: float = 0.0
    outstanding_at: float = -math.inf

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
        runs_model: Whether the targets of other services are runners.
    """

    __slots__ = ("is_enabled", "services", "targets", "now", "runs_model")

    def __init__(
        self, *, is_enabled: bool = True, runs_model: bool = True
    ) -> None:
        """Creates estimates without observations."""
        self.is_enabled = is_enabled
        self.runs_model = runs_model
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
            work = self.services[service] = ServiceWork(self.runs_model)
        return work

    def _target(self, identity: str) -> TargetWork:
        work = self.targets.get(identity)
        if work is None:
            work = self.targets[identity] = TargetWork()
        return work

    def keep_targets(self, identities: Container[str]) -> None:
        """Discards what was observed of all targets but some."""
        gone = [name for name in self.targets if name not in identities]
        for identity in gone:
            self.remove_target(identity)

    def remove_target(self, identity: str) -> None:
        """Discards what was observed of a target."""
        self.targets.pop(identity, None)

    # Estimates.

    def is_learned(self, service: str) -> bool:
        """Returns whether the prefill of a service was observed enough."""
        work = self.services.get(service)
        return (
            self.is_enabled
            and work is not None
            and work.prefill.weight >= CONFIDENT_WEIGHT
        )

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
        return work.prefill.tokens_per_s / self.slowness(identity)

    def prefill_wait_s(
        self, service: str, identity: str, pending_tokens: int
    ) -> float:
        """Returns the time until a target has prefilled what it has, in s."""
        work = self.services.get(service)
        if work is None or not self.is_enabled:
            return pending_tokens / START_PREFILL_TOKENS_PER_S
        rate = work.prefill.tokens_ahead_per_s
        return pending_tokens / rate * self.slowness(identity)

    def prefill_s(
        self, service: str, identity: str, *, tokens: int, tokens_ahead: int
    ) -> float:
        """Returns the expected time of a prefill and of what is ahead, in s.

        It includes by how much later the first events of a slow target are
        than those of others with nothing to prefill.

        Args:
            service: Name of the service.
            identity: Identity of the target.
            tokens: Prompt tokens to prefill.
            tokens_ahead: Prompt tokens that await prefill at the target.
        """
        work = self.services.get(service)
        if work is None or not self.is_enabled:
            return (tokens + tokens_ahead) / START_PREFILL_TOKENS_PER_S
        fit = work.prefill
        slowness = self.slowness(identity)
        usual_s = (
            fit.s_per_token * tokens + fit.s_per_token_ahead * tokens_ahead
        )
        return slowness * usual_s + (slowness - 1.0) * fit.first_event_s

    def expected_first_event_s(
        self, service: str, identity: str, *, tokens: int, tokens_ahead: int
    ) -> float:
        """Returns the expected time from a send to the first event, in s."""
        return self.first_event_s(service) + self.prefill_s(
            service, identity, tokens=tokens, tokens_ahead=tokens_ahead
        )

    def cross_zone_s(self, service: str) -> float:
        """Returns the additional time at a target of another zone."""
        work = self.services.get(service)
        if work is None or not self.is_enabled:
            return START_CROSS_ZONE_S
        return work.cross_zone_s

    def occupancy_s(self, service: str) -> float:
        """Returns the mean time that a request holds a slot, in seconds."""
        work = self.services.get(service)
        if work is None:
            work = ServiceWork(self.runs_model)
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

    def unusual_slowness(self, identity: str) -> float:
        """Returns the slowness of a target that is far from usual, else 1.

        Small differences are noise, and would send all instances to the
        same target.
        """
        slowness = self.slowness(identity)
        return slowness if slowness > USUAL_SLOWNESS else 1.0

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
        wait_s = self.prefill_wait_s(service, identity, pending_tokens)
        excess = running - slots
        if excess >= 0:
            slot_s = self.occupancy_s(service) * self.slowness(identity)
            wait_s += (excess + 1) * slot_s / max(1, slots)
        return wait_s

    def outstanding_tokens(
        self, service: str, identity: str, pending_tokens: int, now: float
    ) -> int:
        """Returns how many of the pending tokens of a target are left to do.

        Tokens count as pending until the first event of their request is
        known. Meanwhile the target works on them, at its rate. This is to be
        called whenever the pending tokens may have changed.

        Args:
            service: Name of the service.
            identity: Identity of the target.
            pending_tokens: Prompt tokens of the requests without a first event.
            now: Monotonic time in seconds.
        """
        if not self.is_learned(service):
            return pending_tokens
        work = self._target(identity)
        rate = self.prefill_tokens_per_s(service, identity)
        done = rate * max(0.0, now - work.outstanding_at)
        left = max(0.0, work.outstanding_tokens - done)
        left += max(0, pending_tokens - work.pending_tokens)
        left = max(left, MIN_OUTSTANDING_SHARE * pending_tokens)
        work.outstanding_tokens = min(left, pending_tokens)
        work.pending_tokens = pending_tokens
        work.outstanding_at = now
        return int(work.outstanding_tokens)

    # Observations.

    def record_first_event(
        self,
        service: str,
        identity: str,
        *,
        tokens: int,
        tokens_ahead: int,
        observed_s: float,
        now: float,
        crosses_zones: bool = False,
    ) -> None:
        """Records the time to the first event of a request.

        Args:
            service: Name of the service.
            identity: Identity of the target.
            tokens: Prompt tokens to prefill.
            tokens_ahead: Prompt tokens that awaited prefill at the target when
                it was sent.
            observed_s: Time from the send to the first event, without the
                expected time of fetches, in seconds.
            now: Monotonic time in seconds.
            crosses_zones: Whether the target is in another zone.
        """
        if not 0.0 < observed_s < math.inf:
            return
        work = self._service(service)
        expected_s = work.prefill.expected_s(tokens, tokens_ahead)
        is_confident = work.prefill.weight >= CONFIDENT_WEIGHT
        if crosses_zones:
            extra_s = observed_s - expected_s
            observed_s -= work.cross_zone_s
            if is_confident:
                work.cross_zone.add(
                    min(max(extra_s, -MAX_CROSS_ZONE_S), MAX_CROSS_ZONE_S), now
                )
        observed_s = max(observed_s, MIN_TIME_S)
        work.prefill.add(tokens, tokens_ahead, observed_s, now)
        if is_confident:
            ratio = math.log(observed_s / expected_s)
            self._record_own_ratio(identity, ratio, now)

    def _record_own_ratio(
        self, identity: str, log_ratio: float, now: float
    ) -> None:
        """Records an observation of this instance, to be passed on."""
        log_ratio = self._record_ratio(identity, log_ratio, now)
        work = self.targets[identity]
        if work.unsent_weight < MAX_PASSED_WEIGHT:
            work.unsent_total += log_ratio
            work.unsent_weight += 1

    def _record_ratio(
        self, identity: str, log_ratio: float, now: float, *, weight: float = 1
    ) -> float:
        """Records observations of a target; returns what they count as.

        Args:
            identity: Identity of the target.
            log_ratio: Mean logarithm of observed by expected times.
            now: Monotonic time in seconds.
            weight: Number of observations.
        """
        self.advance(now)
        work = self._target(identity)
        observed = work.log_ratio
        observed.decay(now)
        mean = observed.mean(0.0, SERVICE_WEIGHT)
        log_ratio = min(
            max(log_ratio, mean - _LOG_MAX_RATIO), mean + _LOG_MAX_RATIO
        )
        observed.add(log_ratio, now, weight=weight)
        work.compute(now)
        return log_ratio

    # Observations of other instances, by way of the owner of a target.

    def take_unsent(self, identity: str) -> tuple[float, int]:
        """Returns what was observed of a target and not passed on yet.

        Returns:
            Sum of the logarithms of its ratios, and their number.
        """
        work = self.targets.get(identity)
        if work is None:
            return 0.0, 0
        unsent = work.unsent_total, work.unsent_weight
        work.unsent_total, work.unsent_weight = 0.0, 0
        return unsent

    def apply_passed_on(
        self, identity: str, total: float, weight: int, now: float
    ) -> None:
        """Records what another instance observed of a target.

        Args:
            identity: Identity of the target.
            total: Sum of the logarithms of its ratios.
            weight: Their number.
            now: Monotonic time in seconds.
        """
        if 0 < weight <= MAX_PASSED_WEIGHT and math.isfinite(total):
            self._record_ratio(identity, total / weight, now, weight=weight)

    def known_ratio(self, identity: str, now: float) -> tuple[float, float]:
        """Returns the mean logarithm of a target's ratio and its weight."""
        work = self.targets.get(identity)
        if work is None:
            return 0.0, 0.0
        observed = work.log_ratio
        observed.decay(now)
        return observed.mean(0.0, 0.0), observed.weight

    def apply_told(
        self, identity: str, mean: float, weight: float, now: float
    ) -> None:
        """Replaces what is known of a target by what its owner knows.

        The owner knows the observations of all instances. One that has just
        taken over knows fewer, and is ignored.

        Args:
            identity: Identity of the target.
            mean: Mean logarithm of its ratios.
            weight: Weight of the observations.
            now: Monotonic time in seconds.
        """
        if not (0.0 < weight < math.inf and math.isfinite(mean)):
            return
        self.advance(now)
        work = self._target(identity)
        observed = work.log_ratio
        observed.decay(now)
        if weight < observed.weight:
            return
        observed.weight = weight
        observed.total = mean * weight
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
            self._record_own_ratio(identity, ratio, now)


# Estimates without observations, for callers that have none.
START_VALUES = WorkEstimates(is_enabled=False)
PLAIN_START_VALUES = WorkEstimates(is_enabled=False, runs_model=False)
