"""Rests that targets ask for when they turn a request away."""

from collections.abc import Sequence

from chivelb_core.forwarding import request_limits

# A longer rest is obeyed for this long: a target that asks for more has made a
# mistake, or is as good as gone.
MAX_REST_S = 3_600.0
# Rest of a target whose value can't be understood; it does want some.
DEFAULT_REST_S = 1.0


class RestError(Exception):
    """A rest that a target asks for can't be understood."""


def parse_rest(values: Sequence[str]) -> float:
    """Returns the rest that an answer asks for.

    Args:
        values: All values of the header that asks for it.

    Returns:
        The rest in seconds, at most ``MAX_REST_S``; 0 for none.

    Raises:
        RestError: The rest is named more than once, or is no decimal number.
    """
    try:
        rest_s = request_limits.parse_limit(values)
    except request_limits.LimitError as error:
        raise RestError(str(error)) from None
    return min(MAX_REST_S, rest_s or 0.0)
