"""How many runners must change weights at a time for all to be in time."""

import bisect
from collections.abc import Sequence
import heapq


def places_needed(
    due_times: Sequence[float],
    ends: Sequence[float],
    *,
    change_s: float,
    now: float,
) -> int:
    """Returns how many runners must change at a time.

    Args:
        due_times: Monotonic time by which each that waits is to have changed,
            in seconds, in ascending order; none before the end of a change that
            begins now.
        ends: Expected ends of the changes in progress, likewise.
        change_s: Duration of a change in seconds.
        now: Monotonic time in seconds.
    """
    return bisect.bisect_left(
        range(len(ends) + len(due_times)),
        True,
        key=lambda places: are_in_time(
            due_times, ends, places=places, change_s=change_s, now=now
        ),
    )


def are_in_time(
    due_times: Sequence[float],
    ends: Sequence[float],
    *,
    places: int,
    change_s: float,
    now: float,
) -> bool:
    """Whether runners can all change in time.

    Args:
        due_times: Monotonic time by which each that waits is to have changed,
            in seconds, in ascending order.
        ends: Expected ends of the changes in progress, likewise.
        places: Number of runners that may change at a time.
        change_s: Duration of a change in seconds.
        now: Monotonic time in seconds.
    """
    if not due_times:
        return True
    # When each place is free, in seconds.
    free_at = [now] * (places - len(ends))
    free_at += ends[max(0, len(ends) - places) :]
    heapq.heapify(free_at)
    for due_at in due_times:
        if not free_at or max(free_at[0], now) + change_s > due_at:
            return False
        heapq.heapreplace(free_at, max(free_at[0], now) + change_s)
    return True
