"""Attempts of a call: outcomes, retry rules, retry budgets and suspects."""

from chivelb_core.calls.attempt import AttemptError
from chivelb_core.calls.attempt import Outcome
from chivelb_core.calls.attempt import OutcomeKind
from chivelb_core.calls.budget import RetryBudget
from chivelb_core.calls.budget import RetryLimits
from chivelb_core.calls.budget import WindowBudget
from chivelb_core.calls.suspects import fingerprint
from chivelb_core.calls.suspects import SuspectTable

__all__ = [
    "AttemptError",
    "RetryLimits",
    "Outcome",
    "OutcomeKind",
    "RetryBudget",
    "SuspectTable",
    "WindowBudget",
    "fingerprint",
]
