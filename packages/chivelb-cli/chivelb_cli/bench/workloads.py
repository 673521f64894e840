"""Seeded workloads modelled on the sites of two users, on a scaled clock.

A site is one whole deployment. All prompts of a workspace share a prefix. A
prompt is sent again, extended, after gaps with a log-normal distribution. One
second of a run represents ten minutes, so that a run covers gaps from minutes
to days. All times and rates in this module are in seconds of the run.
"""

import dataclasses
import math
import random

from chivelb_core.kv_cache import keys as keys_lib

from chivelb_cli import samples
from chivelb_cli.bench import records

# Represented seconds per second of a run, for readers; no code uses it.
SECONDS_PER_SCALED_SECOND = 600
PREROLL_S = 60.0


@dataclasses.dataclass(slots=True)
class PlannedCall:
    """One call of a workload.

    Attributes:
        at_s: Time of sending, in seconds after the start of the run.
        workspace: Name of the workspace.
        prompt: The prompt, or the body of a call to the plain service.
        max_tokens: Tokens to generate; 0 for a call to the plain service.
        class_name: Scheduling class.
        request_key: Idempotency key of a non-idempotent call, or empty.
        returns: Whether the prompt extends that of an earlier call of the
            run.
    """

    at_s: float
    workspace: str
    prompt: str
    max_tokens: int
    class_name: str = "interactive"
    request_key: str = ""
    returns: bool = False


@dataclasses.dataclass(slots=True)
class SiteConfig:
    """Simulated targets and workspaces of a user's site.

    Attributes:
        zones: Names of the availability zones.
        model_service: Name of the model service.
        runners: Number of model runners.
        plain_service: Name of the plain (non-model) service.
        plain_targets: Number of targets of the plain service.
        stores: Number of KV cache stores.
        goal: Routing goal of the model service, ``latency`` or ``reuse`` of
            the KV cache.
        loads_at_once: Maximum number of concurrent weight downloads.
        load_s: Duration of a weight download in seconds.
        workspaces: Share of the calls by workspace.
    """

    zones: list[str]
    model_service: str
    runners: int
    plain_service: str
    plain_targets: int
    stores: int
    goal: str
    loads_at_once: int
    load_s: float
    workspaces: dict[str, float]


def _workspace_shares(
    prefix: str, large_shares: list[float], small_count: int
) -> dict[str, float]:
    small_share = (1.0 - sum(large_shares)) / small_count
    shares = {f"{prefix}-{n}": share for n, share in enumerate(large_shares, 1)}
    for number in range(small_count):
        shares[f"{prefix}-{len(large_shares) + number + 1}"] = small_share
    return shares


SITE_CONFIGS: dict[str, SiteConfig] = {
    "caroni": SiteConfig(
        zones=["curepe", "arima", "chaguanas"],
        model_service="estimator-lm",
        runners=9,
        plain_service="fitter-portal",
        plain_targets=3,
        stores=2,
        goal="latency",
        loads_at_once=3,
        load_s=1.0,
        workspaces=_workspace_shares("joinery", [0.3, 0.2, 0.15], 7),
    ),
    "medicion": SiteConfig(
        zones=["cordon-hall", "pocitos-hall", "prado-hall"],
        model_service="panel-llm",
        runners=6,
        plain_service="meter-gateway",
        plain_targets=3,
        stores=2,
        goal="reuse",
        loads_at_once=2,
        load_s=1.3,
        workspaces=_workspace_shares("panel", [0.3, 0.25, 0.15], 7),
    ),
}


@dataclasses.dataclass(slots=True)
class WorkloadParams:
    """Statistical parameters of a workload.

    Attributes:
        rate_per_s: Mean number of calls per second.
        shared_tokens: Length of the prefix that the prompts of a workspace
            share, in tokens.
        median_tokens: Median length of the rest of a prompt, in tokens.
        length_sigma: Standard deviation of the logarithm of that length.
        median_gap_s: Median time until a prompt is sent again, in seconds.
        gap_sigma: Standard deviation of the logarithm of that time.
        return_probability: Probability that a prompt is sent again, by
            position of the workspace.
        max_tokens: Tokens to generate per call.
        batch_share: Share of model calls in the batch class.
        plain_share: Share of calls to the plain service.
    """

    rate_per_s: float
    shared_tokens: int
    median_tokens: float
    length_sigma: float
    median_gap_s: float
    gap_sigma: float
    return_probability: list[float]
    max_tokens: int
    batch_share: float
    plain_share: float


WORKLOAD_PARAMS: dict[str, WorkloadParams] = {
    "caroni": WorkloadParams(
        rate_per_s=32.0,
        shared_tokens=256,
        median_tokens=1_100,
        length_sigma=0.5,
        median_gap_s=8.0,
        gap_sigma=0.8,
        return_probability=[0.75, 0.6, 0.75, 0.4, 0.2, 0.6, 0.7, 0.5, 0.3, 0.6],
        max_tokens=16,
        batch_share=0.0,
        plain_share=0.05,
    ),
    "medicion": WorkloadParams(
        rate_per_s=25.0,
        shared_tokens=384,
        median_tokens=1_000,
        length_sigma=0.6,
        median_gap_s=9.0,
        gap_sigma=0.7,
        return_probability=[0.8, 0.1, 0.7, 0.7, 0.1, 0.6, 0.05, 0.7, 0.3, 0.6],
        max_tokens=16,
        batch_share=0.4,
        plain_share=0.15,
    ),
}


