"""Rolling weight updates of runners that are polled and ordered directly.

The runners report late and lose orders. A runner on hold is to get no new
requests, so that it can load the new weights.
"""

import dataclasses

import builders
from chivelb_core import rollout


def make_records(count, version="1"):
    return [
        builders.make_record(f"r{n}", weight_version=version)
        for n in range(count)
    ]


def make_report(version=1, busy=False, accepted_orders=0, requests=0):
    return rollout.RunnerReport(version, busy, accepted_orders, requests)


def query_and_hold(polled_rollout, records, desired_version=2):
    """Queries all runners, puts as many as allowed on hold, returns those."""
    for identity in polled_rollout.runners_to_query(
        polled_rollout.observe(records, desired_version), 0.0
    ):
        polled_rollout.record_query(identity, 0.0)
        polled_rollout.record_report(
            identity, make_report(), desired_version, 0.1
        )
    held = polled_rollout.runners_to_hold(
        polled_rollout.observe(records, desired_version), 0.1
    )
    for identity in held:
        polled_rollout.record_hold(identity, 0.1)
    return held


def report_requests(polled_rollout, records, now, desired_version, load):
    """Queries the runners that await an order about their requests."""
    outdated = polled_rollout.observe(records, desired_version)
    for identity in polled_rollout.runners_to_query(outdated, now):
        state = polled_rollout.runners[identity]
        if state.report is None or state.pending_version:
            continue
        report = dataclasses.replace(
            state.report, requests=load.get(identity, 0)
        )
        polled_rollout.record_query(identity, now)
        polled_rollout.record_report(identity, report, desired_version, now)


def send_orders(polled_rollout, records, now, desired_version=2, load=None):
    report_requests(polled_rollout, records, now, desired_version, load or {})
    outdated = polled_rollout.observe(records, desired_version)
    orders = polled_rollout.orders_to_send(outdated, desired_version, now)
    for order in orders:
        polled_rollout.record_order_sent(order, now)
        polled_rollout.record_order_reply(order.identity)
    return [(order.identity, order.expected_accepted) for order in orders]


def test_at_most_a_third_of_the_runners_is_on_hold():
    records = make_records(9)
    polled_rollout = rollout.PolledRollout("lm")
    assert query_and_hold(polled_rollout, records) == ["r0", "r1", "r2"]
    assert (
        polled_rollout.runners_to_hold(polled_rollout.observe(records, 2), 0.2)
        == []
    )


def test_the_least_loaded_runner_is_put_on_hold_first():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    load = {"r0": 4, "r1": 0, "r2": 2}
    for identity in polled_rollout.runners_to_query(
        polled_rollout.observe(records, 2), 0.0
    ):
        report = make_report(requests=load[identity])
        polled_rollout.record_report(identity, report, 2, 0.1)
    assert polled_rollout.runners_to_hold(
        polled_rollout.observe(records, 2), 0.1
    ) == ["r1"]


def test_an_order_is_sent_only_after_the_hold_has_propagated():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    assert send_orders(polled_rollout, records, 0.12) == []
    assert send_orders(polled_rollout, records, 0.3) == [("r0", 0)]
    assert send_orders(polled_rollout, records, 0.4) == []


def test_a_late_report_does_not_repeat_an_order():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    polled_rollout.record_report("r0", make_report(), 2, 0.5)
    assert send_orders(polled_rollout, records, 0.6) == []
    polled_rollout.record_report(
        "r0", make_report(busy=True, accepted_orders=1), 2, 0.8
    )
    assert send_orders(polled_rollout, records, 0.9) == []
    assert polled_rollout.record_report(
        "r0", make_report(2, accepted_orders=1), 2, 1.8
    )
    assert polled_rollout.observe(records, 2) == records[1:]


def test_a_lost_order_is_sent_again_with_the_same_expected_count():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    polled_rollout.record_report("r0", make_report(), 2, 1.5)
    assert send_orders(polled_rollout, records, 1.6) == [("r0", 0)]


def test_a_newer_version_waits_for_the_pending_order():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    assert send_orders(polled_rollout, records, 0.5, desired_version=3) == []
    polled_rollout.record_report(
        "r0", make_report(2, accepted_orders=1), 3, 1.4
    )
    assert send_orders(polled_rollout, records, 1.5, desired_version=3) == [
        ("r0", 1)
    ]


def test_an_unresponsive_runner_does_not_block_others():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    outdated = polled_rollout.observe(records, 2)
    assert polled_rollout.runners_to_hold(outdated, 3.0) == []
    assert polled_rollout.runners_to_hold(outdated, 6.0) == ["r1"]


