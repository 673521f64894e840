"""Retry budgets that all instances keep without talking to each other."""

from chivelb_core import calls
from hypothesis import given
from hypothesis import strategies

WINDOW_S = 10.0


def make_budget(ratio=0.2, slack=20):
    return calls.WindowBudget(calls.BudgetTerms(ratio, slack, WINDOW_S))


def test_each_instance_has_an_equal_share_of_the_slack():
    budget = make_budget()
    spent = sum(budget.spend(0.0, instances=9) for _ in range(50))
    assert spent == 2


def test_requests_of_this_instance_allow_more():
    budget = make_budget()
    for _ in range(100):
        budget.note_first(0.0)
    spent = sum(budget.spend(0.1, instances=9) for _ in range(50))
    assert spent == 22


def test_what_left_the_window_counts_no_more():
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
def test_no_window_ever_has_more_than_the_terms_allow(steps):
    budget = make_budget(slack=3)
    now = 0.0
    first, further = [], []
    for pause, is_first in steps:
        now += pause
        if is_first:
            budget.note_first(now)
            first.append(now)
        elif budget.spend(now, instances=1):
            further.append(now)
            # A window and the one just before it, as requests count.
            inside = [t for t in further if t > now - WINDOW_S]
            asked = [t for t in first if t > now - 1.1 * WINDOW_S]
            assert len(inside) <= 0.2 * len(asked) + 3
