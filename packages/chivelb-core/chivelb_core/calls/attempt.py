"""Typed outcomes of an attempt and what may follow them."""

import dataclasses
import enum

from chivelb_core import codes


class OutcomeKind(enum.Enum):
    """What is known of an attempt after it ended."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    FAILED = "failed after running"


@dataclasses.dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    Attributes:
        kind: What is known of its execution.
        code: The result code that a caller would get.
        detail: What happened, for logs and callers.
        target_died: Whether the target seems to have crashed.
    """

    kind: OutcomeKind
    code: codes.ResultCode
    detail: str = ""
    target_died: bool = False


class AttemptError(Exception):
    """Ends an attempt that is not done.

    Attributes:
        outcome: How it ended.
    """

    def __init__(self, outcome: Outcome) -> None:
        """Creates the end of an attempt."""
        super().__init__(outcome.detail)
        self.outcome = outcome


def may_retry(
    outcome: Outcome,
    *,
    repeatable: bool,
    emitted: bool,
    attempts: int,
    max_attempts: int,
) -> bool:
    """Tells whether another attempt may be dispatched.

    A call that may not be repeated is tried again only after a proved
    "not run"; nothing is tried again once parts of an answer went out and
    can't be continued.

    Args:
        outcome: How the last attempt ended.
        repeatable: Whether the call may run more than once.
        emitted: Whether parts of the answer reached the caller.
        attempts: Attempts dispatched so far.
        max_attempts: Most attempts for a call.

    Returns:
        True when another attempt may follow.
    """
    if attempts >= max_attempts or outcome.kind is OutcomeKind.DONE:
        return False
    if outcome.kind is OutcomeKind.NOT_RUN:
        return not emitted
    return repeatable and not emitted and outcome.kind is OutcomeKind.UNKNOWN
