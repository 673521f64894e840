"""Room that less urgent calls leave to more urgent ones at targets.

What is left follows from the calls of higher priority that this instance sent
of late: their number, the KV cache that they take and the prompt tokens that
they have prefilled. Without such calls nothing is left beyond the fixed limits
of ``choice``. See docs/design/overload.md.
"""

from collections.abc import Sequence
import dataclasses
import math

from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import work_estimates

# Time constant with which observations lose their weight.
DECAY_S = 3.0
# Standard deviations of the KV cache in use by more urgent calls that are left
# free, at most this share of the KV cache.
KV_DEVIATIONS = 2.0
MAX_KV_SHARE = 0.25
# Age of what is known of a target's load when a request is placed there: others
# may have placed prompts since.
LOAD_AGE_S = 0.1
# Prefill that may always be ahead of a call: a runner must not run out of it
# before instances are told that a prompt was read.
MIN_PENDING_S = 0.05
# A prompt holds up urgent calls if its prefill takes this share of the time
# that they can wait.
LONG_PREFILL_SHARE = 0.25
# Prefill capacity in use from which targets are kept free of such prompts.
MIN_UTILIZATION = 0.5
# Targets that are kept free would be used to this degree by the urgent calls,
# and are at most this share of all.
KEPT_UTILIZATION = 0.8
MAX_KEPT_SHARE = 0.25
# Rate at one instance below which calls of a priority are not counted on.
MIN_CALLS_PER_S = 0.2


