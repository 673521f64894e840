"""Retry budgets that instances enforce without coordination."""

from chivelb_core import calls
from hypothesis import given
from hypothesis import strategies

WINDOW_S = 10.0


def make_budget(ratio=0.2, slack=20):
    return calls.WindowBudget(calls.RetryLimits(ratio, slack, WINDOW_S))


def test_each_instance_has_an_equal_share_of_the_slack():
    budget = make_budget()
    retries = sum(budget.spend(0.0, instances=9) for _ in range(50))
    assert retries == 2


def test_requests_of_this_instance_increase_its_budget():
    budget = make_budget()
    for _ in range(100):
        budget.record_request(0.0)
    retries = sum(budget.spend(0.1, instances=9) for _ in range(50))
    assert retries == 22


def test_retries_before_the_window_do_not_count():
    budget = make_budget(slack=9)
    assert budget.spend(0.0, instances=9)
    assert not budget.spend(9.9, instances=9)
    assert budget.spend(11.0, instances=9)


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 3), strategies.booleans()),
        max_size=150,
    )
)
def test_no_window_exceeds_the_retry_limit(steps):
    budget = make_budget(slack=3)
    now = 0.0
    request_times, retries = [], []
    for pause, is_first in steps:
        now += pause
        if is_first:
            budget.record_request(now)
            request_times.append(now)
        elif budget.spend(now, instances=1):
            retries.append(now)
            # The oldest bucket lies partly before the window, so requests
            # from just before the window may count as well.
            retries_in_window = [t for t in retries if t > now - WINDOW_S]
            requests = [t for t in request_times if t > now - 1.1 * WINDOW_S]
            assert len(retries_in_window) <= 0.2 * len(requests) + 3
