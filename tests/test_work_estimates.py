"""Estimates of the cost of requests and of the speed of targets."""

import math
import random

import builders
from chivelb_core import routing
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import work_estimates
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.wire import messages
from chivelb_node.wire import packing
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

SIZES = (827, 2_368, 12_000)


def make_estimates(**options):
    estimates = work_estimates.WorkEstimates(**options)
    estimates.update_services({"lm": True, "plain": False})
    return estimates


def feed(
    estimates,
    *,
    count=200,
    rate=60_000.0,
    first_event_s=0.036,
    per_s=7.0,
    slow=None,
    factor=1.0,
    start=0.0,
    seed=1,
    outliers=0.0,
):
    """Feeds requests to 20 targets and returns the time of the last one."""
    rng = random.Random(seed)
    now = start
    for number in range(count):
        now += 1.0 / per_s
        tokens = rng.choice(SIZES)
        ahead = rng.choice((0, 0, 2_368, 6_000))
        identity = f"t{number % 20}"
        observed_s = first_event_s + (tokens + ahead) / rate
        if identity == slow:
            observed_s *= factor
        if rng.random() < outliers:
            observed_s *= 10.0
        estimates.record_first_event(
            "lm",
            identity,
            tokens=tokens,
            tokens_ahead=ahead,
            observed_s=observed_s,
            now=now,
        )
    return now


def test_estimates_start_at_the_figures_that_they_replace():
    for estimates in (make_estimates(), make_estimates(is_enabled=False)):
        assert estimates.first_event_s("lm") == 0.1
        assert estimates.prefill_tokens_per_s("lm", "t") == 100_000.0
        assert estimates.occupancy_s("lm") == 2.0
        assert estimates.occupancy_s("plain") == 0.05
        assert estimates.cross_zone_s("lm") == 0.02
        assert estimates.wait_s("lm", "t", 16_000, 0, 8) == 0.16
        assert estimates.wait_s("plain", "t", 0, 6, 6) == 0.05 / 6


# Guards against limits that change for deployments about which nothing was
# learned.
@pytest.mark.parametrize(
    "priority, tokens", [(0, 16_000), (1, 10_000), (2, 6_000), (7, 6_000)]
)
def test_pending_limits_start_at_the_fixed_ones(priority, tokens):
    call = builders.make_call(priority=priority)
    record = builders.make_record("t")
    limit = choice.pending_token_limit(call, record, make_estimates())
    assert limit == tokens


# Guards against runners that idle while calls wait at the instances.
def test_pending_limits_of_a_slower_engine_are_not_lower():
    estimates = make_estimates()
    feed(estimates, rate=20_000.0)
    record = builders.make_record("t", service="lm")
    for priority, tokens in ((0, 16_000), (1, 10_000), (2, 6_000)):
        route = builders.make_route(target_latency_s=0.4)
        call = builders.make_call(route, priority=priority)
        limit = choice.pending_token_limit(call, record, estimates)
        assert tokens * 0.99 <= limit <= tokens * 1.01


def test_pending_limits_grow_with_rate_and_objective():
    estimates = make_estimates()
    feed(estimates, rate=200_000.0)
    record = builders.make_record("t", service="lm")
    limits = []
    for objective_s in (0.4, 1.6):
        route = builders.make_route(target_latency_s=objective_s)
        call = builders.make_call(route, priority=0)
        limits.append(choice.pending_token_limit(call, record, estimates))
    assert 16_000 < limits[0] < limits[1]


@pytest.mark.parametrize("rate", [20_000.0, 61_800.0, 200_000.0])
def test_the_prefill_rate_of_a_service_is_learned(rate):
    estimates = make_estimates()
    feed(estimates, rate=rate)
    assert estimates.prefill_tokens_per_s("lm") == pytest.approx(rate, rel=0.1)
    assert estimates.first_event_s("lm") == pytest.approx(0.036, abs=0.015)


