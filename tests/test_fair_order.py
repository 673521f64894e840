"""Who starts and who is refused while more is asked for than can be served.

Each test names its load. The waiting list is driven directly or before one
server in virtual time, without a network.
"""

import contextlib
import random

import builders
from chivelb_core.forwarding import lanes
from chivelb_core.forwarding import waiting
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import overloaded_queue
from overloaded_queue import Traffic
import pytest

CAPACITY = overloaded_queue.CAPACITY_TOKENS_PER_S
SMALL, LARGE = 800, 12_000
# Shorter waits are told as the least retry delay, whatever they are.
MIN_EXPECTED_S = 0.1


def join(waiting_list, number, *, tokens=SMALL, arrived_at=0.0, **options):
    call = builders.make_call(
        builders.make_route(target_latency_s=options.pop("objective_s", 10.0)),
        request_id=str(number),
        prompt=builders.make_prompt(tokens, max_output=0),
        arrived_at=arrived_at,
        deadline=options.pop("deadline", 60.0),
        **options,
    )
    return waiting_list.join(call, wait_started_at=arrived_at, item=None)


def start_all(waiting_list, now):
    """Starts all calls and returns them in order."""
    started = []
    while waiting_list.calls:
        with contextlib.closing(waiting_list.heads(now)) as heads:
            first = next(heads)
        waiting_list.start(first, now)
        waiting_list.check_invariants()
        started.append(first.call)
    return started


# Load: one workspace with most of the traffic. Guards against calls of others
# that start only after all that it sent before.
def test_a_workspace_with_most_of_the_traffic_holds_up_no_other():
    waiting_list = waiting.WaitingList()
    for number in range(90):
        join(waiting_list, number, workspace="hog")
    for number in range(90, 95):
        join(waiting_list, number, workspace="other")
    started = start_all(waiting_list, 1.0)
    assert {c.workspace for c in started[:2]} == {"hog", "other"}
    assert sum(c.workspace == "other" for c in started[:11]) == 5


# Load: a workspace of large calls beside one of small ones. Guards against
# shares by number, which give the large calls 15 times as much.
def test_workspaces_share_tokens_and_not_calls():
    waiting_list = waiting.WaitingList()
    for number in range(10):
        join(waiting_list, number, workspace="large", tokens=LARGE)
    for number in range(150):
        join(waiting_list, number, workspace="small")
    started = start_all(waiting_list, 1.0)[:80]
    tokens = {"large": 0, "small": 0}
    for call in started:
        tokens[call.workspace] += call.prompt.tokens
    assert 0.7 <= tokens["large"] / tokens["small"] <= 1.4


# Guards against a share that is used up by weightless accounting.
def test_a_workspace_gets_its_weight():
    waiting_list = waiting.WaitingList()
    for name, weight in (("a", 1.0), ("b", 3.0)):
        for number in range(80):
            call = builders.make_call(workspace=name, deadline=60.0)
            waiting_list.join(
                call, wait_started_at=0.0, item=None, weight=weight
            )
            del number
    started = start_all(waiting_list, 0.1)[:40]
    assert sum(c.workspace == "b" for c in started) in (29, 30, 31)


# Load: one workspace's calls start without waiting until the capacity is used
# up. Guards against a queue that forgets what they took.
def test_calls_that_did_not_wait_count_for_the_share():
    waiting_list = waiting.WaitingList()
    hog = builders.make_call(workspace="hog")
    for _ in range(10):
        waiting_list.record_start(0.0, hog)
    join(waiting_list, 0, workspace="hog")
    join(waiting_list, 1, workspace="other")
    assert start_all(waiting_list, 0.1)[0].workspace == "other"


# Guards against a call that is bound to a software version and holds up those
# that may go to other targets.
def test_the_first_call_of_each_software_version_is_tried():
    waiting_list = waiting.WaitingList()
    bound = join(waiting_list, 0, software_version="1", attempts=1)
    free = join(waiting_list, 1, attempts=1)
    assert list(waiting_list.heads(0.1)) == [bound, free]


