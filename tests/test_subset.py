"""Subsets of targets that instances prefer.

Load pattern: many instances, each with a few requests a second, before more
targets than one instance can keep connections to.
"""

import builders
from chivelb_core.forwarding import subset
import hypothesis
from hypothesis import strategies as st
import pytest

INSTANCES = [1, 3, 19, 50, 127, 1_400]
TARGETS = [1, 5, 15, 45, 357]


def make_records(count, zone="z1", first=0):
    return [
        builders.make_record(f"{zone}-{number}", zone=zone)
        for number in range(first, first + count)
    ]


def preferred(records, instance, instance_count, zone="z1"):
    return subset.preferred_targets(
        records, instance=instance, zone=zone, instance_count=instance_count
    )


@pytest.mark.parametrize("instance_count", INSTANCES)
@pytest.mark.parametrize("target_count", TARGETS)
def test_every_target_is_preferred_by_a_fair_number_of_instances(
    instance_count, target_count
):
    records = make_records(target_count)
    counts = dict.fromkeys((r.identity for r in records), 0)
    for number in range(instance_count):
        for identity in preferred(records, f"i{number}", instance_count):
            counts[identity] += 1
    mean = sum(counts.values()) / target_count
    assert min(counts.values()) > 0
    assert max(counts.values()) <= 3 * mean


@hypothesis.settings(derandomize=True, max_examples=60)
@hypothesis.given(
    st.integers(3, 1_400), st.integers(13, 200), st.integers(0, 12)
)
def test_a_target_that_leaves_changes_one_place_of_a_subset(
    instance_count, target_count, leaving
):
    size = subset.subset_size(target_count, instance_count)
    hypothesis.assume(
        size == subset.subset_size(target_count - 1, instance_count)
    )
    records = make_records(target_count)
    before = preferred(records, "i", instance_count)
    del records[leaving]
    after = preferred(records, "i", instance_count)
    assert len(after - before) <= 1


def test_targets_of_the_own_zone_come_first():
    records = make_records(15, "z1") + make_records(15, "z2")
    assert all(
        name.startswith("z2") for name in preferred(records, "i", 19, "z2")
    )


def test_a_zone_with_few_targets_uses_those_of_other_zones():
    records = make_records(3, "z1") + make_records(30, "z2")
    chosen = preferred(records, "i", 19)
    assert {"z1-0", "z1-1", "z1-2"} < chosen
    assert len(chosen) == subset.MIN_SUBSET_SIZE


def test_few_targets_are_all_preferred():
    records = make_records(5, "z1") + make_records(4, "z2")
    assert len(preferred(records, "i", 3)) == 9