# Guards against a service whose new rate is not learned because the old one
# was observed for long, and against one that takes longer than seconds.
def test_a_rate_that_changes_is_learned_within_seconds():
    estimates = make_estimates()
    now = feed(estimates, rate=100_000.0)
    seconds = 4 * work_estimates.HALF_LIFE_S
    feed(estimates, rate=40_000.0, start=now, count=int(seconds * 7.0))
    assert estimates.prefill_tokens_per_s("lm") == pytest.approx(
        40_000, rel=0.25
    )


# Guards against single requests, delayed by a preemption or a slow link, that
# make a target look slow or the service's rate wrong.
def test_an_outlier_does_not_make_a_target_look_slow():
    estimates = make_estimates()
    now = feed(estimates, outliers=0.02)
    rate = estimates.prefill_tokens_per_s("lm")
    assert rate == pytest.approx(60_000, rel=0.2)
    estimates.record_first_event(
        "lm", "new", tokens=827, tokens_ahead=0, observed_s=60.0, now=now
    )
    assert estimates.slowness("new") <= 1.5


# Guards against a slow target that goes on getting requests.
def test_a_target_that_becomes_slow_is_known_after_a_few_requests():
    estimates = make_estimates()
    now = feed(estimates)
    for _ in range(5):
        now += 0.2
        estimates.record_first_event(
            "lm", "t3", tokens=2_368, tokens_ahead=0, observed_s=0.36, now=now
        )
    assert estimates.slowness("t3") >= 2.0
    usual = estimates.prefill_tokens_per_s("lm")
    assert estimates.prefill_tokens_per_s("lm", "t3") <= usual / 2.0


# Guards against a target that is avoided for good, or looks fast, because
# nothing was heard of it for long.
def test_a_target_without_observations_counts_as_usual_again():
    estimates = make_estimates()
    now = feed(estimates, slow="t3", factor=6.0)
    assert estimates.slowness("t3") > 1.5
    estimates.advance(now + 60.0)
    assert estimates.slowness("t3") == pytest.approx(1.0, abs=0.01)
    assert estimates.confidence("t3") < 0.01


# Guards against a lull after which an engine counts as the assumed one again.
def test_the_rate_of_a_service_is_kept_while_nothing_is_observed():
    estimates = make_estimates()
    now = feed(estimates, rate=30_000.0)
    estimates.advance(now + 600.0)
    feed(estimates, rate=30_000.0, start=now + 600.0, count=1)
    assert estimates.prefill_tokens_per_s("lm") == pytest.approx(
        30_000, rel=0.15
    )


def test_observations_of_other_instances_count_through_the_owner():
    one, owner, other = (make_estimates() for _ in range(3))
    now = feed(one, slow="t3", factor=6.0, count=400)
    total, weight = one.take_unsent("t3")
    assert weight > 0 and one.take_unsent("t3") == (0.0, 0)
    owner.apply_passed_on("t3", total, weight, now)
    other.apply_told("t3", *owner.known_ratio("t3", now), now)
    assert other.slowness("t3") == pytest.approx(owner.slowness("t3"))
    assert other.slowness("t3") > 2.0
    # An owner that has just taken over knows nothing.
    other.apply_told("t3", 0.0, 0.1, now)
    assert other.slowness("t3") > 2.0


# Guards against a target that counts as busy with prompts that it has
# prefilled while their first events are on the way, and against one that counts
# as idle while it is late.
def test_pending_tokens_are_worked_off_before_their_first_events():
    estimates = make_estimates()
    now = feed(estimates, rate=60_000.0)

    def outstanding(pending, at):
        return estimates.outstanding_tokens("lm", "t3", pending, now + at)

    rate = estimates.prefill_tokens_per_s("lm", "t3")
    assert outstanding(12_000, 0.0) == 12_000
    assert outstanding(12_000, 0.05) == pytest.approx(
        12_000 - 0.05 * rate, abs=2
    )
    assert outstanding(12_000, 5.0) == 6_000
    # A new request adds its tokens, first events end theirs.
    assert outstanding(14_000, 5.0) == pytest.approx(8_000, abs=2)
    assert outstanding(1_000, 5.0) == 1_000
    assert outstanding(0, 5.0) == 0


