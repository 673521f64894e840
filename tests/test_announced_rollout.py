"""Weight rollouts to runners that announce their state.

The second part tests the lease of the rollout's controller.
"""

import builders
from chivelb_core import rollout
from chivelb_core.rollout import lease as lease_lib
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies


def plan_and_send(announced_rollout, desired, records, now=0.0):
    orders = announced_rollout.plan(desired, records, now)
    for order in orders:
        announced_rollout.record_sent(order, 1, now)
    return [order.identity for order in orders]


def make_records(**states):
    return [
        builders.make_record(name, state=state, weight_version=version)
        for name, (state, version) in states.items()
    ]


def test_concurrent_loads_are_limited_and_enough_runners_stay_ready():
    announced_rollout = rollout.AnnouncedRollout("lm")
    desired = builders.make_model(current="v2", loads_at_once=2, min_ready=3)
    outdated = make_records(**{f"r{n}": ("ready", "v1") for n in range(6)})
    assert plan_and_send(announced_rollout, desired, outdated) == ["r0", "r1"]
    assert plan_and_send(announced_rollout, desired, outdated, now=0.5) == []
    fewer = make_records(**{f"r{n}": ("ready", "v1") for n in range(4)})
    assert plan_and_send(rollout.AnnouncedRollout("lm"), desired, fewer) == [
        "r0"
    ]


def test_a_failed_load_stops_the_rollout_until_the_document_changes():
    announced_rollout = rollout.AnnouncedRollout("lm")
    desired = builders.make_model(current="v2", min_ready=0)
    states = {f"r{n}": ("ready", "v1") for n in range(3)}
    assert plan_and_send(
        announced_rollout, desired, make_records(**states)
    ) == [
        "r0",
        "r1",
    ]
    plan_and_send(
        announced_rollout,
        desired,
        make_records(**{**states, "r0": ("loading", "v1")}),
        1.0,
    )
    assert (
        plan_and_send(announced_rollout, desired, make_records(**states), 9.0)
        == []
    )
    assert announced_rollout.failed == "r0"
    reverted = builders.make_model(current="v1")
    assert (
        plan_and_send(announced_rollout, reverted, make_records(**states), 10.0)
        == []
    )
    assert announced_rollout.failed == ""


def test_a_new_controller_repeats_orders_with_the_same_id():
    desired = builders.make_model(current="v2", min_ready=0)
    outdated = make_records(r0=("ready", "v1"))
    first = rollout.AnnouncedRollout("lm").plan(desired, outdated, 0.0)
    second = rollout.AnnouncedRollout("lm").plan(desired, outdated, 5.0)
    assert first == second


def test_a_rollout_is_done_when_all_runners_serve_the_version():
    announced_rollout = rollout.AnnouncedRollout("lm")
    desired = builders.make_model(current="v2")
    assert not announced_rollout.is_done(
        desired, make_records(r0=("ready", "v1"))
    )
    assert announced_rollout.is_done(desired, make_records(r0=("ready", "v2")))


class LeaseMachine(stateful.RuleBasedStateMachine):
    """At most one of two candidates may send orders at any time.

    Grants arrive late, requests are lost and candidates restart.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.holder, self.token = "", 0
        self.restart_count = 0
        self.candidates = [
            lease_lib.ControllerLease(name, 0.0) for name in ("a", "b")
        ]
        self.requests = {}

    @stateful.rule(
        seconds=strategies.sampled_from([0.1, 0.7, 1.5, 2.6, 4.1, 5.0])
    )
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(number=strategies.integers(0, 1))
    def observe(self, number):
        self.candidates[number].observe(self.holder, self.token, self.now)

    @stateful.rule(number=strategies.integers(0, 1))
    def request(self, number):
        candidate = self.candidates[number]
        if number not in self.requests and candidate.may_request(self.now):
            self.requests[number] = (self.now, candidate.token)

    @stateful.rule(number=strategies.integers(0, 1))
    def grant(self, number):
        if number not in self.requests:
            return
        requested_at, expected = self.requests.pop(number)
        candidate = self.candidates[number]
        if self.token != expected:
            return
        self.token += 1
        self.holder = candidate.candidate_id
        candidate.record_grant(self.token, requested_at)

    @stateful.rule(number=strategies.integers(0, 1))
    def restart(self, number):
        self.restart_count += 1
        self.requests.pop(number, None)
        self.candidates[number] = lease_lib.ControllerLease(
            f"new{self.restart_count}", self.now
        )

    @stateful.invariant()
    def at_most_one_may_send_orders(self):
        holders = [c for c in self.candidates if c.may_send_orders(self.now)]
        assert len(holders) <= 1


LeaseMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestLease = LeaseMachine.TestCase
