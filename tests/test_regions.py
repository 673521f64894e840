"""Routes and workspaces that are restricted to the targets of some regions.

Load pattern: calls with and without a restriction share one instance, whose
zone ``z1`` is in the region ``north``; ``z2`` and ``z3`` are in ``south``.
"""

import asyncio
import functools
import json
import types

import builders
from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core.document import model as model_lib
from chivelb_core.document import regions as regions_lib
from chivelb_core.document import results as results_lib
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.edge import dispatch
from chivelb_node.edge import operators
from chivelb_node.edge import plain_calls
from chivelb_node.edge import responses
from chivelb_node.forwarding import call_factory
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.links import cache as cache_lib
from chivelb_platform import wire_document
import fake_ports
import msgspec
import pytest
import test_continued_answers
import test_evacuation
import test_forwarder
import test_platform

ZONES = {"z1": "north", "z2": "south", "z3": "south"}
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
FLEET = {"a": "z1", "b": "z2"}


def make_harness(*replies, zones=FLEET, **options):
    records = {
        name: {"service": "lm", "zone": zone, **options}
        for name, zone in zones.items()
    }
    harness = test_forwarder.make_harness(*replies, **records)
    harness.context.zone_regions = ZONES
    harness.context.settings.instance.region = "north"
    return harness


def make_replies(count):
    return [test_forwarder.stream(test_forwarder.E1) for _ in range(count)]


def serve(harness, *, limit_s=5, **options):
    async def run():
        async with asyncio.timeout(limit_s):
            call = test_forwarder.make_call(**options)
            return await harness.serve(call)

    return asyncio.run(run())


# Documents.


def test_restrictions_add_up():
    assert regions_lib.allowed_regions([], []) is None
    assert regions_lib.allowed_regions(["a", "b"], []) == {"a", "b"}
    assert regions_lib.allowed_regions(["a", "b"], ["b", "c"]) == {"b"}
    assert regions_lib.allowed_regions(["a"], ["b"]) == frozenset()


def encode_document(route_regions=..., tenant_regions=...):
    data = json.loads(json.dumps(test_platform.DOCUMENT))
    if route_regions is not ...:
        data["Routes"][0]["AllowedRegions"] = route_regions
    if tenant_regions is not ...:
        data["Tenants"][0]["AllowedRegions"] = tenant_regions
    return json.dumps(data).encode()


def decode(*arguments, known_regions=("north", "south"), **options):
    return wire_document.decode_replacement(
        encode_document(*arguments, **options), known_regions=known_regions
    ).document


@pytest.mark.parametrize("regions", [..., None, []])
def test_without_names_of_regions_there_is_no_restriction(regions):
    decoded = decode(regions, regions)
    assert decoded.routes["r"].regions == []
    assert decoded.workspaces["t"].regions == []


def test_the_regions_of_routes_and_tenants_are_decoded():
    decoded = decode(["north"], ["north", "south"])
    assert decoded.routes["r"].regions == ["north"]
    assert decoded.workspaces["t"].regions == ["north", "south"]


@pytest.mark.parametrize(
    ("options", "path"),
    [
        ({"route_regions": ["nroth"]}, "routes/r/regions"),
        ({"tenant_regions": ["north", "nroth"]}, "workspaces/t/regions"),
    ],
)
def test_an_unknown_region_is_refused_by_name(options, path):
    with pytest.raises(wire_document.DocumentError) as caught:
        decode(**options)
    message = str(caught.value)
    assert path in message and "'nroth'" in message
    assert "north, south" in message and "did you mean 'north'" in message
    # Without zones in the settings no region is known.
    decode(**options, known_regions=())


@pytest.mark.parametrize("regions", ["north", [1], {"north": 1}])
def test_regions_of_another_type_are_refused(regions):
    with pytest.raises(wire_document.DocumentError, match="AllowedRegions"):
        decode(regions)


