"""Random days in which requests crash targets; more seeds by hand."""

import crash_days
import pytest

SEEDS = range(1, 9)


# Guards against a mixture of crashes, restarts and full targets in which a part
# that crashes targets goes on reaching them, or sound requests are lost.
@pytest.mark.parametrize("seed", SEEDS)
def test_parts_stop_and_sound_requests_go_on(seed, monkeypatch):
    day, _, problems = crash_days.run_day(seed, monkeypatch)
    assert not problems, day.kind
