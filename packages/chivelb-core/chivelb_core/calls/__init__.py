"""Attempts of a call: outcomes, retry rules, retry budgets and suspects.

A call is the handling of one request of a caller. It sends the request to
targets in one or more attempts, of which all after the first are retries.
"""

from chivelb_core.calls.attempt import AttemptError
from chivelb_core.calls.attempt import Outcome
from chivelb_core.calls.attempt import OutcomeKind
from chivelb_core.calls.budget import RetryLimits
from chivelb_core.calls.budget import TokenBucketBudget
from chivelb_core.calls.budget import WindowBudget
from chivelb_core.calls.part_suspects import PartSuspects
from chivelb_core.calls.suspects import fingerprint
from chivelb_core.calls.suspects import SuspectTable

__all__ = [
    "AttemptError",
    "RetryLimits",
    "Outcome",
    "OutcomeKind",
    "PartSuspects",
    "TokenBucketBudget",
    "SuspectTable",
    "WindowBudget",
    "fingerprint",
]