# Load: a large call that has to wait, small ones behind it. Guards against
# calls of lower priority, or as large ones, that overtake it.
def test_only_small_calls_of_the_same_priority_may_overtake():
    waiting_list = waiting.WaitingList()
    large = join(waiting_list, 0, tokens=LARGE, priority=1)
    join(waiting_list, 1, tokens=LARGE, priority=1, workspace="a")
    small = join(waiting_list, 2, priority=1)
    other = join(waiting_list, 3, priority=1, workspace="b")
    join(waiting_list, 4, priority=2)
    assert set(waiting_list.overtakers(large)) == {small, other}
    waiting_list.reserve_target("t1", large)
    assert waiting_list.reserved_for_others(small.call) == {"t1"}
    assert waiting_list.reserved_for_others(large.call) == set()
    urgent = builders.make_call(priority=0)
    assert waiting_list.reserved_for_others(urgent) == set()
    waiting_list.check_invariants()
    waiting_list.leave(large)
    assert waiting_list.reserved_for_others(small.call) == set()


# Load: large calls that wait one after the other. Guards against targets that
# stay reserved until none is left.
def test_one_target_is_reserved_for_each_priority():
    waiting_list = waiting.WaitingList()
    for number in range(5):
        waiting_call = join(waiting_list, number, tokens=LARGE)
        waiting_list.reserve_target(f"t{number}", waiting_call)
        waiting_list.check_invariants()
    assert list(waiting_list.reservations) == ["t4"]


def test_a_call_starts_before_those_of_lower_priority_that_wait():
    waiting_list = waiting.WaitingList()
    join(waiting_list, 0, priority=1)
    for priority, expected in ((0, True), (1, False), (2, False)):
        call = builders.make_call(priority=priority)
        assert waiting_list.has_precedence(call) is expected


@settings(max_examples=60, derandomize=True, deadline=None)
@given(strategies.integers(0, 2**32))
def test_heads_follow_the_order_after_random_operations(seed):
    rng = random.Random(seed)
    waiting_list = waiting.WaitingList(is_fair=rng.random() < 0.8)
    now = 0.0
    for number in range(120):
        now += 0.05 * rng.random()
        waiting_calls = list(waiting_list.calls.values())
        if not waiting_calls or rng.random() < 0.5:
            join(
                waiting_list,
                number,
                tokens=rng.randrange(1, 5_000),
                arrived_at=now,
                priority=rng.randrange(3),
                workspace=rng.choice("abc"),
                attempts=rng.randrange(2),
                objective_s=rng.choice((0.2, 0.9)),
            )
        elif rng.random() < 0.4:
            waiting_list.leave(rng.choice(waiting_calls))
        elif rng.random() < 0.1:
            waiting_list.record_start(now, builders.make_call(workspace="a"))
        else:
            order = list(waiting_list.in_order(now))
            assert len(order) == len(waiting_list.calls)
            with contextlib.closing(waiting_list.heads(now)) as heads:
                first = next(heads)
            assert first is order[0]
            waiting_list.start(first, now)
        waiting_list.check_invariants()
        for waiting_call in waiting_list.calls.values():
            ahead = waiting_call.lane.cost_ahead(waiting_call)
            assert 0.0 <= ahead <= waiting_call.lane.cost


# Load: a queue of 100 and one of 5,000. Guards against a pass whose cost grows
# with the number of waiting calls.
def test_a_start_and_a_pass_cost_the_same_in_a_long_queue(monkeypatch):
    looked_at = []
    original = lanes.FlowQueue.head

    def head(queue):
        looked_at.append(queue)
        return original(queue)

    monkeypatch.setattr(lanes.FlowQueue, "head", head)
    counts = []
    for size in (100, 5_000):
        waiting_list = waiting.WaitingList()
        for number in range(size):
            join(waiting_list, number, workspace=f"w{number % 7}")
        looked_at.clear()
        for _ in range(20):
            with contextlib.closing(waiting_list.heads(0.1)) as heads:
                first = next(heads)
            waiting_list.start(first, 0.1)
            list(waiting_list.review(0.1))
        counts.append(len(looked_at))
    assert counts[1] <= counts[0]


