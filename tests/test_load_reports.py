"""Load reports between entry instances, and the sums made of them.

Load pattern: many instances, each with a few requests a second, all told of
each other's load.
"""

import collections
import random
import zlib

import builders
from chivelb_core import routing
from chivelb_core.forwarding import assignment
from chivelb_core.routing import load_reports
from chivelb_node import context as context_lib
from chivelb_node.links import load_sharing
from chivelb_node.wire import codec
from chivelb_node.wire import messages
from chivelb_node.wire import packing
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

PEERS = ["p1", "p2", "p3"]
AMOUNTS = st.integers(min_value=0, max_value=5)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(PEERS),
            st.tuples(AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS),
            st.floats(min_value=0.0, max_value=1.5),
        ),
        max_size=30,
    )
)
def test_sums_equal_recomputed_ones_under_any_order_of_reports(reports):
    view = routing.LoadView()
    newest = {}
    now = 0.0
    for peer, amounts, pause_s in reports:
        now += pause_s
        view.apply_peer_load("r", peer, routing.PeerLoad(now, *amounts))
        view.apply_peer_load(peer, "r", routing.PeerLoad(now, *amounts))
        newest[peer] = (now, amounts)
        live = [amounts for at, amounts in newest.values() if now - at < 2.0]
        assert view.running("r", now) == sum(a[0] for a in live)
        assert view.pending("r", now) == sum(a[1] for a in live)
        assert view.used_kv_tokens("r", now) == sum(a[2] for a in live)
        assert view.suspect_requests("r", now) == sum(a[3] for a in live)
        view.check_invariants()


@pytest.mark.parametrize("peer_count", [2, 18, 56, 127])
def test_messages_a_second_do_not_grow_with_the_peers(peer_count):
    pacer = load_reports.ReportPacer(min_interval_s=0.005)
    now, sent = 0.0, 0
    while now < 10.0:
        sent += peer_count
        pacer.sent_at = now
        now += pacer.delay_s(now, peer_count=peer_count, urgent=False)
    assert sent <= 10.0 * load_reports.MESSAGES_PER_S + peer_count


# Guards against reports that fill a link because each of them is large.
@pytest.mark.parametrize("report_bytes", [100, 1_000, 20_000])
@pytest.mark.parametrize("urgent", [False, True])
def test_bytes_a_second_do_not_grow_with_the_reports(report_bytes, urgent):
    pacer = load_reports.ReportPacer(min_interval_s=0.005)
    now, sent_bytes = 0.0, 0
    while now < 20.0:
        sent_bytes += report_bytes
        pacer.record_sent(now, sent_bytes=report_bytes)
        now += pacer.delay_s(now, peer_count=1, urgent=urgent)
    assert sent_bytes <= 20.0 * load_reports.BYTES_PER_S + report_bytes


def test_a_very_large_report_does_not_stop_the_next_ones():
    pacer = load_reports.ReportPacer(min_interval_s=0.005)
    pacer.record_sent(0.0, sent_bytes=10_000_000)
    delay_s = pacer.delay_s(0.0, peer_count=19, urgent=False)
    assert delay_s <= load_reports.MAX_DELAY_BY_SIZE_S


def test_an_urgent_change_is_reported_sooner():
    pacer = load_reports.ReportPacer(min_interval_s=0.005, sent_at=1.0)
    urgent_s = pacer.delay_s(1.01, peer_count=18, urgent=True)
    other_s = pacer.delay_s(1.01, peer_count=18, urgent=False)
    assert urgent_s < other_s / 3


def test_the_first_change_after_a_pause_is_reported_at_once():
    pacer = load_reports.ReportPacer(min_interval_s=0.005, sent_at=1.0)
    assert pacer.delay_s(2.0, peer_count=18, urgent=False) == 0.005


@pytest.mark.parametrize(
    ("running", "kv_tokens", "expected"),
    [
        (1, 500, False),
        (3, 500, False),
        (4, 500, True),
        (1, 12_500, True),
        (1, -20_000, True),
    ],
)
def test_a_change_that_takes_up_much_of_a_target_is_urgent(
    running, kv_tokens, expected
):
    assert expected is load_reports.is_urgent(
        running=running, slots=16, kv_tokens=kv_tokens, capacity_tokens=100_000
    )


def test_a_target_without_a_cache_is_judged_by_its_slots():
    assert not load_reports.is_urgent(
        running=0, slots=16, kv_tokens=0, capacity_tokens=0
    )