def plan_calls(
    site: SiteConfig, params: WorkloadParams, *, seed: int, duration_s: float
) -> list[PlannedCall]:
    """Generates the calls of a workload.

    Args:
        site: Site that the workload is sent to.
        params: Statistical parameters.
        seed: Seed of all randomness.
        duration_s: Length of the workload in seconds.

    Returns:
        The calls in the order of sending.
    """
    rng = random.Random(seed)
    names = list(site.workspaces)
    shared_prefixes = {
        name: samples.make_prompt(rng, params.shared_tokens) for name in names
    }
    planned = list(_plan_plain_calls(site, params, rng, duration_s))
    model_rate_per_s = params.rate_per_s * (1 - params.plain_share)
    model_calls: list[PlannedCall] = []
    # The rate of new prompts is chosen such that new and repeated prompts
    # together meet the total rate.
    mean_calls_per_prompt = _mean_calls_per_prompt(site, params)
    # Prompts from before the start are sent again during the run, so that the
    # rate is steady from the first second.
    at_s = -PREROLL_S
    while at_s < duration_s:
        at_s += rng.expovariate(model_rate_per_s / mean_calls_per_prompt)
        name = rng.choices(names, list(site.workspaces.values()))[0]
        tokens = int(
            params.median_tokens * math.exp(rng.gauss(0, params.length_sigma))
        )
        prompt = shared_prefixes[name] + samples.make_prompt(
            rng, min(tokens, 6_000)
        )
        batch = rng.random() < params.batch_share
        call = PlannedCall(
            at_s,
            name,
            prompt,
            params.max_tokens,
            "batch" if batch else "interactive",
        )
        model_calls += _plan_prompt_calls(
            call, names.index(name), params, rng, duration_s
        )
    planned += model_calls
    return sorted(planned, key=lambda call: call.at_s)


def _mean_calls_per_prompt(site: SiteConfig, params: WorkloadParams) -> float:
    weighted_probabilities = zip(
        site.workspaces.values(), params.return_probability, strict=True
    )
    return sum(
        share / (1 - probability)
        for share, probability in weighted_probabilities
    )


def _plan_prompt_calls(
    first_call: PlannedCall,
    workspace_index: int,
    params: WorkloadParams,
    rng: random.Random,
    duration_s: float,
) -> list[PlannedCall]:
    prompt_calls = []
    call = first_call
    while call.at_s < duration_s:
        if call.at_s >= 0:
            prompt_calls.append(call)
        if rng.random() >= params.return_probability[workspace_index]:
            break
        gap_s = params.median_gap_s * math.exp(rng.gauss(0, params.gap_sigma))
        extended_prompt = call.prompt + " " + samples.make_prompt(rng, 48)
        call = dataclasses.replace(
            call,
            at_s=call.at_s + gap_s,
            prompt=extended_prompt,
            returns=bool(prompt_calls),
        )
    return prompt_calls


def _plan_plain_calls(
    site: SiteConfig,
    params: WorkloadParams,
    rng: random.Random,
    duration_s: float,
):
    plain_rate_per_s = params.rate_per_s * params.plain_share
    names = list(site.workspaces)
    at_s = 0.0
    number = 0
    while plain_rate_per_s > 0:
        at_s += rng.expovariate(plain_rate_per_s)
        if at_s >= duration_s:
            return
        number += 1
        name = rng.choice(names)
        key = f"{site.plain_service}-{number}"
        yield PlannedCall(at_s, name, key, 0, request_key=key)


@dataclasses.dataclass(slots=True)
class LowerBounds:
    """Lower bounds that no routing or retention policy can beat.

    Attributes:
        recomputed_share: Share of prompt tokens computed if nothing is ever
            evicted.
        first_token_p50_s: Median time to first token in seconds without
            queueing, transfers or the hop through an instance, if nothing is
            ever evicted.
        first_token_p95_s: 95th percentile of the same time.
    """

    recomputed_share: float
    first_token_p50_s: float
    first_token_p95_s: float


def compute_lower_bounds(
    calls: list[PlannedCall], *, warm_s: float, prefill_rate: float
) -> LowerBounds:
    """Computes the lower bounds of a workload.

    Args:
        calls: The calls in the order of sending.
        warm_s: Length of the warm-up in seconds; calls sent in it only fill
            the cache.
        prefill_rate: Prompt tokens that a runner computes per second.
    """
    block_bytes = keys_lib.BLOCK_BYTES
    seen: set[tuple[str, int, int]] = set()
    uncached_sizes: list[int] = []
    total_size = 0
    for call in calls:
        if not call.max_tokens:
            continue
        digest = hash(call.workspace)
        reused = 0
        missed = False
        for start in range(0, len(call.prompt) - block_bytes + 1, block_bytes):
            digest = hash((digest, call.prompt[start : start + block_bytes]))
            block = (call.workspace, start, digest)
            missed = missed or block not in seen
            seen.add(block)
            if not missed:
                reused += block_bytes
        if call.at_s >= warm_s:
            total_size += len(call.prompt)
            uncached_sizes.append(len(call.prompt) - reused)
    bytes_per_s = prefill_rate * keys_lib.TEXT_BYTES_PER_TOKEN
    prefill_times = [
        uncached_size / bytes_per_s for uncached_size in uncached_sizes
    ]
    return LowerBounds(
        sum(uncached_sizes) / total_size if total_size else 0.0,
        records.percentile(prefill_times, 0.5),
        records.percentile(prefill_times, 0.95),
    )
