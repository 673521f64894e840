"""The budget in bytes refuses, and reclaims, by what is buffered alone."""

from chivelb_core import byte_budget
from hypothesis import given
from hypothesis import strategies

LIMIT = 1_000_000
LARGE = byte_budget.SMALL_BYTES + 1
STALLED_S = 1.0


def make_budget():
    return byte_budget.ByteBudget(LIMIT, stalled_s=STALLED_S)


def receive(budget, size, now, revoked):
    """Returns the charge of a body in reception that has ``size`` bytes."""
    charge = budget.open()
    charge.begin_receiving(lambda: revoked.append(charge), now)
    assert charge.try_add(size, now)
    return charge


# Guards against a limit that refuses a large request beside no other load.
def test_a_request_that_is_alone_has_room_for_any_size():
    charge = make_budget().open()
    assert charge.try_add(3 * LIMIT, 0.0)


def test_large_requests_leave_a_share_to_small_ones():
    budget = make_budget()
    first, second = budget.open(), budget.open()
    assert first.try_add(int(LIMIT * byte_budget.LARGE_SHARE), 0.0)
    assert not second.try_add(LARGE, 0.0)
    assert second.try_add(byte_budget.SMALL_BYTES, 0.0)


def test_small_requests_are_refused_beyond_the_limit():
    budget = make_budget()
    budget.add(LIMIT)
    assert not budget.open().try_add(1, 0.0)
    budget.release(1)
    assert budget.open().try_add(1, 0.0)


def test_a_closed_charge_gives_back_all():
    budget = make_budget()
    with budget.open() as charge:
        assert charge.try_add(LARGE, 0.0)
        charge.add(7)
        charge.release(2)
        assert budget.used_bytes == LARGE + 5
    assert budget.used_bytes == 0
    charge.close()
    assert budget.used_bytes == 0


# Guards against bodies that stop short and keep all others out.
def test_the_body_that_stalled_longest_gives_way():
    budget, revoked = make_budget(), []
    old = receive(budget, 350_000, 0.0, revoked)
    new = receive(budget, 350_000, 0.5, revoked)
    charge = budget.open()
    assert not charge.try_add(LARGE, 0.9)
    assert not revoked
    assert charge.try_add(LARGE, 1.1)
    assert revoked == [old]
    assert old.is_revoked
    assert not old.try_add(1, 1.1)
    assert not new.is_revoked


# Guards against clients that keep their share by single bytes.
def test_single_bytes_are_no_progress():
    budget, revoked = make_budget(), []
    slow = receive(budget, 350_000, 0.0, revoked)
    fast = receive(budget, 350_000, 0.0, revoked)
    assert slow.try_add(1, 0.9)
    assert fast.try_add(byte_budget.PROGRESS_BYTES, 0.9)
    assert budget.open().try_add(LARGE, 1.1)
    assert revoked == [slow]


# Guards against a request that is ended although it runs.
def test_a_body_that_is_complete_does_not_give_way():
    budget, revoked = make_budget(), []
    charge = receive(budget, int(LIMIT * byte_budget.LARGE_SHARE), 0.0, revoked)
    charge.end_receiving()
    assert not budget.open().try_add(LARGE, 99.0)
    assert not revoked


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.sampled_from(["add", "try", "receive", "end", "close"]),
            strategies.integers(0, LIMIT),
        )
    )
)
def test_the_budget_is_the_sum_of_its_charges(steps):
    budget = make_budget()
    charges = [budget.open() for _ in range(6)]
    for now, (index, action, size) in enumerate(steps):
        charge = charges[index]
        match action:
            case "add":
                charge.add(size)
            case "try":
                charge.try_add(size, now)
            case "receive":
                charge.begin_receiving(lambda: None, now)
            case "end":
                charge.end_receiving()
            case "close":
                charge.close()
                charges[index] = budget.open()
        assert budget.used_bytes == sum(c.used_bytes for c in charges)
