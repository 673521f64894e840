"""Results of a run: one record per call, and aggregate metrics."""

import statistics

import msgspec


class CallRecord(msgspec.Struct):
    """Outcome of one call.

    Attributes:
        at_s: Time of sending, in seconds after the start of the run.
        workspace: Name of the workspace.
        class_name: Scheduling class.
        plain: Whether the call went to the plain (non-model) service.
        returns: Whether the prompt extends that of an earlier call of the
            run.
        status: HTTP status; 0 if the connection failed.
        code: Result code; 0 for a complete response, -1 for none.
        first_token_s: Time to first token in seconds, or None.
        total_s: Time to the end of the response in seconds.
        gap_s: Longest gap between two tokens in seconds.
        tokens: Number of tokens received.
        prompt_tokens: Number of tokens of the prompt.
        cached_tokens: Prompt tokens served from the KV cache.
        wrong: Why the response is incorrect, or empty.
        retry_after_s: Value of ``Retry-After`` in seconds, or None.
        resumed: How often the call was sent again after a lost connection.
    """

    at_s: float
    workspace: str
    class_name: str
    plain: bool
    returns: bool
    status: int = 0
    code: int = -1
    first_token_s: float | None = None
    total_s: float = 0.0
    gap_s: float = 0.0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wrong: str = ""
    retry_after_s: float | None = None
    resumed: int = 0


class Summary(msgspec.Struct):
    """Aggregate metrics of a run.

    Attributes:
        sent: Number of calls sent.
        answered: Calls with a complete and correct response.
        refused: Calls rejected before execution (result codes 1000 to 2999).
        unknown: Calls with an error after they may have been executed or
            were executed (result codes 3000 to 4999).
        lost: Calls without a final response.
        wrong: Calls with an incorrect response.
        doubled: Repeated executions of calls that must run at most once; a
            call that ran three times counts as two.
        first_token_p50_s: Median time to first token in seconds.
        first_token_p95_s: 95th percentile of the time to first token.
        token_gap_p95_s: 95th percentile of the longest gap between two
            tokens of a response, in seconds.
        recomputed_share: Share of prompt tokens that were not served from
            the KV cache.
        link_bytes: Bytes transferred over the links of the runners, which
            connect them to the KV cache stores.
        goodput: Complete and correct responses per second.
    """

    sent: int
    answered: int
    refused: int
    unknown: int
    lost: int
    wrong: int
    doubled: int
    first_token_p50_s: float
    first_token_p95_s: float
    token_gap_p95_s: float
    recomputed_share: float
    link_bytes: int
    goodput: float


class Result(msgspec.Struct):
    """Result of one run.

    Attributes:
        name: Name of the run.
        command: Command line that started the run.
        seed: Seed of the workload.
        commit: Output of ``git describe``, or empty if unknown.
        settings: Settings of the scenario.
        summary: Aggregate metrics.
        violations: Violated invariants.
        calls: One record per call.
    """

    name: str
    command: str
    seed: int
    commit: str
    settings: dict[str, str | float | int]
    summary: Summary
    violations: list[str]
    calls: list[CallRecord]


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile, or 0 if there are no values.

    Args:
        values: The values, in any order.
        share: Rank of the percentile, from 0 to 1.

    Example:
        >>> percentile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def summarize(
    calls: list[CallRecord],
    *,
    warm_s: float,
    duration_s: float,
    link_bytes: int,
    doubled: int,
) -> Summary:
    """Computes the aggregate metrics of a run.

    Args:
        calls: Records of all calls; the counts cover all of them.
        warm_s: Length of the warm-up in seconds; latencies and token shares
            cover calls sent after it.
        duration_s: Length of the run in seconds.
        link_bytes: Bytes transferred over the links of the runners.
        doubled: Repeated executions of calls that must run at most once.
    """
    measured = [c for c in calls if c.at_s >= warm_s and not c.plain]
    first_token_times = [
        c.first_token_s for c in measured if c.first_token_s is not None
    ]
    gaps = [c.gap_s for c in measured if c.tokens > 1]
    prompt_tokens = sum(c.prompt_tokens for c in measured if c.tokens)
    cached_tokens = sum(min(c.cached_tokens, c.prompt_tokens) for c in measured)
    answered = [c for c in calls if c.code == 0 and not c.wrong]
    return Summary(
        sent=len(calls),
        answered=len(answered),
        refused=sum(1000 <= c.code < 3000 for c in calls),
        unknown=sum(3000 <= c.code < 5000 for c in calls),
        lost=sum(c.code == -1 for c in calls),
        wrong=sum(bool(c.wrong) for c in calls),
        doubled=doubled,
        first_token_p50_s=statistics.median(first_token_times)
        if first_token_times
        else 0.0,
        first_token_p95_s=percentile(first_token_times, 0.95),
        token_gap_p95_s=percentile(gaps, 0.95),
        recomputed_share=1 - cached_tokens / prompt_tokens
        if prompt_tokens
        else 0.0,
        link_bytes=link_bytes,
        goodput=len(answered) / duration_s,
    )


def find_violations(summary: Summary) -> list[str]:
    """Returns a description of each invariant that a run violated."""
    violations = []
    if summary.wrong:
        violations.append(f"{summary.wrong} incorrect responses")
    if summary.doubled:
        violations.append(f"{summary.doubled} repeated executions of calls")
    if summary.lost:
        violations.append(f"{summary.lost} calls without a final response")
    return violations
