"""Retry delays for refused clients."""

import random

import msgspec

from chivelb_core import codes

# The request can be served at once: by another instance, to which the client
# only has to connect, or, after ``TARGET_REPLACED``, by another target.
IMMEDIATE_RETRY_DELAY_S = 0.05
# An instance that has started usually has a document within this time.
STARTUP_DELAY_S = 0.5
# Targets are usually announced again, or recover, within this time.
TARGET_RECOVERY_DELAY_S = 0.5
# Minimum delay while a queue is full, so that it can drain before the retry.
FULL_QUEUE_DELAY_S = 0.3
# A body that makes no progress gives way to others after about this time.
BUFFERS_FULL_DELAY_S = 1.0
# Random extension of a delay, as a fraction of it, so that clients refused
# at the same time do not retry at the same time.
JITTER = 1.0

_BASE_DELAYS_S = {
    codes.STOPPING.number: IMMEDIATE_RETRY_DELAY_S,
    codes.NOT_READY.number: STARTUP_DELAY_S,
    codes.NO_TARGET.number: TARGET_RECOVERY_DELAY_S,
    codes.TARGET_UNREACHABLE.number: TARGET_RECOVERY_DELAY_S,
    codes.TARGET_REFUSED.number: FULL_QUEUE_DELAY_S,
    codes.BUFFERS_FULL.number: BUFFERS_FULL_DELAY_S,
    codes.TARGET_REPLACED.number: IMMEDIATE_RETRY_DELAY_S,
}


def retry_delay_s(
    code: codes.ResultCode, rng: random.Random, *, backlog_s: float = 0.0
) -> float:
    """Returns the delay after which a refused client should retry.

    Args:
        code: Result code of the refusal.
        rng: Random number generator for the jitter.
        backlog_s: Expected time to serve the calls queued ahead, in seconds.

    Returns:
        The delay in seconds, rounded to milliseconds.
    """
    base_delay_s = (
        _BASE_DELAYS_S.get(code.number, FULL_QUEUE_DELAY_S) + backlog_s
    )
    return round(base_delay_s * (1.0 + JITTER * rng.random()), 3)


def with_retry_delay(
    error_detail: codes.ErrorDetail,
    rng: random.Random,
    *,
    backlog_s: float = 0.0,
) -> codes.ErrorDetail:
    """Returns the details of a refusal, with a retry delay if one is due.

    The delay is added if the result code advises a later retry.
    """
    if error_detail.code.retry is not codes.RetryAdvice.LATER:
        return error_detail
    delay_s = retry_delay_s(error_detail.code, rng, backlog_s=backlog_s)
    return msgspec.structs.replace(error_detail, retry_after_s=delay_s)
