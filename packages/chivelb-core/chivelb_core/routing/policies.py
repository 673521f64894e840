"""Routing policies as plain functions: the default and simpler ones.

A service's configuration selects its policy by name; the simpler policies serve
as baselines for comparison.
"""

from collections.abc import Callable
import hashlib
import random

from chivelb_core import targets
from chivelb_core.routing import cost as cost_lib

SAMPLE_SIZE = 12

Policy = Callable[
    [list[cost_lib.Candidate], int, str, cost_lib.Weights, random.Random],
    cost_lib.Choice,
]


def expected_cost(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses the cheapest candidate; ties are broken at random."""
    best = None
    ties = 0
    for candidate in candidates:
        choice = cost_lib.cheapest_choice(candidate, prompt_tokens, weights)
        if best is None or choice.cost < best.cost - 1e-9:
            best = choice
            ties = 1
        elif choice.cost <= best.cost + 1e-9:
            ties += 1
            if rng.random() * ties < 1.0:
                best = choice
    return best


def sample_targets(
    records: list[targets.TargetRecord],
    holdings: dict[str, int],
    rng: random.Random,
) -> list[targets.TargetRecord]:
    """Returns the targets to evaluate: best holders and a random sample.

    The sample prevents a herd effect, in which all instances choose the one
    target that a delayed report shows as idle.

    Args:
        records: All eligible targets.
        holdings: Number of leading blocks that each target holds, by
            identity.
        rng: Random number generator.
    """
    if len(records) <= SAMPLE_SIZE:
        return records
    holders = [r for r in records if holdings.get(r.identity)]
    holders.sort(key=lambda r: -holdings[r.identity])
    return holders[:SAMPLE_SIZE] + rng.sample(records, SAMPLE_SIZE)


def _without_fetch(
    candidate: cost_lib.Candidate, prompt_tokens: int
) -> cost_lib.Choice:
    prefill_tokens = prompt_tokens - candidate.held_tokens
    expected = (
        cost_lib.wait_s(candidate, prefill_tokens)
        + prefill_tokens / candidate.prefill_rate
    )
    return cost_lib.Choice(
        candidate.identity, candidate.held_tokens, 0, expected, expected
    )


def random_choice(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses a random target, without regard to load or cache."""
    return _without_fetch(rng.choice(candidates), prompt_tokens)


def make_round_robin() -> Policy:
    """Returns a policy that chooses the targets in rotation."""
    turn = 0

    def round_robin(
        candidates: list[cost_lib.Candidate],
        prompt_tokens: int,
        anchor: str,
        weights: cost_lib.Weights,
        rng: random.Random,
    ) -> cost_lib.Choice:
        nonlocal turn
        turn += 1
        ordered = sorted(candidates, key=lambda c: c.identity)
        return _without_fetch(ordered[turn % len(ordered)], prompt_tokens)

    return round_robin


def least_loaded(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses the least loaded target, without regard to its cache."""
    least_loaded_candidate = min(
        candidates,
        key=lambda c: (
            c.pending_tokens / c.prefill_rate,
            c.running,
            rng.random(),
        ),
    )
    return _without_fetch(least_loaded_candidate, prompt_tokens)


def prefix_affinity(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses a target by rendezvous hashing of the prompt's anchor."""
    chosen = max(
        candidates, key=lambda c: rendezvous_weight(anchor, c.identity)
    )
    return _without_fetch(chosen, prompt_tokens)


def prefill_always(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses the least expected time to first token without any fetch."""
    return min(
        (_without_fetch(candidate, prompt_tokens) for candidate in candidates),
        key=lambda choice: choice.cost,
    )


def fetch_always(
    candidates: list[cost_lib.Candidate],
    prompt_tokens: int,
    anchor: str,
    weights: cost_lib.Weights,
    rng: random.Random,
) -> cost_lib.Choice:
    """Chooses the least loaded target and fetches all blocks that it lacks.

    It fetches as many leading blocks as the best store holds.
    """
    choice = least_loaded(candidates, prompt_tokens, anchor, weights, rng)
    chosen = next(c for c in candidates if c.identity == choice.identity)
    fetch_tokens = chosen.stored_tokens - chosen.held_tokens
    if fetch_tokens > 0:
        choice.fetch_tokens = fetch_tokens
        choice.reused_tokens = chosen.stored_tokens
    return choice


def rendezvous_weight(key: str, identity: str) -> int:
    """Returns the rendezvous hashing weight of a target or instance for a key.

    The one with the greatest weight is chosen.

    Example:
        >>> rendezvous_weight("a", "x") == rendezvous_weight("a", "x")
        True
    """
    digest = hashlib.blake2b(f"{key}/{identity}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def make_policies() -> dict[str, Policy]:
    """Returns the policies by their names in the configuration document."""
    return {
        "expected_cost": expected_cost,
        "random": random_choice,
        "round_robin": make_round_robin(),
        "least_loaded": least_loaded,
        "prefix_affinity": prefix_affinity,
        "recompute_always": prefill_always,
        "load_always": fetch_always,
    }


def choose(
    policy: Policy,
    candidates: list[cost_lib.Candidate],
    *,
    prompt_tokens: int,
    anchor: str,
    goal: str,
    rng: random.Random,
) -> cost_lib.Choice | None:
    """Chooses a target for one request.

    Args:
        policy: Policy from ``make_policies``.
        candidates: Eligible targets with capacity; may be empty.
        prompt_tokens: Length of the prompt, in tokens.
        anchor: Anchor key of the prompt; empty if it has none.
        goal: Name of the goal whose cost weights apply.
        rng: Random number generator.

    Returns:
        The choice, or None if there is no candidate.
    """
    if not candidates:
        return None
    weights = cost_lib.GOAL_WEIGHTS[goal]
    return policy(candidates, prompt_tokens, anchor, weights, rng)
