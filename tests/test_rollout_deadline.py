"""New weights are in force at all runners within the bound.

The rollout and its client run against simulated runners in virtual time.
"""

import builders
from chivelb_core import document
from chivelb_core.kv_cache import parts
from chivelb_node import context as context_lib
from chivelb_node.forwarding import placement
import pytest
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


def eligible_runners(versions, later_s):
    """Returns who may get a request some seconds after version 2 was requested.

    Args:
        versions: Weight version by runner.
        later_s: Time since the request for version 2, in seconds.
    """
    context = builders.make_context(
        **{
            name: {"weight_version": version, "address": f"{name}:9000"}
            for name, version in versions.items()
        }
    )
    context.apply_document_state(
        document.DocumentState(
            document=context.document, version=2, weights={"lm": 2}
        )
    )
    policy = placement.PlacementPolicy(context, parts.PartDirectory())
    call = builders.make_call(service="estimator-lm")
    records = policy.eligible(call, context_lib.monotonic() + later_s)
    return sorted(record.identity for record in records)


# Guards against requests on old weights after the bound, and against requests
# that nobody serves because no runner has the new ones.
@pytest.mark.parametrize(
    "versions,later_s,expected",
    [
        ({"old": "1", "new": "2"}, 8.0, ["new", "old"]),
        ({"old": "1", "new": "2"}, 9.0, ["new"]),
        ({"old": "1", "unknown": "", "newer": "3"}, 9.0, ["newer"]),
        ({"old": "1", "older": "0"}, 9.0, ["old", "older"]),
    ],
)
def test_overdue_runners_get_requests_only_if_no_other_can(
    versions, later_s, expected
):
    assert eligible_runners(versions, later_s) == expected


# Guards against a bound that starts anew with each further version.
def test_a_newer_version_does_not_extend_the_time_of_the_one_before(
    monkeypatch,
):
    context = builders.make_context(old={"weight_version": "1"})
    times = iter([100.0, 104.0])
    monkeypatch.setattr(context_lib, "monotonic", lambda: next(times))
    for version in (2, 3):
        context.apply_document_state(
            document.DocumentState(
                document=context.document,
                version=version,
                weights={"lm": version},
            )
        )
    limit_s = APPLY_WITHIN_S * context_lib.WEIGHTS_DUE_RATIO
    for announced, learned_at in (("1", 100.0), ("2", 104.0)):
        record = builders.make_record(weight_version=announced)
        assert context.weights_due_at(record) == learned_at + limit_s
    assert context.weights_due_at(
        builders.make_record(weight_version="3")
    ) == float("inf")
