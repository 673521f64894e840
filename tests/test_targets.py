"""Leases, incarnations, addresses and validation of targets."""

import math

import builders
from chivelb_core import targets
import pytest


def make_table(**options):
    table = targets.TargetTable()
    table.announce(builders.make_record(**options), 0.0)
    return table


def test_a_lease_expires_by_the_clock_of_the_local_instance():
    table = make_table(lease_s=2.0)
    assert table.is_eligible("r1", 1.9)
    assert not table.is_eligible("r1", 2.0)


def test_leaving_is_final_for_an_incarnation():
    table = make_table()
    table.announce(builders.make_record(sequence=2, state="leaving"), 1.0)
    table.announce(builders.make_record(sequence=3, state="ready"), 1.5)
    assert not table.is_eligible("r1", 1.6)
    table.announce(builders.make_record(incarnation=2, sequence=1), 2.0)
    assert table.is_eligible("r1", 2.1)


def test_old_and_repeated_announcements_are_ignored():
    table = make_table(sequence=5)
    assert not table.announce(builders.make_record(sequence=5), 1.0)
    assert not table.announce(builders.make_record(sequence=4), 1.0)
    assert table.announce(builders.make_record(sequence=6), 1.0)


def test_leaving_of_an_old_incarnation_is_ignored():
    table = make_table(incarnation=2)
    assert not table.mark_leaving("r1", 1)
    assert table.is_eligible("r1", 0.5)
    assert table.mark_leaving("r1", 2)
    assert not table.is_eligible("r1", 0.5)


def test_table_size_is_bounded():
    table = targets.TargetTable(max_entries=2)
    for number in range(4):
        table.announce(builders.make_record(f"r{number}"), 0.0)
    assert len(table.entries) == 2


@pytest.mark.parametrize(
    "options",
    [
        {"address": "nowhere"},
        {"address": "h:0"},
        {"lease_s": 0.0},
        {"lease_s": float("nan")},
        {"slots": 0},
        {"prefill_rate": -1.0},
        {"running": -1},
        {"identity": "x" * 500},
        {"zone": ""},
    ],
)
def test_validation_errors_of_an_announcement_are_reported(options):
    record = builders.make_record(**options)
    assert targets.validate_record(record)


def announce_at(table, identity, incarnation=0, sequence=1, address="h:1"):
    record = builders.make_record(
        identity,
        incarnation=incarnation,
        sequence=sequence,
        address=address,
        lease_s=0.0,
    )
    return table.announce(record, 0.0)


def eligible_identities(table):
    return {r.identity for r in table.eligible("estimator-lm", 1.0)}


def test_an_address_belongs_to_the_target_that_announced_last():
    table = targets.TargetTable()
    announce_at(table, "old", sequence=9)
    announce_at(table, "new")
    assert eligible_identities(table) == {"new"}


def test_successor_reclaims_its_address_after_a_delayed_announcement():
    table = targets.TargetTable()
    announce_at(table, "new")
    announce_at(table, "stopped", sequence=4)
    assert eligible_identities(table) == {"stopped"}
    announce_at(table, "new", sequence=2)
    assert eligible_identities(table) == {"new"}
    assert not announce_at(table, "stopped", sequence=4)
    assert eligible_identities(table) == {"new"}


def test_greater_incarnation_owns_the_address():
    table = targets.TargetTable()
    announce_at(table, "new", incarnation=2_000)
    announce_at(table, "old", incarnation=1_000)
    assert eligible_identities(table) == {"new"}


def test_target_without_a_lease_is_eligible_until_it_leaves():
    table = targets.TargetTable()
    announce_at(table, "a")
    assert table.is_eligible("a", 1e9)
    assert table.mark_leaving("a", 0)
    assert not table.is_eligible("a", 1e9)


def test_paused_target_is_not_eligible_until_its_weights_are_loaded():
    table = targets.TargetTable()
    announce_at(table, "a")
    table.pause("a", 0, until=5.0)
    assert not table.is_eligible("a", 4.0)
    table.pause("a", 0, until=4.0)
    table.set_weight_version("a", 0, "8")
    assert table.is_eligible("a", 4.0)
    assert table.entries["a"].record.weight_version == "8"


def test_listing_and_single_checks_agree_on_who_is_eligible():
    # Guards against a condition of eligibility that only one of them has.
    changes = {
        "usable": {},
        "resting": {"resting_until": 9.0},
        "leaving": {"is_leaving": True},
        "replaced": {"is_replaced": True},
        "paused": {"paused_until": 9.0},
        "expired": {"expires_at": 1.0},
        "cold": {"cold_until": 9.0},
    }
    table = targets.TargetTable()
    table.next_cold_send_at = lambda record, now: math.inf
    for number, (identity, attributes) in enumerate(changes.items()):
        record = builders.make_record(
            identity=identity, address=f"h:{number + 1}", service="lm"
        )
        table.announce(record, 0.0)
        for name, value in attributes.items():
            setattr(table.entries[identity], name, value)
    for evacuated in (frozenset(), frozenset({record.zone})):
        table.evacuated_zones = evacuated
        for ignores_cold in (False, True):
            listed = {
                r.identity
                for r in table.eligible("lm", 2.0, ignores_cold=ignores_cold)
            }
            assert listed == {
                identity
                for identity in changes
                if table.is_eligible(identity, 2.0, ignores_cold=ignores_cold)
            }