class FakeHub:
    """Ignores handlers and messages."""

    def register_handler(self, message_type, handler):
        pass


def make_reporting():
    context = builders.make_context(
        a={"service": "lm", "slots": 16}, b={"service": "lm", "slots": 16}
    )
    reporting = load_sharing.LoadReporting(context, FakeHub(), None)
    return context, reporting


def due_entries(reporting, now):
    return sorted(
        reporting._due_entries(reporting.same_zone, now),
        key=lambda entry: entry.identity,
    )


def test_only_changed_loads_are_reported_and_an_end_is_reported_once():
    context, reporting = make_reporting()
    now = context_lib.monotonic()
    context.load.record_send("a", now, 100, 200)
    assert due_entries(reporting, now) == [
        messages.SendEntry("a", 1, 100, 200, 0)
    ]
    assert due_entries(reporting, now + 0.1) == []
    context.load.record_first_token("a", 100)
    context.load.record_end("a", 200)
    assert due_entries(reporting, now + 0.2) == [
        messages.SendEntry("a", 0, 0, 0, 0)
    ]
    assert due_entries(reporting, now + 5.0) == []


def test_an_unchanged_load_is_reported_again_before_peers_discard_it():
    context, reporting = make_reporting()
    now = context_lib.monotonic()
    context.load.record_send("a", now, 100, 200)
    assert len(due_entries(reporting, now)) == 1
    assert len(due_entries(reporting, now + 1.1)) == 1


def test_a_large_prompt_is_reported_as_urgent_and_a_small_one_is_not():
    context, reporting = make_reporting()
    context.load.record_send("a", 0.0, 100, 200)
    assert not reporting.same_zone.urgent.is_set()
    context.load.record_send("b", 0.0, 15_000, 16_000)
    assert reporting.same_zone.urgent.is_set()
    assert not reporting.other_zones.urgent.is_set()


def test_a_report_of_a_peer_is_counted_and_a_malformed_one_is_logged(capsys):
    context, reporting = make_reporting()
    entries = [messages.SendEntry("a", 2, 100, 200, 0)]
    payload = msgspec.msgpack.encode(entries)
    reporting._on_load_report("p", messages.LoadReport(payload))
    reporting._on_load_report("p", messages.LoadReport(b"\xff"))
    assert context.load.running("a", context_lib.monotonic()) == 2
    assert "cannot decode loads" in capsys.readouterr().out


class RegionGossip:
    """A region with one entry instance and one control instance beside."""

    def zone_members(self, zone):
        return ["i1", "front", "core"]

    def peers_in_region(self):
        return ["core", "front"]

    def is_control_instance(self, name):
        return name == "core"


# Guards against reports to instances that place no calls: they take bytes and
# time of the instances that acknowledge documents.
def test_control_instances_get_no_load_reports():
    context, _ = make_reporting()
    gossip = RegionGossip()
    reporting = load_sharing.LoadReporting(
        context,
        FakeHub(),
        gossip,
        places_calls=lambda name: not gossip.is_control_instance(name),
    )
    assert reporting._peers(reporting.same_zone) == ["front"]
    assert reporting._peers(reporting.other_zones) == []


class LargeRegionGossip:
    """Three zones with 20 entry instances each; all of them are alive."""

    NAMES = tuple(
        f"{zone}-{n:02d}" for zone in ("z1", "z2", "z3") for n in range(20)
    )

    def zone_members(self, zone):
        return [name for name in self.NAMES if name.startswith(zone)]

    def peers_in_region(self):
        return list(self.NAMES)


RUNNERS = {f"runner-{n:02d}": {"service": "lm"} for n in range(56)}


def make_entry(name):
    """Returns the reports of an entry instance of a large region."""
    context = builders.make_context(**RUNNERS)
    context.settings.instance.name = name
    context.settings.instance.zone = name.partition("-")[0]
    return load_sharing.LoadReporting(context, FakeHub(), LargeRegionGossip())


def put_load(reporting, seed, now, targets=18):
    """Starts calls of an entry instance, and returns the numbers by target."""
    rng = random.Random(seed)
    numbers = dict.fromkeys(rng.sample(sorted(RUNNERS), targets), 0)
    for identity in numbers:
        numbers[identity] = rng.randint(1, 3)
        for _ in range(numbers[identity]):
            reporting.context.load.record_send(
                identity, now, rng.randint(100, 4_000), rng.randint(500, 9_000)
            )
    return numbers


