"""Swaps of weights on runners that report late and lose orders."""

import builders
from chivelb_core import rollout


def make_records(count, version="1"):
    return [
        builders.make_record(f"r{n}", weight_version=version)
        for n in range(count)
    ]


def report(version=1, busy=False, accepted=0):
    return rollout.RunnerReport(version, busy, accepted)


def make_held(swap, records, wanted=2):
    """Asks all runners and holds as many as may be; returns them."""
    for identity in swap.to_ask(swap.observe(records, wanted), 0.0):
        swap.note_asked(identity, 0.0)
        swap.note_report(identity, report(), wanted, 0.1)
    held = swap.to_hold(swap.observe(records, wanted), {}, 0.1)
    for identity in held:
        swap.note_held(identity, 0.1)
    return held


def order_all(swap, records, now, wanted=2, load=None):
    behind = swap.observe(records, wanted)
    orders = swap.to_order(behind, wanted, load or {}, now)
    for order in orders:
        swap.note_ordered(order, now)
        swap.note_answered(order.identity)
    return [(order.identity, order.expected) for order in orders]


def test_a_third_of_the_runners_is_held_at_a_time():
    records = make_records(9)
    swap = rollout.Swap("lm")
    assert make_held(swap, records) == ["r0", "r1", "r2"]
    assert swap.to_hold(swap.observe(records, 2), {}, 0.2) == []


def test_idle_runners_go_first():
    records = make_records(3)
    swap = rollout.Swap("lm")
    for identity in swap.to_ask(swap.observe(records, 2), 0.0):
        swap.note_report(identity, report(), 2, 0.1)
    load = {"r0": 4, "r1": 0, "r2": 2}
    assert swap.to_hold(swap.observe(records, 2), load, 0.1) == ["r1"]


def test_an_order_leaves_only_after_new_work_has_stopped():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    assert order_all(swap, records, 0.12) == []
    assert order_all(swap, records, 0.3) == [("r0", 0)]
    assert order_all(swap, records, 0.4) == []


def test_a_late_report_does_not_repeat_an_order():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    order_all(swap, records, 0.3)
    swap.note_report("r0", report(), 2, 0.5)
    assert order_all(swap, records, 0.6) == []
    swap.note_report("r0", report(busy=True, accepted=1), 2, 0.8)
    assert order_all(swap, records, 0.9) == []
    assert swap.note_report("r0", report(2, accepted=1), 2, 1.8)
    assert swap.observe(records, 2) == records[1:]


def test_a_lost_order_is_sent_again_with_the_same_expectation():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    order_all(swap, records, 0.3)
    swap.note_report("r0", report(), 2, 1.5)
    assert order_all(swap, records, 1.6) == [("r0", 0)]


def test_a_newer_version_waits_for_the_order_under_way():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    order_all(swap, records, 0.3)
    assert order_all(swap, records, 0.5, wanted=3) == []
    swap.note_report("r0", report(2, accepted=1), 3, 1.4)
    assert order_all(swap, records, 1.5, wanted=3) == [("r0", 1)]


def test_a_silent_runner_does_not_keep_others_waiting():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    order_all(swap, records, 0.3)
    behind = swap.observe(records, 2)
    assert swap.to_hold(behind, {}, 3.0) == []
    assert swap.to_hold(behind, {}, 6.0) == ["r1"]


def test_a_new_life_of_a_runner_is_asked_anew():
    records = make_records(1)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    order_all(swap, records, 0.3)
    reborn = [builders.make_record("r0", weight_version="1", incarnation=9)]
    assert swap.to_ask(swap.observe(reborn, 2), 0.4) == ["r0"]


def test_runs_in_progress_have_a_while_to_end():
    records = make_records(3)
    swap = rollout.Swap("lm")
    make_held(swap, records)
    busy = {"r0": 2}
    assert order_all(swap, records, 0.7, load=busy) == []
    behind = swap.observe(records, 2)
    (order,) = swap.to_order(behind, 2, busy, 1.0)
    assert order.cuts_across
    (order,) = swap.to_order(behind, 2, {}, 1.0)
    assert not order.cuts_across
