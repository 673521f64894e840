"""Cold targets: who may send to them and when, and how that is told.

Load pattern: every instance has more calls than a cold target can handle, while
instances start, stop, are added and are cut off from each other.
"""

import math
import random

import builders
from chivelb_core import document
from chivelb_core.forwarding import cold_targets
import cold_fleet
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

# Running instances that some others don't know. Each may add one request.
MAX_UNKNOWN = 3


class ColdTargetsMachine(stateful.RuleBasedStateMachine):
    """Instances come, go and are cut off while targets turn cold.

    No cold target gets more requests in any second than it can bear, from all
    instances together.
    """

    is_limited = True

    @stateful.initialize(
        rate_per_s=strategies.sampled_from([0.4, 1.0, 2.5, 4.0, 8.2]),
        sizes=strategies.sampled_from([(12, 9, 4), (4, 4, 4), (20, 2, 0)]),
        seed=strategies.integers(0, 1_000),
    )
    def start(self, rate_per_s, sizes, seed):
        self.fleet = cold_fleet.Fleet(
            rate_per_s=rate_per_s,
            zone_sizes=dict(zip(("z1", "z2", "z3"), sizes, strict=True)),
            # Zone z3 may have no instance.
            target_zones={"t1": "z1", "t3": "z3"},
            is_limited=self.is_limited,
            seed=seed,
        )

        self.min_instances = sum(sizes) // 2
        for identity in self.fleet.target_zones:
            self.fleet.turn_cold(identity, 20.0, is_restarted=True)

    def _names(self, position, count):
        names = sorted(self.fleet.instances)
        spare = max(0, len(names) - self.min_instances)
        start = position % len(names)
        return [*names[start:], *names[:start]][: min(count, spare)]

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.4, 1.2, 3.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(
        identity=strategies.sampled_from(["t1", "t3"]),
        cold_s=strategies.sampled_from([0.5, 3.0, 20.0]),
        is_restarted=strategies.booleans(),
    )
    def turn_cold(self, identity, cold_s, is_restarted):
        self.fleet.turn_cold(identity, cold_s, is_restarted=is_restarted)
        self.fleet.run(0.4)

    @stateful.rule(
        count=strategies.integers(2, 6), seed=strategies.integers(0, 1_000)
    )
    def cut(self, count, seed):
        rng = random.Random(seed)
        for instance in self.fleet.instances.values():
            instance.group = rng.randrange(count)
        self.fleet.run(1.2)

    @stateful.rule()
    def cut_all(self):
        for number, instance in enumerate(self.fleet.instances.values()):
            instance.group = number
        self.fleet.run(1.2)

    @stateful.rule()
    def heal(self):
        for instance in self.fleet.instances.values():
            instance.group = 0
        self.fleet.run(1.2)

    @stateful.rule(
        position=strategies.integers(0, 50), count=strategies.integers(1, 20)
    )
    def restart(self, position, count):
        for name in self._names(position, count):
            self.fleet.restart(name)
        self.fleet.run(0.3)

    @stateful.rule(
        position=strategies.integers(0, 50), count=strategies.integers(1, 6)
    )
    def crash(self, position, count):
        for name in self._names(position, count):
            self.fleet.crash(name)
            self.fleet.run(0.1)

    @stateful.rule(
        position=strategies.integers(0, 50), count=strategies.integers(1, 12)
    )
    def leave(self, position, count):
        for name in self._names(position, count):
            self.fleet.leave(name)
            self.fleet.run(0.1)

    @stateful.rule(
        zone=strategies.sampled_from(["z1", "z2", "z3"]),
        count=strategies.integers(1, 10),
    )
    def join(self, zone, count):
        for _ in range(count):
            self.fleet.run(0.1)
            if self.fleet.count_unknown() < MAX_UNKNOWN:
                self.fleet.join(zone, 0)

    @stateful.invariant()
    def cold_targets_are_not_overloaded(self):
        if hasattr(self, "fleet"):
            highest = self.fleet.highest_rate()
            assert highest <= cold_fleet.bound(self.fleet.rate_per_s)
            self.fleet.forget_old()


