"""The order in which waiting calls start.

Patterns: a burst that no longer meets its objective; an urgent class beside
one that is not; a long queue that is always late.
"""

import builders
from chivelb_core.forwarding import waiting
import pytest


def make_list(*calls):
    listed = waiting.WaitingList()
    for number, options in enumerate(calls):
        route = builders.make_route(
            target_latency_s=options.pop("target_latency_s", 1.0)
        )
        call = builders.make_call(route, request_id=str(number), **options)
        listed.join(call, None)
    return listed


def order(listed, now):
    return [ticket.call.request_id for ticket in listed.in_order(now)]


def test_calls_start_in_the_order_of_their_arrival():
    listed = make_list({"arrived_at": 0.0}, {"arrived_at": 0.1})
    assert order(listed, 0.2) == ["0", "1"]


def test_the_more_urgent_start_first():
    listed = make_list({"priority": 2}, {"priority": 0}, {"priority": 1})
    assert order(listed, 0.1) == ["1", "2", "0"]


def test_calls_that_can_be_in_time_go_before_those_that_are_late():
    listed = make_list(
        {"arrived_at": 0.0}, {"arrived_at": 2.0}, {"arrived_at": 2.1}
    )
    assert order(listed, 2.2) == ["1", "2", "0"]


def test_a_late_urgent_call_still_goes_before_a_less_urgent_one():
    listed = make_list(
        {"arrived_at": 0.0, "priority": 0},
        {"arrived_at": 5.0, "priority": 1},
    )
    assert order(listed, 5.1) == ["0", "1"]


def test_some_starts_go_to_late_calls_while_others_are_in_time():
    listed = make_list(
        {"arrived_at": 0.0}, *({"arrived_at": 5.0} for _ in range(20))
    )
    started = []
    while listed.tickets:
        ticket = next(iter(listed.in_order(5.1)))
        listed.start(ticket, 5.1)
        started.append(ticket.call.request_id)
    assert started.index("0") == waiting.LATE_TURN - 1


def test_a_stream_that_broke_off_goes_on_before_others_begin():
    listed = make_list({"arrived_at": 4.0}, {"arrived_at": 0.0, "attempts": 1})
    assert order(listed, 4.1) == ["1", "0"]


def test_the_expected_wait_follows_the_pace_of_starts():
    listed = make_list(*({"priority": 0} for _ in range(10)))
    for number in range(20):
        listed.note_start(8.0 + number / 10)
    call = builders.make_call(priority=0)
    assert listed.expected_wait_s(call, 10.0) == 1.0


def test_less_urgent_calls_are_not_in_the_way_of_urgent_ones():
    listed = make_list(*({"priority": 2} for _ in range(10)))
    for number in range(20):
        listed.note_start(8.0 + number / 10)
    assert listed.expected_wait_s(builders.make_call(priority=0), 10.0) == 0.0


def test_without_starts_nothing_is_expected():
    listed = make_list(*({"priority": 0} for _ in range(100)))
    assert listed.expected_wait_s(builders.make_call(), 10.0) == 0.0


@pytest.mark.parametrize(
    ("wait_s", "hopeless"), [(0.0, False), (1.5, False), (2.2, True)]
)
def test_a_call_is_hopeless_when_its_caller_would_have_left(wait_s, hopeless):
    route = builders.make_route(patience_s=2.0)
    call = builders.make_call(route, arrived_at=5.0, deadline=20.0)
    found = waiting.is_hopeless(call, since=5.0, wait_s=wait_s, now=5.1)
    assert found is hopeless


def test_a_caller_without_patience_of_its_own_stays_to_the_deadline():
    call = builders.make_call(arrived_at=5.0, deadline=20.0)
    assert not waiting.is_hopeless(call, since=5.0, wait_s=14.0, now=5.1)


def test_one_pass_gives_late_calls_their_turns_and_no_more():
    listed = make_list(
        *({"arrived_at": 0.0} for _ in range(10)),
        *({"arrived_at": 5.0} for _ in range(10)),
    )
    first = order(listed, 5.1)[:8]
    late = [name for name in first if int(name) < 10]
    assert late == ["0", "1"]