def test_pending_tokens_of_an_unknown_service_are_outstanding():
    estimates = make_estimates()
    assert estimates.outstanding_tokens("lm", "t", 12_000, 0.0) == 12_000
    assert estimates.outstanding_tokens("lm", "t", 12_000, 9.0) == 12_000


@pytest.mark.parametrize("total", [math.nan, math.inf, -math.inf])
def test_invalid_observations_of_others_are_ignored(total):
    estimates = make_estimates()
    estimates.apply_passed_on("t", total, 1, 1.0)
    estimates.apply_passed_on("t", 1.0, -1, 1.0)
    estimates.apply_told("t", total, 3.0, 1.0)
    estimates.apply_told("t", 1.0, total, 1.0)
    assert estimates.slowness("t") == 1.0


# Guards against estimates of zero, infinity or no number, whatever is fed.
@hypothesis.given(
    observations=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2_000_000),
            strategies.integers(0, 2_000_000),
            strategies.floats(),
            strategies.floats(0.0, 1e6),
        ),
        max_size=40,
    )
)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
def test_estimates_stay_within_bounds(observations):
    estimates = make_estimates()
    for tokens, ahead, observed_s, now in observations:
        estimates.record_first_event(
            "lm",
            "t",
            tokens=tokens,
            tokens_ahead=ahead,
            observed_s=observed_s,
            now=now,
        )
        estimates.record_end("lm", "t", duration_s=observed_s, now=now)
        estimates.record_end("plain", "p", duration_s=observed_s, now=now)
        for service, identity in (("lm", "t"), ("plain", "p"), ("no", "n")):
            values = (
                estimates.first_event_s(service),
                estimates.prefill_tokens_per_s(service, identity),
                estimates.occupancy_s(service),
                estimates.slowness(identity),
                estimates.wait_s(service, identity, 1_000, 9, 8),
            )
            assert all(0.0 < v < math.inf for v in values), values


def test_without_estimates_nothing_is_learned():
    estimates = make_estimates(is_enabled=False)
    feed(estimates, rate=20_000.0, slow="t3", factor=9.0)
    assert estimates.prefill_tokens_per_s("lm", "t3") == 100_000.0
    assert estimates.first_event_s("lm") == 0.1
    assert not estimates.is_learned("lm")


def test_services_that_change_their_kind_start_anew():
    estimates = make_estimates()
    feed(estimates, rate=20_000.0)
    estimates.update_services({"lm": True})
    assert estimates.prefill_tokens_per_s("lm") < 30_000.0
    estimates.update_services({"lm": False})
    assert estimates.prefill_tokens_per_s("lm") == 100_000.0
    assert estimates.occupancy_s("lm") == 0.05


def test_the_occupancy_of_a_plain_service_is_learned():
    estimates = make_estimates()
    for number in range(100):
        estimates.record_end(
            "plain", f"p{number % 3}", duration_s=0.0225, now=number / 10
        )
    assert estimates.occupancy_s("plain") == pytest.approx(0.0225, rel=0.1)


# Guards against a plain target that is slow and gets as many requests as the
# others because few of them are in progress there.
def test_a_slow_plain_target_is_chosen_last():
    estimates = make_estimates()
    for number in range(60):
        identity = f"p{number % 3}"
        estimates.record_end(
            "plain",
            identity,
            duration_s=0.3 if identity == "p0" else 0.03,
            now=number / 10,
        )
    records = [
        builders.make_record(f"p{n}", service="plain", slots=6)
        for n in range(3)
    ]
    load = routing.LoadView()
    chosen = set()
    for _ in range(3):
        placement = choice.choose_plain_target(
            records,
            load=load,
            zone=records[0].zone,
            now=6.0,
            rng=random.Random(1),
            estimates=estimates,
        )
        load.record_send(placement.record.identity, 6.0, 0, 0)
        chosen.add(placement.record.identity)
    assert chosen == {"p1", "p2"}


