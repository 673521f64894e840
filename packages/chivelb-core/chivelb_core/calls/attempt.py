"""Outcomes of attempts, and which of them may be retried."""

import dataclasses
import enum

from chivelb_core import codes


class OutcomeKind(enum.Enum):
    """Execution status of a single attempt after its end.

    ``codes.ExecutionStatus`` is the status of the request that the caller is
    told; ``DONE`` and ``FAILED`` both mean that the request ran.
    """

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    FAILED = "failed after running"


@dataclasses.dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    Attributes:
        kind: Execution status of the attempt.
        code: Result code that the caller gets if the call is not retried.
        detail: Description for logs and callers.
        target_crashed: Whether the target is presumed to have crashed.
    """

    kind: OutcomeKind
    code: codes.ResultCode
    detail: str = ""
    target_crashed: bool = False


class AttemptError(Exception):
    """Raised when an attempt ends without a complete response.

    Attributes:
        outcome: How the attempt ended.
    """

    def __init__(self, outcome: Outcome) -> None:
        """Creates the error from an outcome."""
        super().__init__(outcome.detail)
        self.outcome = outcome


def may_retry(
    outcome: Outcome,
    *,
    repeatable: bool,
    response_started: bool,
    attempts: int,
    max_attempts: int,
) -> bool:
    """Returns whether a call may be retried.

    A call that is not repeatable is retried only if the last attempt is
    certain not to have run. No call is retried after a part of the response
    that can't be continued has been sent to the caller.

    Args:
        outcome: Outcome of the last attempt.
        repeatable: Whether the call may be executed more than once.
        response_started: Whether a part of the response has been sent to the
            caller and can't be continued.
        attempts: Number of attempts so far.
        max_attempts: Maximum number of attempts of a call, including the
            first.

    Returns:
        True if another attempt may be dispatched.
    """
    if attempts >= max_attempts or outcome.kind is OutcomeKind.DONE:
        return False
    if outcome.kind is OutcomeKind.NOT_RUN:
        return not response_started
    return (
        repeatable
        and not response_started
        and outcome.kind is OutcomeKind.UNKNOWN
    )
