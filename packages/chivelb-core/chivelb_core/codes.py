"""Numbered result codes: execution status and retry advice.

In the summaries and the retry advice, which callers see, the request key is the
idempotency key; a key without a qualifier is an API key; the answer is the
response to the request.
"""

import enum

import msgspec


class ExecutionStatus(enum.Enum):
    """Execution status of a request after all of its attempts.

    ``calls.OutcomeKind`` is the status of a single attempt. ``RAN`` does not
    tell whether the request succeeded.
    """

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RetryAdvice(enum.Enum):
    """Retry advice: whether a caller may send the same request again.

    ``WITH_KEY`` requires the idempotency key of the first request.
    """

    NO = "no"
    FIX = "after correcting the request"
    LATER = "after Retry-After"
    WITH_KEY = "only with the same request key"


class ResultCode(msgspec.Struct, frozen=True):
    """One row of the result code table.

    Attributes:
        number: Stable number, never reused.
        name: Stable identifier in snake case.
        status: HTTP status of responses with this code.
        ran: Execution status of the request.
        retry: Whether and when the caller may retry.
        summary: One-sentence description.
    """

    number: int
    name: str
    status: int
    ran: ExecutionStatus
    retry: RetryAdvice
    summary: str


def _result_code(
    number: int,
    name: str,
    status: int,
    ran: ExecutionStatus,
    retry: RetryAdvice,
    summary: str,
) -> ResultCode:
    return ResultCode(number, name, status, ran, retry, summary)


_NOT_RUN, _UNKNOWN, _RAN = (
    ExecutionStatus.NOT_RUN,
    ExecutionStatus.UNKNOWN,
    ExecutionStatus.RAN,
)

DONE = _result_code(
    0, "done", 200, _RAN, RetryAdvice.NO, "The answer is complete."
)

BAD_JSON = _result_code(
    1001,
    "bad_json",
    400,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The body is not valid JSON.",
)
BAD_ENCODING = _result_code(
    1002,
    "bad_encoding",
    400,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The body is not UTF-8.",
)
BODY_TOO_LARGE = _result_code(
    1003,
    "body_too_large",
    413,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The body is too large.",
)
BODY_TOO_SLOW = _result_code(
    1004,
    "body_too_slow",
    408,
    _NOT_RUN,
    RetryAdvice.LATER,
    "The body came too slowly.",
)
BAD_HEADERS = _result_code(
    1005,
    "bad_headers",
    431,
    _NOT_RUN,
    RetryAdvice.FIX,
    "Too many or too large headers.",
)
BAD_FIELD = _result_code(
    1006,
    "bad_field",
    400,
    _NOT_RUN,
    RetryAdvice.FIX,
    "A field has a wrong value.",
)
UNAUTHORIZED = _result_code(
    1007,
    "unauthorized",
    401,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The key is missing or unknown.",
)
FORBIDDEN = _result_code(
    1008,
    "forbidden",
    403,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The key may not do this.",
)
NOT_FOUND = _result_code(
    1009,
    "not_found",
    404,
    _NOT_RUN,
    RetryAdvice.FIX,
    "No such service or path.",
)
KEY_REUSED = _result_code(
    1010,
    "key_reused",
    422,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The request key was used before with another body.",
)

UNREADABLE = _result_code(
    1011,
    "unreadable",
    400,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The request is not HTTP/1.1.",
)

OVERLOADED = _result_code(
    2001, "overloaded", 429, _NOT_RUN, RetryAdvice.LATER, "The queue is full."
)
QUEUE_DEADLINE = _result_code(
    2002,
    "queue_deadline",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No target could start the request before its deadline.",
)
NO_TARGET = _result_code(
    2003,
    "no_target",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No target serves this now.",
)
STOPPING = _result_code(
    2004,
    "stopping",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "This instance is stopping.",
)
NOT_READY = _result_code(
    2005,
    "not_ready",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No document is in force yet.",
)
CLAIM_UNAVAILABLE = _result_code(
    2006,
    "claim_unavailable",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No majority of claim keepers could be reached.",
)
TARGET_REFUSED = _result_code(
    2007,
    "target_refused",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "Targets refused the request before running it.",
)
SUSPECT = _result_code(
    2008,
    "suspect",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "This prompt was in flight on targets that crashed; it is refused.",
)

TARGET_UNREACHABLE = _result_code(
    2009,
    "target_unreachable",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No connection to a target could be opened.",
)

