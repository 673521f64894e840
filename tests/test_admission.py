import random

from chivelb_core import admission
from chivelb_core import codes
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

WEIGHTS = {"interactive": 8.0, "batch": 1.0}


def make_queue(max_queue=1_000):
    return admission.FairQueue(WEIGHTS, max_queue)


def push(queue, workspace, cost=1.0, class_name="interactive", weight=1.0):
    queued = admission.QueuedRequest(
        workspace, class_name, cost, deadline=100.0
    )
    code = queue.push(queued, weight=weight, max_queued=500)
    return queued, code


def serve(queue, count):
    served = {}
    for _ in range(count):
        queued = queue.pop(lambda _: True)
        name = (queued.class_name, queued.workspace)
        served[name] = served.get(name, 0.0) + queued.cost
        queue.check_invariants()
    return served


def test_workspaces_share_by_weight_in_tokens():
    queue = make_queue()
    for _ in range(300):
        push(queue, "small", cost=10.0)
        push(queue, "large", cost=100.0)
        push(queue, "heavy", cost=10.0, weight=3.0)
    served = serve(queue, 330)
    assert (
        0.7
        < served["interactive", "small"] / served["interactive", "large"]
        < 1.4
    )
    assert (
        2.0
        < served["interactive", "heavy"] / served["interactive", "small"]
        < 4.0
    )


def test_classes_share_by_weight_and_batch_is_not_starved():
    queue = make_queue()
    for _ in range(400):
        push(queue, "w")
        push(queue, "w", class_name="batch")
    served = serve(queue, 400)
    ratio = served["interactive", "w"] / served["batch", "w"]
    assert 6.0 < ratio < 10.0


def test_an_idle_workspace_accumulates_no_share():
    queue = make_queue()
    for _ in range(200):
        push(queue, "busy")
    serve(queue, 100)
    for _ in range(100):
        push(queue, "late")
    served = serve(queue, 60)
    assert (
        abs(served["interactive", "busy"] - served["interactive", "late"]) <= 2
    )


def test_a_full_queue_rejects_requests():
    queue = make_queue(max_queue=2)
    assert push(queue, "a")[1] is None
    assert push(queue, "b")[1] is None
    assert push(queue, "c")[1] is codes.OVERLOADED
    queue.check_invariants()


def test_expired_and_removed_requests_are_never_started():
    queue = make_queue()
    first, _ = push(queue, "a")
    second, _ = push(queue, "a")
    third, _ = push(queue, "a")
    queue.remove(first)
    second.deadline = 1.0
    assert queue.expire(2.0) == [second]
    assert queue.pop(lambda _: True) is third
    assert queue.pop(lambda _: True) is None
    queue.check_invariants()


def test_a_request_that_does_not_fit_does_not_block_others():
    queue = make_queue()
    large, _ = push(queue, "large", cost=100.0)
    small, _ = push(queue, "small", cost=1.0)
    assert queue.pop(lambda queued: queued.cost < 10.0) is small
    assert queue.pop(lambda queued: queued.cost < 10.0) is None
    assert queue.pop(lambda _: True) is large


@settings(max_examples=60, derandomize=True, deadline=None)
@given(strategies.integers(0, 2**32))
def test_counts_stay_consistent_under_random_operations(seed):
    rng = random.Random(seed)
    queue = make_queue(max_queue=30)
    queued_requests = []
    for step in range(150):
        action = rng.randrange(5)
        if action <= 1:
            name = rng.choice("abc")
            kind = rng.choice(("interactive", "batch"))
            queued, code = push(queue, name, rng.randrange(1, 50), kind)
            queued.deadline = step + rng.randrange(40)
            if code is None:
                queued_requests.append(queued)
        elif action == 2 and queued_requests:
            queue.remove(rng.choice(queued_requests))
        elif action == 3:
            for expired in queue.expire(float(step)):
                assert expired.deadline <= step
        else:
            queue.pop(lambda _: rng.random() < 0.7)
        queue.remove_idle_flows()
        queue.check_invariants()


def test_the_expected_wait_depends_on_the_share_of_the_workspace():
    queue = make_queue()
    for _ in range(10):
        push(queue, "busy", cost=100.0)
    push(queue, "small", cost=100.0)
    # Two workspaces of equal weight share a rate of 200 tokens per second.
    assert queue.expected_wait_s("busy", "interactive", 200.0) == 10.0
    assert queue.expected_wait_s("small", "interactive", 200.0) == 1.0
    assert queue.expected_wait_s("idle", "interactive", 200.0) == 0.0


def test_the_start_rate_is_measured_only_while_calls_wait():
    from chivelb_node.edge import dispatch

    rate = dispatch.DispatchRate(0.0)
    rate.cost = 500.0
    rate.advance(1.0, busy=False)
    assert rate.cost_per_s == 0.0
    rate.cost = 400.0
    rate.advance(2.0, busy=True)
    assert rate.cost_per_s == 400.0
    rate.advance(2.5, busy=True)
    assert rate.cost_per_s == 400.0


def test_a_target_is_reserved_for_one_request():
    reservations = admission.Reservations()
    queue = make_queue()
    first, _ = push(queue, "a", cost=100.0)
    second, _ = push(queue, "b", cost=100.0)
    assert reservations.reserve("t1", first)
    assert not reservations.reserve("t2", first)
    assert not reservations.reserve("t1", second)
    assert reservations.is_available("t1", first)
    assert not reservations.is_available("t1", second)
    queue.remove(first)
    assert reservations.is_available("t1", second)
    reservations.remove_stale()
    assert reservations.reserve("t1", second)


def test_large_requests_do_not_starve_behind_small_ones():
    from chivelb_cli.bench import admission as model

    plain = model.simulate_strategy("plain", load=0.95, seed=1)
    reserved = model.simulate_strategy("reservation", load=0.95, seed=1)
    assert reserved.large_p95_s < plain.large_p95_s / 2
    assert reserved.used > plain.used - 0.05
