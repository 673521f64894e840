"""Expected cost of running a request on a target."""

import dataclasses

import msgspec

# Mean time that a request occupies a slot of a runner, before any was observed.
RUNNER_SLOT_OCCUPANCY_S = 2.0


class Weights(msgspec.Struct, frozen=True):
    """Weights of the cost terms, each per second of the named time.

    Attributes:
        first_token: Weight of the time to first token.
        recompute: Weight of the time to prefill what is neither held nor
            fetched.
        link: Weight of the time to fetch from a store.
    """

    first_token: float
    recompute: float
    link: float


GOAL_WEIGHTS: dict[str, Weights] = {
    "latency": Weights(first_token=1.0, recompute=0.3, link=0.05),
    "reuse": Weights(first_token=0.2, recompute=1.0, link=0.5),
}


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that could execute one attempt of a call, here a request.

    Attributes:
        identity: Identity of the target.
        zone_latency_s: Latency penalty for reaching its zone, in seconds.
        pending_tokens: Prompt tokens that await prefill at the target.
        running: Number of requests in progress.
        slots: Maximum number of concurrent requests.
        prefill_rate: Prefill throughput, in tokens per second.
        held_tokens: Leading prompt tokens in the target's own cache.
        stored_tokens: Leading prompt tokens in the best store, which is the
            one that holds most of them.
        link_rate: Bandwidth from that store, in bytes per second.
        link_wait_s: Duration of the fetches queued on the link, in seconds.
        bytes_per_token: KV cache size per token, in bytes.
        occupancy_s: Mean time that a request occupies a slot, in seconds.
    """

    identity: str
    zone_latency_s: float = 0.0
    pending_tokens: int = 0
    running: int = 0
    slots: int = 8
    prefill_rate: float = 8_000.0
    held_tokens: int = 0
    stored_tokens: int = 0
    link_rate: float = 100e6
    link_wait_s: float = 0.0
    bytes_per_token: int = 1_024
    occupancy_s: float = RUNNER_SLOT_OCCUPANCY_S


@dataclasses.dataclass(slots=True)
class Choice:
    """A decision for one request.

    Attributes:
        identity: Identity of the chosen target.
        reused_tokens: Prompt tokens expected not to be prefilled, because the
            target holds or fetches their KV cache.
        fetch_tokens: Prompt tokens to fetch from a store; 0 for none.
        time_to_first_token_s: Expected time to first token, in seconds.
        cost: Weighted cost of the choice.
    """

    identity: str
    reused_tokens: int
    fetch_tokens: int
    time_to_first_token_s: float
    cost: float


def wait_s(candidate: Candidate, prefill_tokens: int) -> float:
    """Returns the expected wait in the target's own queue, in seconds.

    The priorities sent to targets (see ``prefill_priority``) make them
    prefill the request with the fewest remaining tokens first. For each
    request ahead, a request therefore waits at most as long as its own
    prefill takes.

    Args:
        candidate: The target.
        prefill_tokens: Prompt tokens that must be prefilled.
    """
    requests_ahead = max(candidate.running, 1)
    tokens_ahead = min(
        candidate.pending_tokens, requests_ahead * prefill_tokens
    )
    wait = tokens_ahead / candidate.prefill_rate
    excess = candidate.running - candidate.slots
    if excess >= 0:
        wait += (excess + 1) * candidate.occupancy_s / candidate.slots
    return wait


TOKENS_PER_PRIORITY_LEVEL = 128
PRIORITY_LEVELS = 100


def prefill_priority(prefill_tokens: int, class_name: str) -> int:
    """Returns the priority in a target's own queue; lower runs first.

    It is unrelated to ``forwarding.Call.priority``, which orders calls in the
    queue of an instance.

    Args:
        prefill_tokens: Prompt tokens that must be prefilled.
        class_name: Scheduling class of the call; ``batch`` comes after all
            others.
    """
    level = min(
        prefill_tokens // TOKENS_PER_PRIORITY_LEVEL, PRIORITY_LEVELS - 1
    )
    return level + (PRIORITY_LEVELS if class_name == "batch" else 0)


def cheapest_choice(
    candidate: Candidate, prompt_tokens: int, weights: Weights
) -> Choice:
    """Returns the cheaper choice on one target: with or without a fetch.

    Args:
        candidate: The target.
        prompt_tokens: Length of the prompt, in tokens.
        weights: Cost weights of the goal.

    Returns:
        The choice with the lower cost on this target.
    """
    held_tokens = candidate.held_tokens
    queue_s = candidate.zone_latency_s + wait_s(
        candidate, prompt_tokens - held_tokens
    )
    prefill_without_fetch_s = (
        prompt_tokens - held_tokens
    ) / candidate.prefill_rate
    expected = queue_s + prefill_without_fetch_s
    best = Choice(
        candidate.identity,
        held_tokens,
        0,
        expected,
        weights.first_token * expected
        + weights.recompute * prefill_without_fetch_s,
    )
    fetch_tokens = candidate.stored_tokens - held_tokens
    if fetch_tokens <= 0:
        return best
    fetch_s = fetch_tokens * candidate.bytes_per_token / candidate.link_rate
    prefill_tokens = prompt_tokens - candidate.stored_tokens
    prefill_s = prefill_tokens / candidate.prefill_rate
    queue_s = candidate.zone_latency_s + wait_s(candidate, prefill_tokens)
    # The fetch runs concurrently with the wait in the queue.
    expected = max(queue_s, candidate.link_wait_s + fetch_s) + prefill_s
    cost = (
        weights.first_token * expected
        + weights.recompute * prefill_s
        + weights.link * fetch_s
    )
    if cost < best.cost:
        return Choice(
            candidate.identity,
            candidate.stored_tokens,
            fetch_tokens,
            expected,
            cost,
        )
    return best
