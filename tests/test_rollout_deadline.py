"""New weights are in force at all runners within the bound.

The rollout and its client run against simulated runners in virtual time.
"""

import simulated_runners

APPLY_WITHIN_S = 10.0


def make_runners(count):
    return [simulated_runners.SimulatedRunner(f"r{n}") for n in range(count)]


# Guards against requests that begin on old weights after the bound because
# runners change one after another, however long each of them takes.
def test_all_runners_of_a_small_fleet_change_within_the_bound(monkeypatch):
    result = simulated_runners.simulate_rollout(
        monkeypatch, make_runners(8), run_s=4.0, seconds=20.0
    )
    assert [runner.version for runner in result.runners] == [2] * 8
    assert result.old_starts_after(APPLY_WITHIN_S) == []


# Guards against a controller that takes busy runners for idle because it gets
# no load reports, so that each change waits for the longest request.
def test_a_busy_runner_does_not_finish_its_requests_first(monkeypatch):
    result = simulated_runners.simulate_rollout(
        monkeypatch, make_runners(3), run_s=8.0, seconds=9.0
    )
    modes = [mode for runner in result.runners for mode in runner.swap_modes]
    assert modes == ["continue"] * 3
    assert result.old_starts_after(8.0) == []


# Guards against requests that a runner which does not answer gets on its old
# weights after the bound, although others serve the new ones.
def test_a_silent_runner_gets_no_requests_after_the_bound(monkeypatch):
    runners = make_runners(5)
    runners[2].is_silent = True
    result = simulated_runners.simulate_rollout(
        monkeypatch, runners, run_s=1.0, seconds=16.0
    )
    assert sorted(r.version for r in result.runners) == [1, 2, 2, 2, 2]
    assert result.old_starts_after(APPLY_WITHIN_S) == []


# Guards against a rollout that waits for a runner which answers no more.
def test_a_runner_that_falls_silent_does_not_delay_the_others(monkeypatch):
    runners = make_runners(5)
    original_accept = simulated_runners.SimulatedRunner.accept

    def accept(runner, order):
        runner.is_silent = runner.identity == "r0"
        return original_accept(runner, order)

    monkeypatch.setattr(simulated_runners.SimulatedRunner, "accept", accept)
    result = simulated_runners.simulate_rollout(
        monkeypatch, runners, run_s=4.0, seconds=16.0
    )
    assert result.old_starts_after(APPLY_WITHIN_S) == []


# Guards against a rollout in a hurry that takes more of the capacity than the
# time left requires.
def test_at_most_a_third_changes_at_once_if_that_is_soon_enough(monkeypatch):
    result = simulated_runners.simulate_rollout(
        monkeypatch, make_runners(12), run_s=1.0, seconds=14.0
    )
    assert [runner.version for runner in result.runners] == [2] * 12
    assert result.max_unavailable <= 4


# Guards against a rollout whose pace depends on the number of runners alone,
# however long a change takes.
def test_more_runners_change_at_once_if_a_change_takes_long(monkeypatch):
    monkeypatch.setattr(simulated_runners, "LOAD_S", 3.0)
    result = simulated_runners.simulate_rollout(
        monkeypatch, make_runners(5), run_s=2.0, seconds=12.0
    )
    assert [runner.version for runner in result.runners] == [2] * 5
    assert result.old_starts_after(APPLY_WITHIN_S) == []
    assert result.max_unavailable < 5
