"""Announcements of other writers take no address or identity for good."""

import builders
from chivelb_core import targets
from chivelb_core.targets import claims
from chivelb_core.targets import table as table_lib
from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_platform import shared_services
import pytest
import structlog.testing
import target_groups

make_target = target_groups.make_target
REFUTE_AFTER_S = claims.REFUTE_AFTER_S
FORGED = {"incarnation": 900, "sequence": 10**9}


def make_context(*services):
    context = builders.make_context()
    context.check_targets_by_document()
    target_groups.name_services(context, *services)
    return context


def served(context, service="web"):
    now = context_lib.monotonic()
    return [r.identity for r in context.targets.eligible(service, now)]


def announce(context, record):
    return context.targets.announce(record, context_lib.monotonic())


# Guards against a service that is never served again because of one ping for
# each address that names a service nobody has (review/13).
def test_a_service_that_is_not_named_takes_no_address():
    context = make_context("web")
    announce(context, make_target())
    with structlog.testing.capture_logs() as logs:
        announce(context, make_target("other", service="nobody", **FORGED))
        announce(context, make_target(service="nobody", **FORGED))
    assert served(context) == ["sound"]
    assert announce(context, make_target(sequence=2))
    reasons = [line["reason"] for line in logs]
    assert reasons == ["service 'nobody' is not named"]


# Guards against KV cache of other weights that a request runs on, and against
# weights that are not loaded any more: a ping without models replaced the sound
# one, whose later pings were refused as older (review/12).
@pytest.mark.parametrize(
    "fields",
    [
        {"model": "", "weight_version": ""},
        {"model": "others", "weight_version": "1"},
        {"weight_version": ""},
    ],
)
def test_a_ping_without_its_services_model_replaces_no_sound_one(fields):
    context = make_context()
    sound = {"service": "lm", "model": "m", "weight_version": "1"}
    announce(context, make_target(**sound))
    assert not announce(
        context, make_target(**{**sound, **fields, "sequence": 10**9})
    )
    entry = context.targets.entries["sound"]
    assert entry.record.weight_version == "1"
    assert announce(context, make_target(**sound, sequence=2))
    assert served(context, "lm") == ["sound"]


# Guards against targets that are lost because their ping came before the
# document, or before the change that names their service.
@pytest.mark.parametrize("documents", [(), ("other",)])
def test_a_ping_may_come_before_its_service_is_named(documents):
    context = builders.make_context()
    context.check_targets_by_document()
    for service in documents:
        target_groups.name_services(context, service)
    announce(context, make_target())
    target_groups.name_services(context, "web")
    assert served(context) == ["sound"]


# Guards against a target of a service that left the document and came back.
def test_a_service_may_leave_the_document_and_come_back():
    context = make_context("web")
    announce(context, make_target())
    target_groups.name_services(context, "other")
    assert served(context) == []
    announce(context, make_target(sequence=2))
    target_groups.name_services(context, "web")
    assert served(context) == ["sound"]


# Guards against an unnamed ping from before the document that shuts out the
# sound ones of its identity.
def test_a_named_ping_replaces_one_that_names_no_target():
    context = builders.make_context()
    context.check_targets_by_document()
    announce(context, make_target(service="nobody", **FORGED))
    target_groups.name_services(context, "web")
    assert announce(context, make_target())
    assert served(context) == ["sound"]


# Guards against a sound target that is replaced for good by one well-formed
# ping, with an identity of its own or that of the target.
@pytest.mark.parametrize("identity", ["other", "sound"])
def test_a_sound_target_gets_its_address_back_from_one_that_is_silent(
    monkeypatch, identity
):
    group = target_groups.TargetGroup(monkeypatch)
    record = group.beat("core-0", make_target(), 6.0)
    group.announce("core-1", make_target(identity, **FORGED))
    since = group.now
    while "sound" not in group.served("front-0") or (
        group.table("front-0").entries["sound"].record.incarnation != 100
    ):
        group.announce("core-0", record)
        record = target_groups.next_beat(record)
        group.now += target_groups.HEARTBEAT_S
        assert group.now - since < 2 * REFUTE_AFTER_S
    group.repair_all()
    for name in group.instances:
        assert group.served(name) == ["sound"]
    assert len(group.digests()) == 1