# Guards against instances of an older build, which know no such field, that
# refuse each document or end on it.
@pytest.mark.parametrize("name", ["Route", "Workspace", "Service"])
def test_a_part_without_restriction_is_decoded_by_older_builds(name):
    current = getattr(model_lib, name)
    parts = {
        "Route": builders.make_route(),
        "Workspace": builders.make_routed_document().workspaces["w"],
        "Service": builders.make_routed_document().services["lm"],
    }
    older = msgspec.defstruct(
        name,
        [
            (field.name, field.type)
            if field.required
            else (field.name, field.type, field.default)
            if field.default is not msgspec.NODEFAULT
            else (
                field.name,
                field.type,
                msgspec.field(default_factory=field.default_factory),
            )
            for field in msgspec.structs.fields(current)
            if field.name != "regions"
        ],
        forbid_unknown_fields=True,
        kw_only=True,
    )
    data = msgspec.msgpack.encode(parts[name])
    decoded = msgspec.msgpack.decode(data, type=older)
    for field in msgspec.structs.fields(older):
        assert getattr(decoded, field.name) == getattr(parts[name], field.name)


def test_operators_see_all_fields_also_default_values():
    redacted = model_lib.redact(builders.make_routed_document())
    assert redacted["routes"]["quote"]["regions"] == []
    assert redacted["services"]["web"]["max_connections"] == 1_000
    assert redacted["workspaces"]["w"]["cache_secret"] == "(secret)"


# Guards against a change through the operator API that names a region which
# does not exist; only the parts that it puts are checked.
def test_a_change_with_an_unknown_region_is_refused():
    routed = builders.make_routed_document()
    routed.routes["once"].regions = ["gone"]
    context = builders.make_context(routed)
    context.zone_regions = ZONES
    submitted = []

    async def submit_change(change):
        submitted.append(change)
        return results_lib.ChangeResult(codes.DONE.number, 2, "")

    handlers = operators.OperatorHandlers(
        context,
        types.SimpleNamespace(
            voter_client=types.SimpleNamespace(submit_change=submit_change)
        ),
        None,
        None,
    )

    def submit(regions):
        value = model_lib.describe_part(builders.make_route(regions=regions))
        value["path_prefix"] = "/new/"
        change = builders.make_change(path="routes/new", value=value)
        return asyncio.run(handlers.submit(change))

    result = submit(["nroth"])
    assert result.code == codes.CHANGE_INVALID.number
    assert [p.path for p in result.problems] == ["routes/new/regions"]
    assert not submitted
    assert submit(["north"]).code == codes.DONE.number
    assert len(submitted) == 1


# Calls.


@pytest.mark.parametrize(
    ("route_regions", "workspace_regions", "expected"),
    [
        ([], [], None),
        (["south"], [], SOUTH),
        ([], ["north"], NORTH),
        (["south", "north"], ["north"], NORTH),
        (["south"], ["north"], frozenset()),
    ],
)
def test_a_call_is_restricted_by_its_route_and_its_workspace(
    route_regions, workspace_regions, expected
):
    routed = builders.make_routed_document()
    routed.routes["quote"].regions = route_regions
    routed.workspaces["w"].regions = workspace_regions
    request_head = call_factory.RequestHead(
        request_id="r-1",
        host="a.example",
        path="/x/",
        key="key-w",
        wait_s=None,
        prompt=None,
        at=context_lib.monotonic(),
    )
    context = builders.make_context(routed)
    assert call_factory.create_call(context, request_head).regions == expected


# Guards against first attempts in a region that the caller ruled out.
@pytest.mark.parametrize(
    ("regions", "expected"),
    # Without a restriction the idle target of the own zone gets all.
    [(None, {"a"}), (NORTH, {"a"}), (SOUTH, {"b"}), (NORTH | SOUTH, {"a"})],
)
def test_a_call_goes_to_targets_of_its_regions_alone(regions, expected):
    harness = make_harness(*make_replies(24))
    for _ in range(24):
        assert serve(harness, regions=regions).end == "finished"
    assert {s.record.identity for s in harness.targets.sent} == expected


