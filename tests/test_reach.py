"""When an instance is presumed to reach no target of a service.

Load pattern: a quarter of the targets has stopped and is checked again and
again, while calls reach the others.
"""

from chivelb_core.forwarding import reach as reach_lib

STOPPED = ["t0", "t1", "t2", "t3"]
ALL = [f"t{number}" for number in range(16)]


def make_table():
    """Returns a table of an instance that knows which targets have stopped."""
    table = reach_lib.ReachTable()
    for identity in STOPPED:
        table.record_failure("lm", identity, 0.0)
    table.record_reached("lm", "t9", 0.1)
    return table


# Guards against an instance that sends all its calls through peers because
# checks of stopped targets fail more often than it sends calls.
def test_checks_of_targets_that_have_stopped_isolate_nobody():
    table = make_table()
    for identity in STOPPED:
        table.record_failure("lm", identity, 1.0)
    assert not table.is_isolated("lm", ALL, 1.0)


def test_an_instance_that_reaches_no_other_target_either_is_isolated():
    table = make_table()
    for identity in ("t5", "t6", "t7"):
        assert not table.is_isolated("lm", ALL, 1.0)
        table.record_failure("lm", identity, 1.0)
    assert table.is_isolated("lm", ALL, 1.0)


def test_the_last_targets_that_are_left_suffice():
    # Guards against a service of few targets whose last one has failed.
    table = make_table()
    table.record_failure("lm", "t9", 1.0)
    assert table.is_isolated("lm", [*STOPPED, "t9"], 1.0)


def test_a_target_that_was_reached_again_counts_again():
    table = make_table()
    for identity in STOPPED:
        table.record_reached("lm", identity, 0.5)
    for identity in STOPPED[:3]:
        table.record_failure("lm", identity, 1.0)
    assert table.is_isolated("lm", ALL, 1.0)


def test_targets_that_have_left_do_not_lower_the_number_of_failures():
    # Guards against an instance that is isolated by one failure because stopped
    # targets came back under new identities.
    table = make_table()
    table.record_failure("lm", "n1", 1.0)
    assert not table.is_isolated("lm", ["n1", "n2", "n3", "n4"], 1.0)
