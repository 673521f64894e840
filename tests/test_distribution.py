"""Choice of who sends a document version to whom."""

import collections
import random

from chivelb_core.document import distribution
import hypothesis
from hypothesis import strategies as st
import pytest

ZONES = ["z1", "z2", "z3", "z4"]


def make_peers(prefix, count, zones=ZONES, **options):
    return [
        distribution.Peer(
            f"{prefix}-{number}", zones[number % len(zones)], **options
        )
        for number in range(count)
    ]


def providers_by_entry(control, entries):
    providers = collections.defaultdict(list)
    for sender in control:
        for name in distribution.receivers(sender.name, control, entries):
            providers[name].append(sender)
    return providers


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.integers(min_value=1, max_value=34),
    st.integers(min_value=1, max_value=200),
)
def test_each_entry_has_a_provider_and_at_most_two(control_count, entry_count):
    control = make_peers("core", control_count)
    entries = make_peers("front", entry_count)
    providers = providers_by_entry(control, entries)
    assert set(providers) == {entry.name for entry in entries}
    for entry in entries:
        in_zone = [peer.zone == entry.zone for peer in control]
        expected = any(in_zone) + (not all(in_zone))
        assert len(providers[entry.name]) == expected


def test_the_providers_of_an_entry_are_of_its_zone_and_of_another():
    control = make_peers("core", 8)
    entries = make_peers("front", 72)
    providers = providers_by_entry(control, entries)
    for entry in entries:
        zones = [peer.zone for peer in providers[entry.name]]
        assert len(set(zones)) == 2
        assert entry.zone in zones


@pytest.mark.parametrize("entry_count", [9, 72, 1_400])
def test_receivers_are_spread_over_the_control_instances(entry_count):
    control = make_peers("core", 8)
    entries = make_peers("front", entry_count)
    counts = [
        len(distribution.receivers(peer.name, control, entries))
        for peer in control
    ]
    mean = 2 * entry_count / len(control)
    assert max(counts) <= 2 * mean + 2


def test_announcements_leave_out_the_peer_that_the_version_came_from():
    rng = random.Random(1)
    names = [f"front-{number}" for number in range(9)]
    for _ in range(20):
        announced = distribution.choose_announced(
            names, rng, except_for="front-3"
        )
        assert len(set(announced)) == distribution.ANNOUNCEMENTS
        assert "front-3" not in announced


def test_live_peers_of_the_zone_are_asked_first_and_dead_ones_last():
    peers = [
        distribution.Peer("dead", "z1", version=9, is_alive=False),
        distribution.Peer("behind", "z1", version=3),
        distribution.Peer("far", "z2", version=8),
        distribution.Peer("near", "z1", version=8),
    ]
    rng = random.Random(1)
    assert distribution.pull_order(peers, 7, "z1", rng) == ["near", "far"]
    assert distribution.pull_order(peers, 8, "z1", rng) == ["dead"]
    assert distribution.pull_order(peers, 9, "z1", rng) == []