# Guards against retries and resumed streams in another region.
@pytest.mark.parametrize("has_begun", [False, True])
def test_a_call_is_retried_in_its_regions_alone(has_begun):
    first = [test_forwarder.E1] if has_begun else []
    zones = {"a": "z1", "b": "z2", "c": "z3"}
    harness = make_harness(
        test_forwarder.stream(*first, fake_ports.unknown()),
        test_forwarder.stream(test_forwarder.E2),
        zones=zones,
    )
    caller = serve(harness, regions=SOUTH)
    assert caller.end == "finished"
    sent = {s.record.identity for s in harness.targets.sent}
    assert sent == {"b", "c"}


# Guards against callers who wait for a target that can't come.
@pytest.mark.parametrize(
    ("regions", "zone"), [(NORTH, "z2"), (frozenset(), "z2"), (SOUTH, "z9")]
)
def test_a_call_without_target_in_its_regions_is_refused_at_once(regions, zone):
    harness = make_harness(zones={"b": zone})
    # The targets elsewhere are about to have room; this call can't use it.
    now = context_lib.monotonic()
    harness.context.targets.rest("b", 1, now + 0.5)
    caller = serve(harness, regions=regions, deadline=now + 3_600)
    assert caller.error_detail.code is codes.NO_TARGET_IN_REGION
    assert caller.error_detail.retry_after_s
    assert harness.targets.sent == []


# Guards against calls that wait for a target in a region that they can't use.
def test_a_rest_in_another_region_is_not_waited_for():
    harness = make_harness()
    now = context_lib.monotonic()
    harness.context.targets.rest("a", 1, now + 0.5)
    harness.context.targets.pause("b", 1, now + 3_600)
    caller = serve(harness, regions=SOUTH, deadline=now + 3_600)
    assert caller.error_detail.code is codes.NO_TARGET


def test_a_call_whose_regions_are_evacuated_is_refused_as_such():
    harness = make_harness()
    test_evacuation.put_in_force(harness.context, "z2", "z3")
    caller = serve(harness, regions=SOUTH)
    assert caller.error_detail.code is codes.NO_TARGET
    assert "evacuated" in caller.error_detail.detail


# Guards against a restriction that is ignored where the settings list no zones:
# only the region of the own zone is known then.
def test_without_zones_in_the_settings_only_the_own_region_is_known():
    harness = make_harness(*make_replies(1))
    harness.context.zone_regions = {}
    assert serve(harness, regions=NORTH).end == "finished"
    caller = serve(harness, regions=SOUTH)
    assert caller.error_detail.code is codes.NO_TARGET_IN_REGION
    harness.context.targets.mark_leaving("a", 1)
    caller = serve(harness, regions=NORTH)
    assert caller.error_detail.code is codes.NO_TARGET_IN_REGION
    assert [s.record.identity for s in harness.targets.sent] == ["a"]


# Guards against one restricted call without capacity that holds up all others
# of its service. Load: the only runner of the south is full.
def test_a_restricted_call_does_not_hold_up_others():
    harness = make_harness(*make_replies(2))
    context = harness.context
    now = context_lib.monotonic()
    for identity in ("a", "b"):
        context.load.record_send(identity, now, 0, 100_000)
    queue = harness.admission_queue

    async def run():
        async with asyncio.timeout(5):
            restricted = [
                asyncio.create_task(
                    harness.serve(test_forwarder.make_call(regions=SOUTH))
                )
                for _ in range(3)
            ]
            other = asyncio.create_task(
                harness.serve(test_forwarder.make_call(priority=1))
            )
            while sum(len(w.calls) for w in queue.waiting_lists.values()) < 4:
                await asyncio.sleep(0.005)
            context.load.record_end("a", 100_000)
            queue.dispatch("lm")
            caller = await other
            for task in restricted:
                task.cancel()
            await asyncio.gather(*restricted, return_exceptions=True)
            return caller

    assert asyncio.run(run()).end == "finished"
    assert [s.record.identity for s in harness.targets.sent] == ["a"]