def report_to_others(reporting, now):
    """Returns the report to the other zones; None if there is none."""
    if not reporting._reports_to_others():
        return None
    return reporting._make_report(reporting.other_zones, now)


def tell(receiver, sender, now):
    """Tells an instance the load of a peer of its zone."""
    entries = list(sender._due_entries(sender.same_zone, now))
    report = messages.LoadReport(packing.pack(entries))
    name = sender.context.settings.instance.name
    receiver._on_load_report(name, report)


def make_zone(zone, now):
    """Returns the entry instances of a zone, and their calls by target.

    Those that report for the zone know the loads of all others.
    """
    names = LargeRegionGossip().zone_members(zone)
    members = {name: make_entry(name) for name in names}
    totals = collections.Counter()
    for seed, member in enumerate(members.values()):
        totals.update(put_load(member, seed, now))
    reporters = [members[n] for n in assignment.zone_reporters(zone, names)]
    for reporter in reporters:
        for member in members.values():
            if member is not reporter:
                # Both reporters are told the same.
                member.same_zone.changed_targets.update(RUNNERS)
                tell(reporter, member, now)
    return members, reporters, totals


# Guards against a cost of each instance that grows with the instances of other
# zones. Control may take 4 KB/s of a node.
def test_reports_of_other_zones_take_less_than_the_bytes_for_control():
    now = context_lib.monotonic()
    peer_count = 40
    period_s = peer_count / load_sharing.OTHER_ZONES_MESSAGES_PER_S
    received_bytes = 0
    for zone in ("z2", "z3"):
        members, _, _ = make_zone(zone, now)
        for member in members.values():
            report = report_to_others(member, now)
            if report is not None:
                envelope = codec.Envelope(report)
                received_bytes += len(codec.encode(envelope))
    assert received_bytes / period_s <= 4_000


def test_reports_for_a_zone_are_the_sum_of_its_loads_and_count_once():
    now = context_lib.monotonic()
    _, reporters, totals = make_zone("z2", now)
    receiver = make_entry("z1-00")
    assert len(reporters) == 2
    for reporter in reporters:
        name = reporter.context.settings.instance.name
        receiver._on_load_report(name, report_to_others(reporter, now))
        for identity in RUNNERS:
            running = receiver.context.load.running(identity, now)
            assert running == totals[identity]


def test_a_report_for_the_own_zone_is_not_counted_again():
    now = context_lib.monotonic()
    _, reporters, _ = make_zone("z2", now)
    receiver = make_entry("z2-00")
    receiver._on_load_report("x", report_to_others(reporters[0], now))
    assert not any(receiver.context.load.running(i, now) for i in RUNNERS)


def test_the_end_of_a_load_is_reported_for_the_zone_and_then_nothing():
    now = context_lib.monotonic()
    names = LargeRegionGossip().zone_members("z2")
    reporter = make_entry(assignment.zone_reporters("z2", names)[0])
    reporter.context.load.record_send("runner-00", now, 100, 200)
    assert report_to_others(reporter, now) is not None
    reporter.context.load.record_first_token("runner-00", 100)
    reporter.context.load.record_end("runner-00", 200)
    report = report_to_others(reporter, now)
    entries = msgspec.msgpack.decode(
        zlib.decompress(report.payload), type=list[messages.SendEntry]
    )
    assert entries == [messages.SendEntry("runner-00", 0, 0, 0, 0)]
    assert report_to_others(reporter, now) is None


def test_a_zone_that_lost_a_reporter_has_another_and_a_small_one_has_none():
    names = LargeRegionGossip().zone_members("z2")
    first, second = assignment.zone_reporters("z2", names)
    names.remove(first)
    remaining = assignment.zone_reporters("z2", names)
    assert remaining[0] == second and len(remaining) == 2
    assert assignment.zone_reporters("z2", names[:7]) == []


def test_a_report_of_the_previous_release_has_no_zone():
    entries = [messages.SendEntry("runner-00", 2, 0, 0, 0)]
    receiver = make_entry("z1-00")
    report = messages.LoadReport(packing.pack(entries))
    decoded = codec.decode(codec.encode(codec.Envelope(report))).body
    receiver._on_load_report("z2-00", decoded)
    assert "z2-00" in receiver.context.load.loads["runner-00"].peers