# The target at the address found that the request was meant for the target
# that had the address before, and did not run it.
TARGET_REPLACED = _result_code(
    2010,
    "target_replaced",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "Another target has the address; it did not run the request.",
)
# A caller takes up a stream whose software version is not known, or serves no
# more, while targets of several versions serve.
RESUME_REFUSED = _result_code(
    2011,
    "resume_refused",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No target can continue this stream.",
)
# The targets of all other regions are ruled out by the route or the workspace.
NO_TARGET_IN_REGION = _result_code(
    2012,
    "no_target_in_region",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No target of the service is in a region that the request may use.",
)
# Other requests use up the memory for buffers, or the connections.
BUFFERS_FULL = _result_code(
    2015,
    "buffers_full",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "This instance has no memory or connections left for the request.",
)
CALLER_LEFT = _result_code(
    3004,
    "caller_left",
    499,
    _UNKNOWN,
    RetryAdvice.NO,
    "The caller closed its connection before the answer was complete.",
)
OUTCOME_UNKNOWN = _result_code(
    3001,
    "outcome_unknown",
    502,
    _UNKNOWN,
    RetryAdvice.WITH_KEY,
    "The target may have run the request; its answer is lost.",
)
TARGET_TIMEOUT = _result_code(
    3002,
    "target_timeout",
    504,
    _UNKNOWN,
    RetryAdvice.WITH_KEY,
    "The target did not answer before the deadline.",
)
INTERNAL = _result_code(
    3005,
    "internal",
    500,
    _UNKNOWN,
    RetryAdvice.WITH_KEY,
    "This instance failed; its log has the cause.",
)
CLAIM_IN_PROGRESS = _result_code(
    3003,
    "claim_in_progress",
    409,
    _UNKNOWN,
    RetryAdvice.WITH_KEY,
    "The same request key is held and has no recorded outcome.",
)

TARGET_FAILED = _result_code(
    4001,
    "target_failed",
    502,
    _RAN,
    RetryAdvice.NO,
    "The target ran and failed.",
)
# For a retry with the same idempotency key: the recorded outcome does not have
# the response, so that it cannot be sent again.
ANSWER_NOT_KEPT = _result_code(
    4002,
    "answer_not_kept",
    409,
    _RAN,
    RetryAdvice.NO,
    "The request ran; its answer is too large or too old to repeat.",
)

CHANGE_CONFLICT = _result_code(
    5001,
    "change_conflict",
    409,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The document changed since the base version.",
)
CHANGE_INVALID = _result_code(
    5002,
    "change_invalid",
    422,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The change has faults.",
)
NO_QUORUM = _result_code(
    5003,
    "no_quorum",
    503,
    _NOT_RUN,
    RetryAdvice.LATER,
    "No majority of voters is in reach; the change was not accepted.",
)
CHANGE_UNKNOWN = _result_code(
    5004,
    "change_unknown",
    504,
    _UNKNOWN,
    RetryAdvice.WITH_KEY,
    "The change may be accepted; resend it with the same change id.",
)
CHANGE_ID_REUSED = _result_code(
    5005,
    "change_id_reused",
    422,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The change id was used before with other operations.",
)
STALE_TOKEN = _result_code(
    5006,
    "stale_token",
    409,
    _NOT_RUN,
    RetryAdvice.NO,
    "The fencing token is old.",
)
CHANGE_TOO_LARGE = _result_code(
    5007,
    "change_too_large",
    413,
    _NOT_RUN,
    RetryAdvice.FIX,
    "The change is larger than a message between instances; split it.",
)

ALL: tuple[ResultCode, ...] = tuple(
    sorted(
        (value for value in globals().values() if type(value) is ResultCode),
        key=lambda code: code.number,
    )
)


class ErrorDetail(msgspec.Struct, frozen=True):
    """A result code with the detail of one occurrence.

    Attributes:
        code: The result code.
        detail: What went wrong, with the invalid value and the valid ones.
        retry_after_s: Seconds after which the caller should retry, or None.
    """

    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None


BY_NUMBER = {code.number: code for code in ALL}


def render_result_codes(codes: tuple[ResultCode, ...] = ALL) -> str:
    """Renders the table as the Markdown page ``docs/result-codes.md``.

    Args:
        codes: The result codes, sorted by number.

    Returns:
        The whole page, with a trailing newline.

    Example:
        >>> render_result_codes().splitlines()[0]
        '# Result codes'
    """
    lines = [
        "# Result codes",
        "",
        "Generated by `chivelb codes`; a test keeps this page and",
        "`chivelb_core.codes` equal. Numbers are stable and never reused.",
        "",
        "| code | name | HTTP | ran | come again | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {c.number} | `{c.name}` | {c.status} | {c.ran.value} "
        f"| {c.retry.value} | {c.summary} |"
        for c in codes
    ]
    return "\n".join(lines) + "\n"
