"""Random days on which targets name limits; more seeds by hand."""

import limit_days
import pytest

SEEDS = range(1, 13)


# Guards against a target that gets more requests from all instances together
# than the limit that it has named, and against callers who suffer from one.
@pytest.mark.parametrize("seed", SEEDS)
def test_limits_hold_and_calls_are_served(seed, monkeypatch):
    day, _, problems = limit_days.run_day(seed, monkeypatch)
    assert not problems, day