# KV cache.


def place(regions):
    """Places a prompt whose parts a source of each region holds.

    Returns:
        The fetch and the save addresses.
    """
    routed = builders.make_routed_document()
    stores = {
        f"s-{zone}": builders.make_store(address=f"s-{zone}:1", zone=zone)
        for zone in ("z1", "z2")
    }
    routed.services.update(stores)
    context = builders.make_context(
        routed,
        near={"service": "lm", "address": "near:1", "weight_version": "1"},
        far={
            "service": "lm",
            "address": "far:1",
            "weight_version": "1",
            "zone": "z2",
        },
        new={
            "service": "lm",
            "address": "new:1",
            "weight_version": "1",
            "zone": "z3",
        },
    )
    context.zone_regions = ZONES
    context.settings.instance.region = "north"
    now = context_lib.monotonic()
    # Both holders are full, so that the prompt goes to the new runner.
    for identity in ("near", "far"):
        context.load.record_send(identity, now, 0, 100_000)
    directory = parts_lib.PartDirectory()
    call = builders.make_call(
        prompt=builders.make_prompt(20_000, 20_000, 100), regions=regions
    )
    scope = forwarding.sharing_scope("1", call, context.document_state)
    key = parts_lib.part_key(scope, "p0")
    for address, events in (
        ("near:1", [parts_lib.PartUpdate(key, 20_000)]),
        ("far:1", [parts_lib.PartUpdate(key, 20_000)]),
        ("s-z1:1", [parts_lib.PartUpdate(key, 20_000)]),
        ("s-z2:1", []),
    ):
        directory.apply_events(
            address, epoch=1, since=0, until=1, events=events, now=now
        )
    policy = placement_lib.PlacementPolicy(context, directory)
    placement = policy.place(call, now)
    assert placement.record.identity == "new"
    saves = policy.record_placed(call, placement, now)
    return placement.fetch_plan.fetches, saves


# Guards against KV cache that leaves the regions of a request, or comes from
# others.
def test_kv_cache_is_fetched_from_and_saved_to_the_regions_alone():
    fetches, saves = place(None)
    # A store goes before runners; the second part is saved in any store.
    assert fetches == ["s-z1:1", "", ""]
    assert saves[1] in ("s-z1:1", "s-z2:1")
    fetches, saves = place(SOUTH)
    assert fetches == ["far:1", "", ""]
    # The first part is in no store of these regions.
    assert saves == ["s-z2:1", "s-z2:1", ""]


# Relayed attempts.


def relay(restrict, *, zone_regions=ZONES):
    def prepare(peer):
        context = peer.context
        context.zone_regions = zone_regions
        context.settings.instance.region = "north"
        record = builders.make_record(
            "b", address="b:1", zone="z2", service="lm", lease_s=0.0
        )
        context.targets.announce(record, context_lib.monotonic())
        restrict(context.document)

    return test_evacuation.relay(prepare)


# Guards against a peer that sends to a region which a newer document rules out;
# the instance that asks may be cut off and not know that document.
@pytest.mark.parametrize("collection", ["routes", "workspaces"])
def test_a_peer_relays_nothing_to_another_region(collection):
    def restrict(regions, routed):
        for part in getattr(routed, collection).values():
            part.regions = regions

    sent, outcome = relay(functools.partial(restrict, ["south"]))
    assert sent == []
    assert outcome.kind is calls.OutcomeKind.NOT_RUN
    (assignment,), outcome = relay(functools.partial(restrict, ["north"]))
    assert outcome is None
    # The source is in the south.
    assert assignment.fetch_addresses == ["", ""]
    (assignment,), _ = relay(functools.partial(restrict, ["north", "south"]))
    assert assignment.fetch_addresses == ["", "b:1"]


