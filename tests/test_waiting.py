"""Start order and expected time-outs of waiting calls.

Load patterns covered: a burst that misses its latency objective, calls of
high and low priority together, and a long queue that is always late. Each test
runs with and without fair shares of workspaces: these are one workspace's.
"""

import contextlib
import functools

import builders
from chivelb_core.forwarding import waiting
import pytest


@pytest.fixture(autouse=True, params=[True, False], ids=["fair", "arrival"])
def _order(request, monkeypatch):
    waiting_list = functools.partial(waiting.WaitingList, is_fair=request.param)
    monkeypatch.setattr(waiting, "WaitingList", waiting_list)


def make_waiting_list(*calls):
    waiting_list = waiting.WaitingList()
    for number, options in enumerate(calls):
        route = builders.make_route(patience_s=options.pop("patience_s", 0.0))
        options.setdefault("deadline", 30.0)
        call = builders.make_call(route, request_id=str(number), **options)
        waiting_list.join(call, wait_started_at=call.arrived_at, item=None)
    return waiting_list


def start_order(waiting_list, now):
    order = list(waiting_list.in_order(now))
    with contextlib.closing(waiting_list.heads(now)) as heads:
        assert next(heads) is order[0]
    return [waiting_call.call.request_id for waiting_call in order]


def test_calls_start_in_arrival_order():
    waiting_list = make_waiting_list({"arrived_at": 0.0}, {"arrived_at": 0.1})
    assert start_order(waiting_list, 0.2) == ["0", "1"]


def test_higher_priority_starts_first():
    waiting_list = make_waiting_list(
        {"priority": 2}, {"priority": 0}, {"priority": 1}
    )
    assert start_order(waiting_list, 0.1) == ["1", "2", "0"]


def test_calls_that_can_be_in_time_go_before_those_that_are_late():
    waiting_list = make_waiting_list(
        {"arrived_at": 0.0}, {"arrived_at": 2.0}, {"arrived_at": 2.1}
    )
    assert start_order(waiting_list, 2.2) == ["1", "2", "0"]


def test_late_call_of_higher_priority_starts_before_lower_priority():
    waiting_list = make_waiting_list(
        {"arrived_at": 0.0, "priority": 0},
        {"arrived_at": 5.0, "priority": 1},
    )
    assert start_order(waiting_list, 5.1) == ["0", "1"]


def test_periodic_starts_go_to_late_calls():
    waiting_list = make_waiting_list(
        {"arrived_at": 0.0}, *({"arrived_at": 5.0} for _ in range(20))
    )
    started = []
    while waiting_list.calls:
        waiting_call = next(iter(waiting_list.in_order(5.1)))
        waiting_list.start(waiting_call, 5.1)
        started.append(waiting_call.call.request_id)
    assert started.index("0") == waiting.STARTS_PER_LATE_START - 1


def test_interrupted_stream_resumes_before_new_calls_start():
    waiting_list = make_waiting_list(
        {"arrived_at": 4.0}, {"arrived_at": 0.0, "attempts": 1}
    )
    assert start_order(waiting_list, 4.1) == ["1", "0"]


def note_steady_starts(waiting_list, end, per_second):
    for number in range(int(2 * per_second)):
        waiting_list.record_start(end - 2.0 + number / per_second)


def expected_timeouts(waiting_list, now):
    if waiting_list.is_fair:
        timeouts = waiting_list.review(now, limit=1_000)
    else:
        timeouts = waiting_list.expected_timeouts(now)
    return [waiting_call.call.request_id for waiting_call, _ in timeouts]


def test_calls_that_cannot_start_in_time_are_expected_to_time_out():
    waiting_list = make_waiting_list(
        *({"arrived_at": 9.9, "patience_s": 2.0} for _ in range(30))
    )
    note_steady_starts(waiting_list, 10.0, per_second=10)
    # At ten starts per second, only starts within the next 1.8 s are in time.
    assert expected_timeouts(waiting_list, 10.0) == [
        str(n) for n in range(19, 30)
    ]


def test_high_priority_call_does_not_wait_for_lower_priorities():
    waiting_list = make_waiting_list(
        *({"priority": 2, "arrived_at": 9.9} for _ in range(50)),
        {"priority": 0, "arrived_at": 10.0, "patience_s": 2.0},
    )
    note_steady_starts(waiting_list, 10.0, per_second=10)
    assert "50" not in expected_timeouts(waiting_list, 10.0)


def test_without_starts_no_call_is_reported_before_its_timeout():
    waiting_list = make_waiting_list(
        *({"arrived_at": 9.9, "patience_s": 2.0} for _ in range(100))
    )
    assert expected_timeouts(waiting_list, 10.0) == []
    assert len(expected_timeouts(waiting_list, 11.85)) == 100


def test_call_without_a_maximum_wait_waits_until_its_deadline():
    waiting_list = make_waiting_list({"arrived_at": 5.0, "deadline": 20.0})
    assert expected_timeouts(waiting_list, 19.0) == []
    assert expected_timeouts(waiting_list, 19.95) == ["0"]