MACHINE_SETTINGS = settings(
    max_examples=80,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
ColdTargetsMachine.TestCase.settings = MACHINE_SETTINGS
TestColdTargets = ColdTargetsMachine.TestCase


# Guards against a machine that can't fail: without the mechanism, every
# instance sends to a cold target.
def test_the_bound_is_broken_without_the_mechanism():
    class Unlimited(ColdTargetsMachine):
        is_limited = False

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            Unlimited,
            settings=settings(MACHINE_SETTINGS, max_examples=10, database=None),
        )


def make_fleet(**options):
    values = {
        "rate_per_s": 8.2,
        "zone_sizes": {"z1": 20, "z2": 19, "z3": 19},
        "target_zones": {"t": "z1"},
    }
    return cold_fleet.Fleet(**{**values, **options})


# Zones that are cut off from each other would each rank their own instances if
# only those that seem to be alive were counted.
@pytest.mark.parametrize("counts_only_live", [False, True])
def test_instances_that_seem_to_be_down_are_counted(counts_only_live):
    fleet = make_fleet(counts_only_live=counts_only_live)
    for instance in fleet.instances.values():
        instance.group = int(instance.zone[1])
    fleet.turn_cold("t", 30.0, is_restarted=True)
    fleet.run(8.0)
    is_kept = fleet.highest_rate() <= cold_fleet.bound(8.2)
    assert is_kept is not counts_only_live


# Requests wait for a new connection for up to 0.3 s.
def test_requests_that_are_delayed_keep_the_bound():
    fleet = make_fleet(max_delay_s=0.3)
    fleet.turn_cold("t", 30.0, is_restarted=False)
    fleet.run(25.0)
    assert fleet.highest_rate() <= cold_fleet.bound(8.2)


# Guards against a bound that is kept because next to nothing is sent.
@pytest.mark.parametrize("rate_per_s", [0.4, 1.0, 2.5, 8.2])
def test_a_cold_target_gets_most_of_what_it_can_handle(rate_per_s):
    fleet = make_fleet(rate_per_s=rate_per_s)
    fleet.turn_cold("t", 30.0, is_restarted=True)
    fleet.run(25.0)
    assert len(fleet.arrivals["t"]) >= 0.7 * 25.0 * min(
        rate_per_s, cold_targets.sender_count(rate_per_s)
    )


def test_an_instance_that_starts_waits_one_interval():
    fleet = make_fleet(zone_sizes={"z1": 2})
    fleet.turn_cold("t", 30.0, is_restarted=False)
    fleet.restart("i1")
    fleet.exchange()
    restarted = fleet.instances["i1"]
    start = fleet.now
    assert not restarted.table.is_eligible("t", start + 1.0)
    assert restarted.table.is_eligible("t", start + 1.2)


# An instance that takes the place of another may send only once nothing that
# the other has sent falls into the same second.
def test_an_instance_that_takes_over_waits_one_interval():
    fleet = make_fleet(rate_per_s=1.0, zone_sizes={"z1": 6})
    fleet.turn_cold("t", 30.0, is_restarted=False)
    fleet.run(3.0)
    (sender,) = (i for i in fleet.instances.values() if i.cold.sent_at)
    fleet.leave(sender.name)
    left_at = fleet.now
    fleet.run(4.0)
    later = [at for at in fleet.arrivals["t"] if at >= left_at]
    assert later[0] >= left_at + cold_targets.MIN_INTERVAL_S - 1e-9


def test_ranks_are_computed_once_for_each_list(monkeypatch):
    calls = []
    rank = cold_targets.assignment.load_owners
    monkeypatch.setattr(
        cold_targets.assignment,
        "load_owners",
        lambda *args: calls.append(args) or rank(*args),
    )
    fleet = make_fleet(zone_sizes={"z1": 2})
    fleet.turn_cold("t", 30.0, is_restarted=False)
    fleet.run(5.0)
    assert len(calls) == 2


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        (["0"], 0.0),
        ([" 2500.5 "], 2.5005),
        (["3600000"], 3_600.0),
    ],
)
def test_cold_times_are_parsed(values, expected):
    assert cold_targets.parse_cold_time(values) == expected