# ``chivelbd``.


def make_site_context():
    context = builders.make_context(
        builders.make_document(),
        a={"zone": "z1", "slots": 4},
        b={"zone": "z2", "slots": 4},
        p={"zone": "z1", "role": "plain", "service": "fitter-portal"},
        q={"zone": "z2", "role": "plain", "service": "fitter-portal"},
        s={"zone": "z1", "role": "store", "service": "kept"},
        t={"zone": "z2", "role": "store", "service": "kept"},
    )
    for number, entry in enumerate(context.targets.entries.values()):
        entry.record = msgspec.structs.replace(
            entry.record, address=f"h{number}:1"
        )
        entry.is_replaced = False
    context.zone_regions = ZONES
    context.settings.instance.region = "north"
    return context


def make_model_call(regions):
    call = test_continued_answers.make_call()
    call.regions = regions
    return call


@pytest.mark.parametrize(("regions", "expected"), [(NORTH, "a"), (SOUTH, "b")])
def test_a_model_call_is_admitted_in_its_regions_alone(regions, expected):
    context = make_site_context()
    dispatcher = dispatch.Dispatcher(
        context, lambda call, record: ("", 0, 1.0, 0.0)
    )

    async def run():
        return [
            (await dispatcher.admit(make_model_call(regions))).record.identity
            for _ in range(4)
        ]

    assert set(asyncio.run(run())) == {expected}


def test_a_model_call_without_target_in_its_regions_is_refused_at_once():
    context = make_site_context()
    context.targets.mark_leaving("b", 1)
    dispatcher = dispatch.Dispatcher(context, None)
    with pytest.raises(responses.RequestError) as caught:
        asyncio.run(dispatcher.admit(make_model_call(SOUTH)))
    assert caught.value.error_detail.code is codes.NO_TARGET_IN_REGION


@pytest.mark.parametrize(("regions", "expected"), [(NORTH, "p"), (SOUTH, "q")])
def test_a_plain_call_goes_to_its_regions_alone(regions, expected):
    service = plain_calls.PlainCalls(make_site_context(), None, None)
    call = plain_calls.PlainCall(
        "fitter-portal", "POST", "/", {}, b"", "r-1", True, 1.0, regions
    )
    assert service._choose_target(call, set()).identity == expected
    with pytest.raises(responses.RequestError) as caught:
        service._choose_target(call, {expected})
    assert caught.value.error_detail.code is codes.NO_TARGET
    call.regions = frozenset({"west"})
    with pytest.raises(responses.RequestError) as caught:
        service._choose_target(call, set())
    assert caught.value.error_detail.code is codes.NO_TARGET_IN_REGION


@pytest.mark.parametrize(("regions", "expected"), [(NORTH, "s"), (SOUTH, "t")])
def test_blocks_are_loaded_from_and_kept_in_the_regions_alone(
    regions, expected
):
    context = make_site_context()
    cache = types.SimpleNamespace(context=context)
    call = make_model_call(regions)
    call.holdings = {"s": 3, "t": 3}
    record = context.targets.entries["a"].record
    best, blocks, _, _ = cache_lib.CacheService.best_store(cache, call, record)
    assert (best, blocks) == (expected, 3)
    chosen = cache_lib.CacheService._choose_store(cache, "anchor", regions)
    assert chosen.identity == expected


def test_the_regions_of_a_workspace_are_those_of_its_document():
    data = builders.make_document()
    data.workspaces["joinery"].regions = ["south"]
    assert regions_lib.call_regions(data, None, "joinery") == SOUTH
    assert regions_lib.call_regions(data, None, "kitchens") is None
    assert regions_lib.call_regions(data, None, None) is None