@dataclasses.dataclass(slots=True)
class Observed:
    """Decayed sums over the calls of one priority.

    Attributes:
        calls: Number of calls.
        prompt_tokens: Length of their prompts.
        prefill_tokens: Prompt tokens that targets had to prefill.
        kv_tokens: KV cache that they occupy.
        objective_s: Their latency objectives, in seconds.
        at: Monotonic time of the newest call, in seconds.
    """

    calls: float = 0.0
    prompt_tokens: float = 0.0
    prefill_tokens: float = 0.0
    kv_tokens: float = 0.0
    objective_s: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduces the weight of what was observed before a time."""
        factor = math.exp(-max(0.0, now - self.at) / DECAY_S)
        self.calls *= factor
        self.prompt_tokens *= factor
        self.prefill_tokens *= factor
        self.kv_tokens *= factor
        self.objective_s *= factor
        self.at = now

    def add(self, call: call_lib.Call, prefill_tokens: int) -> None:
        """Adds a call that was sent."""
        self.calls += 1.0
        self.prompt_tokens += call.prompt_tokens
        self.prefill_tokens += prefill_tokens
        self.kv_tokens += call.mean_kv_tokens
        self.objective_s += call.route.target_latency_s


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """Instances and targets of a service.

    Attributes:
        instances: Number of instances that send calls, each about as many.
        targets: Number of targets that serve.
        prefill_tokens_per_s: Prompt tokens that a target prefills in a second.
        occupancy_s: Time that a request occupies KV cache, in seconds.
        first_event_s: Time from a send to the first event of a call with
            nothing to prefill, in seconds.
    """

    instances: int
    targets: int
    prefill_tokens_per_s: float = work_estimates.START_PREFILL_TOKENS_PER_S
    occupancy_s: float = work_estimates.START_RUNNER_OCCUPANCY_S
    first_event_s: float = work_estimates.START_FIRST_EVENT_S


@dataclasses.dataclass(slots=True, frozen=True)
class Reserve:
    """What a call leaves to more urgent ones.

    Attributes:
        kv_tokens: KV cache to leave free at a target, in tokens.
        max_pending_tokens: Maximum prompt tokens that await prefill at the
            target before the call.
        kept_share: Share of the targets that the call is not sent to.
    """

    kv_tokens: float = 0.0
    max_pending_tokens: float = math.inf
    kept_share: float = 0.0


NOTHING = Reserve()


class Headroom:
    """Calls of one service that this instance sent of late, by priority.

    Attributes:
        observed: What was observed of each priority.
    """

    __slots__ = ("observed",)

    def __init__(self) -> None:
        """Creates an estimate without observations."""
        self.observed: dict[int, Observed] = {}

    def record_start(
        self, call: call_lib.Call, prefill_tokens: int, now: float
    ) -> None:
        """Records a call that is sent to a target.

        Args:
            call: The call.
            prefill_tokens: Prompt tokens that the target has to prefill.
            now: Monotonic time in seconds.
        """
        observed = self.observed.setdefault(call.priority, Observed(at=now))
        observed.decay(now)
        observed.add(call, prefill_tokens)

    def reserve(self, call: call_lib.Call, fleet: Fleet, now: float) -> Reserve:
        """Returns what a call leaves to the more urgent ones to come.

        Args:
            call: The call.
            fleet: Instances and targets.
            now: Monotonic time in seconds.
        """
        for observed in self.observed.values():
            observed.decay(now)
        urgent = [
            observed
            for priority, observed in self.observed.items()
            if priority < call.priority
            and observed.calls >= MIN_CALLS_PER_S * DECAY_S
        ]
        if not urgent or not fleet.targets:
            return NOTHING
        # Calls a second at a target for each call in a sum.
        scale = fleet.instances / fleet.targets / DECAY_S
        variance = sum(
            o.calls * scale * fleet.occupancy_s * (o.kv_tokens / o.calls) ** 2
            for o in urgent
        )
        prefill_s = self._prefill_s(call, fleet)
        slack_s = min(_slack_s(observed, fleet) for observed in urgent)
        utilization = scale / fleet.prefill_tokens_per_s
        total = utilization * sum(
            o.prefill_tokens for o in self.observed.values()
        )
        unseen_s = LOAD_AGE_S * total
        pending_s = max(MIN_PENDING_S, slack_s - prefill_s - unseen_s)
        kept_share = 0.0
        if (
            prefill_s >= LONG_PREFILL_SHARE * slack_s
            and total >= MIN_UTILIZATION
        ):
            of_urgent = sum(o.prefill_tokens for o in urgent) * utilization
            kept_share = min(MAX_KEPT_SHARE, of_urgent / KEPT_UTILIZATION)
        return Reserve(
            KV_DEVIATIONS * math.sqrt(variance),
            pending_s * fleet.prefill_tokens_per_s,
            kept_share,
        )

    def _prefill_s(self, call: call_lib.Call, fleet: Fleet) -> float:
        """Returns the expected time to prefill a call, in seconds.

        As much of its prompt is expected to be in KV caches as of those of the
        same priority before.
        """
        observed = self.observed.get(call.priority)
        share = 1.0
        if observed is not None and observed.prompt_tokens >= 1.0:
            share = observed.prefill_tokens / observed.prompt_tokens
        return share * call.prompt_tokens / fleet.prefill_tokens_per_s


def _slack_s(observed: Observed, fleet: Fleet) -> float:
    """Returns how long calls can wait for prefill and still be in time."""
    prefill_tokens = observed.prefill_tokens / observed.calls
    return max(
        0.0,
        observed.objective_s / observed.calls
        - fleet.first_event_s
        - prefill_tokens / fleet.prefill_tokens_per_s,
    )


def has_headroom(
    call: call_lib.Call,
    candidate: choice.TargetCandidate,
    engine: model_lib.EngineConfig,
    reserve: Reserve,
) -> bool:
    """Returns whether a runner has room beyond what a call must leave."""
    if not candidate.used_kv_tokens:
        return True
    if candidate.pending_tokens > reserve.max_pending_tokens:
        return False
    reserved = min(reserve.kv_tokens, MAX_KV_SHARE * engine.kv_tokens)
    needed = candidate.used_kv_tokens + call.mean_kv_tokens + reserved
    return needed <= engine.kv_tokens


def kept_targets(
    service: str, identities: Sequence[str], share: float
) -> frozenset[str]:
    """Returns the targets that are kept free of long prompts.

    All instances that know the same targets keep the same ones, without
    messages.

    Args:
        service: Name of the service.
        identities: Identities of its targets that serve.
        share: Share of them to keep.
    """
    count = min(int(share * len(identities)), len(identities) - 1)
    if count <= 0:
        return frozenset()
    ranked = choice.rank_by_rendezvous(f"headroom/{service}", identities)
    return frozenset(ranked[:count])
