import builders
from chivelb_core import rollout
from chivelb_core.rollout import lease as lease_lib
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies


def plan(swap, wanted, records, now=0.0):
    orders = swap.plan(wanted, records, now)
    for order in orders:
        swap.note_sent(order, 1, now)
    return [order.identity for order in orders]


def records(**states):
    return [
        builders.make_record(name, state=state, weight_version=version)
        for name, (state, version) in states.items()
    ]


def test_loads_at_once_and_ready_ones_are_bounded():
    swap = rollout.Rollout("lm")
    wanted = builders.make_model(current="v2", loads_at_once=2, min_ready=3)
    old = records(**{f"r{n}": ("ready", "v1") for n in range(6)})
    assert plan(swap, wanted, old) == ["r0", "r1"]
    assert plan(swap, wanted, old, now=0.5) == []
    few = records(**{f"r{n}": ("ready", "v1") for n in range(4)})
    assert plan(rollout.Rollout("lm"), wanted, few) == ["r0"]


def test_a_failed_load_stops_the_swap_until_the_document_changes():
    swap = rollout.Rollout("lm")
    wanted = builders.make_model(current="v2", min_ready=0)
    states = {f"r{n}": ("ready", "v1") for n in range(3)}
    assert plan(swap, wanted, records(**states)) == ["r0", "r1"]
    plan(swap, wanted, records(**{**states, "r0": ("loading", "v1")}), 1.0)
    assert plan(swap, wanted, records(**states), 9.0) == []
    assert swap.failed == "r0"
    again = builders.make_model(current="v1")
    assert plan(swap, again, records(**states), 10.0) == []
    assert swap.failed == ""


def test_a_new_controller_repeats_orders_under_the_same_id():
    wanted = builders.make_model(current="v2", min_ready=0)
    old = records(r0=("ready", "v1"))
    first = rollout.Rollout("lm").plan(wanted, old, 0.0)
    second = rollout.Rollout("lm").plan(wanted, old, 5.0)
    assert first == second


def test_a_swap_ends_when_all_serve_the_version():
    swap = rollout.Rollout("lm")
    wanted = builders.make_model(current="v2")
    assert not swap.is_done(wanted, records(r0=("ready", "v1")))
    assert swap.is_done(wanted, records(r0=("ready", "v2")))


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two candidates, a log, and delays: never two that may order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.holder, self.token = "", 0
        self.numbers = 0
        self.candidates = [
            lease_lib.ControllerLease(name, 0.0) for name in ("a", "b")
        ]
        self.asked = {}

    @stateful.rule(
        seconds=strategies.sampled_from([0.1, 0.7, 1.5, 2.6, 4.1, 5.0])
    )
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(number=strategies.integers(0, 1))
    def observe(self, number):
        self.candidates[number].observe(self.holder, self.token, self.now)

    @stateful.rule(number=strategies.integers(0, 1))
    def ask(self, number):
        candidate = self.candidates[number]
        if number not in self.asked and candidate.may_ask(self.now):
            self.asked[number] = (self.now, candidate.token)

    @stateful.rule(number=strategies.integers(0, 1))
    def decide(self, number):
        if number not in self.asked:
            return
        asked_at, expected = self.asked.pop(number)
        candidate = self.candidates[number]
        if self.token != expected:
            return
        self.token += 1
        self.holder = candidate.me
        candidate.note_granted(self.token, asked_at)

    @stateful.rule(number=strategies.integers(0, 1))
    def restart(self, number):
        self.numbers += 1
        self.asked.pop(number, None)
        self.candidates[number] = lease_lib.ControllerLease(
            f"new{self.numbers}", self.now
        )

    @stateful.invariant()
    def one_orders(self):
        may = [c for c in self.candidates if c.may_order(self.now)]
        assert len(may) <= 1


LeaseMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestLease = LeaseMachine.TestCase