def overload(factor):
    """Returns traffic of three priorities, each of several workspaces.

    The most urgent calls alone ask for the capacity if the factor is 4.
    """
    share = factor * CAPACITY / 4
    kinds = ((0, SMALL, 0.4, 1), (1, 2_400, 0.5, 1), (2, LARGE, 1.5, 2))
    return [
        Traffic(
            per_s=parts * share / tokens * use,
            tokens=tokens,
            priority=priority,
            workspace=f"{name}{priority}",
            objective_s=objective_s,
            timeout_s=12.0,
        )
        for priority, tokens, objective_s, parts in kinds
        for name, use in (("hog", 0.9), ("a", 0.06), ("b", 0.04))
    ]


def start_gaps_s(outcomes, key, end):
    """Returns the longest time without a start while calls came, by key."""
    starts, arrivals = {}, {}
    for outcome in outcomes:
        name = key(outcome.traffic)
        arrivals.setdefault(name, []).append(outcome.arrived_at)
        if not outcome.is_refused:
            starts.setdefault(name, []).append(outcome.ended_at)
    gaps = {}
    for name, times in starts.items():
        times = sorted([*times, end])
        gaps[name] = max(
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        )
    assert set(starts) == set(arrivals), "no call of some was started"
    return gaps


# Load: overload of 1.2, 2 and 4 by three priorities, each with one workspace
# that has most of the traffic. Guards against a priority that starts nothing
# while more urgent calls take all of the capacity.
@pytest.mark.parametrize("factor", [1.2, 2.0, 4.0])
def test_no_priority_starves(factor):
    queue = overloaded_queue.Queue()
    outcomes = queue.run(overload(factor), seconds=40.0)
    gaps = start_gaps_s(outcomes, lambda traffic: traffic.priority, 40.0)
    for priority, gap_s in gaps.items():
        # Until the call that is being served ends, and that of another
        # priority that is overdue, and until one comes.
        slack_s = 3 * LARGE / CAPACITY + 0.5
        assert gap_s <= waiting.max_start_gap_s(priority) + slack_s


# Load: as above. Guards against a workspace whose calls are all refused, or
# wait for long, because another one of its priority sends nine times as many.
@pytest.mark.parametrize("factor", [1.2, 2.0, 4.0])
def test_no_workspace_starves_beside_one_with_most_of_the_traffic(factor):
    queue = overloaded_queue.Queue()
    outcomes = queue.run(overload(factor), seconds=40.0)
    for priority in (0, 1, 2):
        shares = {}
        for name in ("hog", "a", "b"):
            of_name = [
                o
                for o in outcomes
                if o.traffic.workspace == f"{name}{priority}"
            ]
            assert of_name
            served = sum(not o.is_refused for o in of_name)
            shares[name] = served / len(of_name)
        assert min(shares["a"], shares["b"]) >= shares["hog"] - 0.05
    # Of each priority three workspaces wait. By start-time fair queueing, each
    # of the others may start two calls between two of a workspace. What is
    # served, and what another priority starts, takes its time.
    slack_s = 3 * LARGE / CAPACITY
    assert len(queue.gaps_s) == 9
    for (priority, workspace), gap_s in queue.gaps_s.items():
        bound_s = 2 * 3 * waiting.max_start_gap_s(priority) + slack_s
        assert gap_s <= bound_s, (priority, workspace)


