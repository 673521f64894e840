"""When a refused caller should come again."""

import random

import msgspec

from chivelb_core import codes

# Another instance serves at once; the caller only has to reach it.
ELSEWHERE_S = 0.05
# Targets are announced again, or come back, within about this time.
TARGETS_BACK_S = 0.5
# A queue that is too long now takes at least this long to be shorter.
QUEUE_BASE_S = 0.3
# Callers that were refused together come back over a span of time.
SPREAD = 1.0

_BASES_S = {
    codes.STOPPING.number: ELSEWHERE_S,
    codes.NOT_READY.number: ELSEWHERE_S,
    codes.NO_TARGET.number: TARGETS_BACK_S,
    codes.TARGET_UNREACHABLE.number: TARGETS_BACK_S,
    codes.TARGET_REFUSED.number: QUEUE_BASE_S,
    codes.TARGET_REPLACED.number: ELSEWHERE_S,
}


def return_after_s(
    code: codes.ResultCode, rng: random.Random, *, backlog_s: float = 0.0
) -> float:
    """Returns the seconds after which a refused caller should come again.

    Args:
        code: Why it was refused.
        rng: Source of randomness; callers are spread out.
        backlog_s: Seconds that the waiting calls before it will take.

    Returns:
        The seconds, rounded to milliseconds.
    """
    base_s = _BASES_S.get(code.number, QUEUE_BASE_S) + backlog_s
    return round(base_s * (1.0 + SPREAD * rng.random()), 3)


def with_return(
    fault: codes.Fault, rng: random.Random, *, backlog_s: float = 0.0
) -> codes.Fault:
    """Returns a fault that tells when to come again, where that helps."""
    if fault.code.retry is not codes.Retry.LATER:
        return fault
    after_s = return_after_s(fault.code, rng, backlog_s=backlog_s)
    return msgspec.structs.replace(fault, retry_after_s=after_s)
