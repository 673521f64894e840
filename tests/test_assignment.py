"""Assignment of sources to the instances that follow them."""

import math

from chivelb_core.forwarding import assignment
import hypothesis
from hypothesis import strategies as st
import pytest


def names(prefix, count):
    return [f"{prefix}-{number}" for number in range(count)]


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.integers(min_value=0, max_value=300),
    st.integers(min_value=1, max_value=60),
)
def test_no_instance_has_more_than_its_share(key_count, instance_count):
    keys, instances = names("source", key_count), names("i", instance_count)
    assigned = assignment.assign_evenly(keys, instances)
    assert set(assigned) == set(keys)
    counts = [list(assigned.values()).count(name) for name in instances]
    assert max(counts) <= math.ceil(key_count / instance_count)


@pytest.mark.parametrize(
    ("sources", "instances"), [(9, 3), (76, 20), (325, 50)]
)
def test_an_instance_that_leaves_moves_few_other_keys(sources, instances):
    keys, members = names("source", sources), names("i", instances)
    before = assignment.assign_evenly(keys, members)
    after = assignment.assign_evenly(keys, members[1:])
    moved = [
        key
        for key in keys
        if before[key] != after[key] and before[key] != members[0]
    ]
    assert len(moved) <= len(keys) / 3


def test_nothing_is_assigned_without_instances():
    assert assignment.assign_evenly(["a"], []) == {}