@pytest.mark.parametrize(
    "values", [["-1"], ["nan"], ["1e3"], [""], ["1", "1"], ["3600001"], ["²"]]
)
def test_malformed_cold_times_are_refused(values):
    with pytest.raises(cold_targets.ColdTimeError):
        cold_targets.parse_cold_time(values)


def make_cold_context(**records):
    engine = builders.make_engine()
    service = document.Service(
        kind="model", engine=engine, cold_start_s=3.0, cold_requests_per_s=8.2
    )
    return builders.make_context(
        builders.make_routed_document(
            services={"lm": service, "web": document.Service(kind="plain")}
        ),
        **records,
    )


# Targets that say nothing are cold for as long as their service declares, but
# only if their start was not known.
def test_a_new_target_that_says_nothing_is_presumed_to_be_cold():
    table = make_cold_context().targets
    table.announce(builders.make_record("a", service="lm", lease_s=0.0), 0.0)
    table.announce(builders.make_record("b", service="web", lease_s=0.0), 0.0)
    assert table.cold_s("a", 1.0) == 2.0
    assert table.cold_s("b", 1.0) == 0.0
    later = builders.make_record("a", service="lm", sequence=2, lease_s=0.0)
    table.announce(later, 5.0)
    assert table.cold_s("a", 5.0) == 0.0
    again = builders.make_record("a", service="lm", incarnation=2, lease_s=0.0)
    table.announce(again, 6.0)
    assert table.cold_s("a", 6.0) == 3.0


def test_a_reported_cold_time_counts_instead_of_the_declared_one():
    table = make_cold_context().targets
    options = {"service": "lm", "lease_s": 0.0, "tells_cold": True}
    table.announce(builders.make_record("a", **options), 0.0)
    assert table.cold_s("a", 0.0) == 0.0
    table.announce(
        builders.make_record("a", sequence=2, cold_s=9.0, **options), 0.0
    )
    assert table.cold_s("a", 1.0) == 8.0
    table.announce(builders.make_record("a", sequence=3, **options), 2.0)
    assert table.cold_s("a", 2.0) == 0.0


def test_an_overtaken_response_does_not_end_a_cold_time():
    table = make_cold_context(a={"service": "lm"}).targets
    table.set_cold("a", 1, 5.0, 10.0)
    assert not table.set_cold("a", 1, 0.0, 10.1, sent_at=9.0)
    assert table.cold_s("a", 10.1) > 4.0
    assert table.set_cold("a", 1, 0.0, 10.2, sent_at=10.1)
    assert table.cold_s("a", 10.2) == 0.0
    assert not table.set_cold("a", 2, 5.0, 10.3)


def test_services_without_a_cold_rate_are_not_limited():
    context = builders.make_context(a={"service": "lm"})
    context.targets.set_cold("a", 1, 5.0, 10.0)
    for _ in range(5):
        assert context.targets.is_eligible("a", 10.0)
        context.record_sent("a", 10.0)


def test_turns_are_used_by_requests_that_are_placed():
    context = make_cold_context(a={"service": "lm"})
    context.targets.set_cold("a", 1, 5.0, 10.0)
    assert context.targets.is_eligible("a", 10.0)
    context.record_sent("a", 10.0)
    assert not context.targets.is_eligible("a", 11.0)
    assert context.targets.is_eligible("a", 11.0, ignores_cold=True)
    assert context.targets.is_eligible("a", 11.1 + 1e-6)
    assert context.targets.cold_opens_at("lm", 10.5) == pytest.approx(11.1)
    assert context.targets.cold_opens_at("web", 10.5) == math.inf