def make_queue(*, work_estimates=True, **decisions):
    context = builders.make_context(
        **{
            f"r{n}": {
                "service": "lm",
                "address": f"r{n}:1",
                "weight_version": "1",
                "slots": 8,
            }
            for n in range(4)
        }
    )
    context.settings.decisions = settings_lib.Decisions(
        work_estimates=work_estimates, **decisions
    )
    context.work_estimates.is_enabled = work_estimates
    policy = placement_lib.PlacementPolicy(context, parts_lib.PartDirectory())
    return admission_lib.AdmissionQueue(
        context, policy, is_refused=lambda call, now: False
    )


# Guards against failed attempts, which end early, that make a target look
# fast, and against prompts without a first event.
def test_an_attempt_that_failed_is_no_short_request():
    queue = make_queue()
    call = builders.make_call()
    now = context_lib.monotonic()
    reservation = queue._try_reserve(call, now)
    queue.work_observer.observe_failure(reservation)
    queue.release(reservation, call.service)
    work = queue.context.work_estimates.services["lm"]
    assert not work.prefill.weight and not work.occupancy.weight


def test_the_first_event_and_the_end_of_a_call_are_recorded_once():
    queue = make_queue()
    call = builders.make_call()
    reservation = queue._try_reserve(call, context_lib.monotonic())
    for _ in range(3):
        queue.record_first_event(reservation)
    reservation.is_complete = True
    queue.release(reservation, call.service)
    work = queue.context.work_estimates.services["lm"]
    assert work.prefill.weight == 1.0 and work.occupancy.weight == 1.0
    metrics = queue.context.metrics.render().decode()
    assert 'chivelb_first_event_ratio_count{service="lm"} 1.0' in metrics
    assert 'chivelb_slow_targets{service="lm"} 0.0' in metrics


# Guards against memory that grows with each target that ever existed.
def test_targets_that_are_gone_are_forgotten():
    queue = make_queue()
    estimates = queue.context.work_estimates
    feed(estimates)
    assert "t3" in estimates.targets
    reservation = queue._try_reserve(
        builders.make_call(), context_lib.monotonic()
    )
    queue.record_first_event(reservation)
    assert set(estimates.targets) <= set(queue.context.targets.entries)


# Guards against loads that are lost while instances of two releases run.
def test_entries_of_the_previous_release_have_no_observations():
    entry = {
        "identity": "t",
        "running": 1,
        "pending": 2,
        "tokens": 3,
        "suspects": 0,
    }
    decoder = msgspec.msgpack.Decoder(list[messages.SendEntry])
    entries = packing.unpack(packing.pack([entry]), decoder, max_bytes=1_000)
    assert entries == [messages.SendEntry("t", 1, 2, 3, 0)]
    assert entries[0].observed == 0.0


# Guards against a target that looks slow because it is reached by a detour.
def test_requests_through_another_instance_are_not_observed(monkeypatch):
    queue = make_queue()
    reservation = queue._try_reserve(
        builders.make_call(), context_lib.monotonic()
    )
    monkeypatch.setattr(
        queue.context, "is_unreachable", lambda record, now: True
    )
    queue.record_first_event(reservation)
    reservation.is_complete = True
    queue.release(reservation, "lm")
    work = queue.context.work_estimates.services["lm"]
    assert not work.prefill.weight and not work.occupancy.weight


# Guards against a target that holds a request until its deadline, and so has
# no first event by which it would be known to be slow.
def test_a_request_without_an_event_until_its_deadline_counts():
    queue = make_queue()
    estimates = queue.context.work_estimates
    now = context_lib.monotonic()
    feed(estimates, start=now - 40.0)
    reservation = queue._try_reserve(builders.make_call(), now)
    reservation.reserved_at = now - 12.0
    queue.work_observer.observe_failure(reservation)
    assert estimates.slowness(reservation.record.identity) > 1.2
