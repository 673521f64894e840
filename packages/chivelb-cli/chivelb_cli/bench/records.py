"""Results of a run: one record a call, and their summary."""

import statistics

import msgspec


class CallRecord(msgspec.Struct):
    """What happened to one call.

    Attributes:
        at_s: Seconds after the start when it was sent.
        workspace: Its workspace.
        class_name: Its scheduling class.
        plain: Whether it went to the plain service.
        returns: Whether its prompt came before.
        status: HTTP status; 0 when the connection failed.
        code: Result code; 0 for a whole answer, -1 without any.
        first_token_s: Seconds to the first token, or None.
        total_s: Seconds to the end.
        gap_s: Longest gap between tokens in seconds.
        tokens: Tokens received.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens that were reused.
        wrong: What was wrong with the answer, or empty.
        retry_after_s: Seconds that a refusal asked to wait, or None.
        resumed: How often the stream was resumed.
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
    """Figures of a run.

    Attributes:
        sent: Calls sent.
        answered: Calls with a whole answer.
        refused: Calls refused as not run.
        unknown: Calls with an unknown outcome.
        lost: Calls without any final answer.
        wrong: Answers that were not what they must be.
        doubled: Calls that may not be repeated and ran twice.
        first_token_p50_s: Median time to first token.
        first_token_p95_s: 95th percentile of it.
        token_gap_p95_s: 95th percentile of the longest gap of an answer.
        recomputed_share: Share of prompt tokens computed again.
        link_bytes: Bytes moved over links between tiers.
        goodput: Whole answers a second.
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
    """A whole run.

    Attributes:
        name: Name of the run.
        command: The command that made it.
        seed: Seed of the workload.
        commit: Commit that ran, if known.
        settings: What was set.
        summary: Its figures.
        violations: Invariants that did not hold.
        calls: The records.
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
    """Returns a percentile, or 0 without values.

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
    """Summarizes records.

    Args:
        calls: All records; counts are over all of them.
        warm_s: Latencies and shares count calls sent after this.
        duration_s: Length of the run in seconds.
        link_bytes: Bytes moved over links.
        doubled: Calls that ran twice and may not.
    """
    warm = [c for c in calls if c.at_s >= warm_s and not c.plain]
    times = [c.first_token_s for c in warm if c.first_token_s is not None]
    gaps = [c.gap_s for c in warm if c.tokens > 1]
    prompt = sum(c.prompt_tokens for c in warm if c.tokens)
    cached = sum(min(c.cached_tokens, c.prompt_tokens) for c in warm)
    answered = [c for c in calls if c.code == 0 and not c.wrong]
    return Summary(
        sent=len(calls),
        answered=len(answered),
        refused=sum(1000 <= c.code < 3000 for c in calls),
        unknown=sum(3000 <= c.code < 5000 for c in calls),
        lost=sum(c.code == -1 for c in calls),
        wrong=sum(bool(c.wrong) for c in calls),
        doubled=doubled,
        first_token_p50_s=statistics.median(times) if times else 0.0,
        first_token_p95_s=percentile(times, 0.95),
        token_gap_p95_s=percentile(gaps, 0.95),
        recomputed_share=1 - cached / prompt if prompt else 0.0,
        link_bytes=link_bytes,
        goodput=len(answered) / duration_s,
    )


def find_violations(summary: Summary) -> list[str]:
    """Returns the invariants that a run broke."""
    found = []
    if summary.wrong:
        found.append(f"{summary.wrong} wrong answers")
    if summary.doubled:
        found.append(f"{summary.doubled} calls ran twice")
    if summary.lost:
        found.append(f"{summary.lost} calls without a final answer")
    return found
