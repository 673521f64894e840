"""Expected cost of running a request on a target."""

import dataclasses

import msgspec


class Weights(msgspec.Struct, frozen=True):
    """Prices of the three measures, per second of each.

    Attributes:
        first_token: Price of a second until the first token.
        recompute: Price of a second of prefill that reuse would save.
        link: Price of a second of a link between tiers.
    """

    first_token: float
    recompute: float
    link: float


GOALS: dict[str, Weights] = {
    "latency": Weights(first_token=1.0, recompute=0.3, link=0.05),
    "reuse": Weights(first_token=0.2, recompute=1.0, link=0.5),
}


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that could run the request.

    Attributes:
        identity: The target.
        zone_price_s: Seconds that reaching its zone adds.
        pending_tokens: Prompt tokens ahead in its queue.
        running: Requests in progress.
        slots: Requests that it runs at once.
        prefill_rate: Prompt tokens a second.
        held_tokens: Leading prompt tokens in its own cache.
        stored_tokens: Leading prompt tokens in the best store.
        link_rate: Bytes a second from that store.
        link_wait_s: Seconds of transfers ahead on the link.
        bytes_per_token: Size of one token's KV cache.
    """

    identity: str
    zone_price_s: float = 0.0
    pending_tokens: int = 0
    running: int = 0
    slots: int = 8
    prefill_rate: float = 8_000.0
    held_tokens: int = 0
    stored_tokens: int = 0
    link_rate: float = 100e6
    link_wait_s: float = 0.0
    bytes_per_token: int = 1_024


@dataclasses.dataclass(slots=True)
class Choice:
    """A decision for one request.

    Attributes:
        identity: The chosen target.
        reused_tokens: Prompt tokens expected not to be recomputed.
        import_tokens: Prompt tokens to load from a store; 0 for none.
        expected_s: Expected seconds to the first token.
        cost: Weighted cost that won.
    """

    identity: str
    reused_tokens: int
    import_tokens: int
    expected_s: float
    cost: float


def wait_s(candidate: Candidate, rest_tokens: int) -> float:
    """Returns the expected wait in the target's own queue, in seconds.

    Targets prefill the shortest rest first, as our priorities ask, so that
    a request waits at most its own length for each one ahead.

    Args:
        candidate: The target.
        rest_tokens: Prompt tokens that the request must have computed.
    """
    others = max(candidate.running, 1)
    ahead = min(candidate.pending_tokens, others * rest_tokens)
    wait = ahead / candidate.prefill_rate
    over = candidate.running - candidate.slots
    if over >= 0:
        wait += (over + 1) * SLOT_TURNOVER_S / candidate.slots
    return wait


SLOT_TURNOVER_S = 2.0
PRIORITY_TOKENS = 128
PRIORITY_LEVELS = 100


def prefill_priority(rest_tokens: int, class_name: str) -> int:
    """Returns the priority to ask a target for; lower runs first.

    Args:
        rest_tokens: Prompt tokens that must be computed.
        class_name: Scheduling class; batch comes after all others.
    """
    level = min(rest_tokens // PRIORITY_TOKENS, PRIORITY_LEVELS - 1)
    return level + (PRIORITY_LEVELS if class_name == "batch" else 0)


def price(candidate: Candidate, prompt_tokens: int, weights: Weights) -> Choice:
    """Prices the better of recomputing and loading on one target.

    Args:
        candidate: The target.
        prompt_tokens: Length of the prompt.
        weights: Prices of the goal.

    Returns:
        The cheaper choice on this target.
    """
    held = candidate.held_tokens
    queue = candidate.zone_price_s + wait_s(candidate, prompt_tokens - held)
    recompute = (prompt_tokens - held) / candidate.prefill_rate
    expected = queue + recompute
    best = Choice(
        candidate.identity,
        held,
        0,
        expected,
        weights.first_token * expected + weights.recompute * recompute,
    )
    extra = candidate.stored_tokens - held
    if extra <= 0:
        return best
    link = extra * candidate.bytes_per_token / candidate.link_rate
    rest_tokens = prompt_tokens - candidate.stored_tokens
    rest = rest_tokens / candidate.prefill_rate
    queue = candidate.zone_price_s + wait_s(candidate, rest_tokens)
    # The transfer overlaps the wait in the queue.
    expected = max(queue, candidate.link_wait_s + link) + rest
    cost = (
        weights.first_token * expected
        + weights.recompute * rest
        + weights.link * link
    )
    if cost < best.cost:
        return Choice(
            candidate.identity,
            candidate.stored_tokens,
            extra,
            expected,
            cost,
        )
    return best