# Guards against a verdict that an instance which starts later doesn't know.
@pytest.mark.parametrize("identity", ["other", "sound"])
def test_an_instance_that_starts_later_learns_what_was_refuted(
    monkeypatch, identity
):
    group = target_groups.TargetGroup(monkeypatch)
    record = group.beat("core-0", make_target(), 6.0)
    group.announce("core-1", make_target(identity, **FORGED))
    group.beat("core-0", record, 2 * REFUTE_AFTER_S)
    group.start("front-0")
    group.repair("front-0", "core-1")
    assert group.served("front-0") == ["sound"]
    # The forged ping may still come from an instance that was out of touch.
    group.announce("core-1", make_target(identity, **FORGED))
    assert group.served("core-1") == ["sound"]


# Guards against a late ping of the crashed lifetime at the address, which must
# not win, however long nothing was said of the new one that changed anything.
@pytest.mark.parametrize("identity", ["new", "sound"])
@pytest.mark.parametrize("late_count", [1, 3])
def test_late_pings_of_a_crashed_lifetime_do_not_win(
    monkeypatch, identity, late_count
):
    group = target_groups.TargetGroup(monkeypatch)
    crashed = group.beat("core-0", make_target(), 6.0)
    group.now += 3.0
    new = make_target(identity, incarnation=200)
    new = group.beat("core-1", new, 60.0)
    for _ in range(late_count):
        group.announce("core-0", crashed)
        assert group.served("front-0") == [identity]
        crashed = target_groups.next_beat(crashed)
        group.now += 0.3
        new = group.beat("core-1", new, 0.1)
    new = group.beat("core-1", new, 3 * REFUTE_AFTER_S)
    group.repair_all()
    for name in group.instances:
        assert group.served(name) == [identity]
        entry = group.table(name).entries[identity]
        assert entry.record.incarnation == 200


# Guards against a claim that is refuted for good: its target was only cut off.
def test_a_refuted_target_takes_its_address_with_its_next_ping(monkeypatch):
    group = target_groups.TargetGroup(monkeypatch)
    record = group.beat("core-0", make_target(), 6.0)
    new = make_target("new", incarnation=200)
    group.announce("core-1", new)
    group.beat("core-0", record, 2 * REFUTE_AFTER_S)
    assert group.served("front-0") == ["sound"]
    group.announce("core-1", target_groups.next_beat(new))
    for name in group.instances:
        assert group.served(name) == ["new"]


# Guards against peers that are told of each ping of a target whose address was
# another one's once.
def test_pings_are_not_sent_on_once_an_address_is_settled(monkeypatch):
    group = target_groups.TargetGroup(monkeypatch)
    group.beat("core-0", make_target(), 6.0)
    new = group.beat("core-1", make_target("new", incarnation=200), 30.0)
    count = group.network.message_count + len(group.network.requests)
    group.beat("core-1", new, 30.0)
    assert group.network.message_count + len(group.network.requests) == count


# Guards against a writer whose pings fill the table, so that nobody else gets
# in, or the memory.
def test_pings_that_name_no_target_leave_room_for_others():
    context = make_context("web")
    table = context.targets
    table.max_entries = 3_000
    for number in range(4_000):
        announce(
            context,
            make_target(
                f"x{number}", service="nobody", address=f"h:{number + 1}"
            ),
        )
    assert len(table.entries) == table_lib.MAX_UNNAMED_TARGETS
    for number in range(3_000):
        announce(context, make_target(f"t{number}", address=f"h:{number + 1}"))
    assert len(served(context)) == 3_000


def test_ended_lifetimes_give_way_to_others():
    table = targets.TargetTable(max_entries=10)
    for number in range(30):
        record = make_target(f"old{number}", address=f"h:{number + 1}")
        assert table.announce(record, 0.0)
        assert table.mark_leaving(record.identity, 100)
    assert table.announce(make_target("live", address="h:99"), 0.0)
    assert len(table.entries) == 10
    assert table.is_eligible("live", 1.0)


def test_the_targets_of_one_address_are_bounded():
    table = targets.TargetTable()
    for number in range(10 * claims.MAX_CLAIMANTS):
        table.announce(make_target(f"x{number}", incarnation=number + 1), 0.0)
    assert len(table.entries) == claims.MAX_CLAIMANTS
    assert [r.identity for r in table.eligible("web", 1.0)] == [f"x{number}"]


# Guards against sound targets that are taken for silent between two heartbeats.
def test_the_time_to_refute_follows_the_period_of_heartbeats():
    settings = settings_lib.Settings(
        instance=settings_lib.Instance(name="i1", zone="z1")
    )
    shared = shared_services.SharedServices(settings)
    shared.set_heartbeat_period(1.2)
    assert shared.context.targets.refute_after_s == REFUTE_AFTER_S
    shared.set_heartbeat_period(5.0)
    assert shared.context.targets.refute_after_s == 20.0