# Load: the most urgent calls ask for 0.9 of the capacity, a burst of large ones
# for twice the capacity. Guards against urgent calls that queue behind it.
def test_urgent_calls_keep_their_objective_in_a_burst_of_large_ones():
    urgent = Traffic(0.5 * CAPACITY / SMALL, SMALL, objective_s=0.8)
    burst = Traffic(
        2 * CAPACITY / LARGE,
        LARGE,
        priority=2,
        workspace="bulk",
        objective_s=1.5,
        since=5.0,
        until=11.0,
    )
    outcomes = overloaded_queue.Queue().run([urgent, burst], seconds=15.0)
    of_urgent = [o for o in outcomes if o.traffic is urgent]
    in_time = sum(o.is_in_time for o in of_urgent)
    assert in_time >= 0.95 * len(of_urgent)


# Load: overload of one priority, 2 and 4 times. Guards against callers that
# wait for most of their time and are refused then.
@pytest.mark.parametrize("factor", [2.0, 4.0])
@pytest.mark.parametrize("timeout_s", [0.68, 5.0])
def test_what_cannot_be_served_is_refused_early(factor, timeout_s):
    traffic = Traffic(
        factor * CAPACITY / SMALL, SMALL, objective_s=0.5, timeout_s=timeout_s
    )
    outcomes = overloaded_queue.Queue().run([traffic], seconds=20.0)
    refused = sorted(
        o.waited_s for o in outcomes if o.is_refused and o.arrived_at > 2.0
    )
    assert len(refused) >= 0.5 * (1 - 1 / factor) * len(outcomes)
    assert refused[len(refused) // 2] <= traffic.objective_s / 8
    assert_expected_waits_are_accurate(outcomes)
    served = [o for o in outcomes if not o.is_refused]
    assert len(served) >= 0.95 * 20.0 * CAPACITY / SMALL


# Load: a quarter of the capacity is missing for 12 s. Guards against calls that
# are refused although there was time for them, and expected waits that are
# far from those of the calls that start.
def test_expected_waits_hold_while_a_quarter_of_the_capacity_is_missing():
    def capacity(now):
        return CAPACITY * (0.75 if 5.0 <= now < 17.0 else 1.0)

    traffic = [
        Traffic(0.45 * CAPACITY / SMALL, SMALL, workspace="a", timeout_s=3.0),
        Traffic(0.45 * CAPACITY / SMALL, SMALL, workspace="b", timeout_s=3.0),
    ]
    queue = overloaded_queue.Queue(capacity=capacity)
    outcomes = queue.run(traffic, seconds=25.0)
    # 0.15 of the capacity is missing for 12 s; what can wait, is served.
    missing = 0.15 * 12.0 * CAPACITY / SMALL
    refused = [o for o in outcomes if o.is_refused]
    assert len(refused) <= 1.1 * missing
    assert not [o for o in refused if o.arrived_at < 5.0]
    waits = sorted(o.waited_s for o in refused)
    assert waits[len(waits) // 2] <= traffic[0].objective_s
    assert_expected_waits_are_accurate(outcomes)


def assert_expected_waits_are_accurate(outcomes):
    """Asserts that calls that started waited about as long as expected."""
    ratios = sorted(
        o.waited_s / o.expected_s
        for o in outcomes
        if not o.is_refused and o.expected_s > MIN_EXPECTED_S
    )
    assert len(ratios) >= 100
    assert 0.8 <= ratios[len(ratios) // 2] <= 1.25
    assert ratios[len(ratios) // 10] >= 0.5
    assert ratios[len(ratios) * 9 // 10] <= 2.0


# Load: a burst at an instance that had little to do. Guards against calls that
# are refused because few had come, and so few had started, before.
def test_a_burst_after_a_quiet_time_is_not_refused_by_the_quiet_rate():
    quiet = Traffic(3.0, SMALL, until=10.0)
    burst = Traffic(200.0, SMALL, since=10.0, until=10.3, timeout_s=4.0)
    queue = overloaded_queue.Queue()
    outcomes = queue.run([quiet, burst, Traffic(1.0, 1)], seconds=14.0)
    # The server takes 37 of them a second: all start within 1.7 s.
    of_burst = [o for o in outcomes if o.traffic is burst]
    refused = sum(o.is_refused for o in of_burst)
    assert refused <= 0.2 * len(of_burst)