def test_a_new_incarnation_of_a_runner_is_queried_again():
    records = make_records(1)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    restarted = [builders.make_record("r0", weight_version="1", incarnation=9)]
    assert polled_rollout.runners_to_query(
        polled_rollout.observe(restarted, 2), 0.4
    ) == ["r0"]


def test_requests_in_progress_get_time_to_finish():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    in_progress = {"r0": 2}
    assert send_orders(polled_rollout, records, 0.7, load=in_progress) == []
    outdated = polled_rollout.observe(records, 2)
    (order,) = polled_rollout.orders_to_send(outdated, 2, 1.0)
    assert order.during_requests
    report_requests(polled_rollout, records, 1.0, 2, {})
    (order,) = polled_rollout.orders_to_send(outdated, 2, 1.0)
    assert not order.during_requests


def test_an_order_does_not_wait_for_requests_that_a_report_missed():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    report_requests(polled_rollout, records, 0.3, 2, {})
    outdated = polled_rollout.observe(records, 2)
    (order,) = polled_rollout.orders_to_send(outdated, 2, 0.3)
    assert order.during_requests


def test_a_report_from_before_the_hold_does_not_show_an_idle_runner():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    outdated = polled_rollout.observe(records, 2)
    assert polled_rollout.orders_to_send(outdated, 2, 0.3) == []
    assert polled_rollout.runners_to_query(outdated, 0.3) == ["r0"]


def test_runners_that_are_due_soon_change_first_and_together():
    records = make_records(9)
    polled_rollout = rollout.PolledRollout("lm")
    for identity in polled_rollout.runners_to_query(
        polled_rollout.observe(records, 2), 0.0
    ):
        polled_rollout.record_report(identity, make_report(), 2, 0.1)
    polled_rollout.durations_s = [3.0]
    due_soon = ["r3", "r5", "r6", "r8"]
    polled_rollout.due_at = {f"r{n}": 60.0 for n in range(9)}
    polled_rollout.due_at.update(dict.fromkeys(due_soon, 4.0))
    outdated = polled_rollout.observe(records, 2)
    assert polled_rollout.runners_to_hold(outdated, 0.1) == due_soon


def test_one_of_several_runners_goes_on_serving_however_late_it_is():
    records = make_records(4)
    polled_rollout = rollout.PolledRollout("lm")
    for identity in polled_rollout.runners_to_query(
        polled_rollout.observe(records, 2), 0.0
    ):
        polled_rollout.record_report(identity, make_report(), 2, 0.1)
    polled_rollout.due_at = {f"r{n}": 0.0 for n in range(4)}
    outdated = polled_rollout.observe(records, 2)
    assert len(polled_rollout.runners_to_hold(outdated, 0.1)) == 3


def test_requests_get_no_time_to_finish_if_the_runner_is_due():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    polled_rollout.durations_s = [2.0]
    polled_rollout.due_at = {"r0": 2.0}
    assert send_orders(polled_rollout, records, 0.3, load={"r0": 2}) == [
        ("r0", 0)
    ]


def test_a_runner_that_reports_a_long_load_still_counts():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    loading = make_report(busy=True, accepted_orders=1)
    polled_rollout.record_report("r0", loading, 2, 9.0)
    outdated = polled_rollout.observe(records, 2)
    assert polled_rollout.runners_to_hold(outdated, 9.1) == []


def test_an_announcement_of_the_version_ends_the_hold():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    changed = builders.make_record("r0", weight_version="2", sequence=2)
    announced = [changed, *records[1:]]
    assert polled_rollout.record_announcements(records, 2, 1.0) == []
    assert polled_rollout.record_announcements(announced, 2, 1.8) == [changed]
    assert polled_rollout.record_announcements(announced, 2, 1.9) == []
    assert polled_rollout.held_runners() == []
    assert polled_rollout.observe(announced, 2) == records[1:]


def test_a_report_that_is_older_than_the_announcement_changes_nothing():
    records = make_records(3)
    polled_rollout = rollout.PolledRollout("lm")
    query_and_hold(polled_rollout, records)
    send_orders(polled_rollout, records, 0.3)
    announced = [
        builders.make_record("r0", weight_version="2", sequence=2),
        *records[1:],
    ]
    polled_rollout.record_announcements(announced, 2, 1.8)
    loading = make_report(busy=True, accepted_orders=1)
    assert not polled_rollout.record_report("r0", loading, 2, 1.9)
    assert polled_rollout.held_runners() == []
    assert polled_rollout.observe(announced, 2) == records[1:]
