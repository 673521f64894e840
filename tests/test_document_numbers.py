"""Numbers in a document by which nothing can be served are refused."""

import json
import math
import random

import builders
from chivelb_core import document
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import fetch_plan
from chivelb_node.control import commands
from chivelb_node.forwarding import call_factory
from chivelb_platform import wire_document
import pytest

ENGINE = {"Slots": 4, "KvCapacity": 1_000, "Models": [{"Name": "m"}]}
ROUTE = {
    "Name": "r",
    "Host": "h",
    "PathPrefix": "/a/",
    "Kind": "safe",
    "TimeoutMs": 1_500,
    "Service": "s",
}


def encode_document(*, engine=None, route=None, store=None, **fields):
    services = [{"Name": "s", "Engine": {**ENGINE, **(engine or {})}}]
    services.append(
        {"Name": "t", "KvStoreAddr": "10.0.0.1:80", **(store or {})}
    )
    values = {
        "Version": 3,
        "Routes": [{**ROUTE, **(route or {})}],
        "Services": services,
        **fields,
    }
    return json.dumps(values).encode()


def make_split(*weights):
    split = [{"Service": "s", "Weight": weight} for weight in weights]
    return {"TrafficSplit": split}


# Guards against a document that is acknowledged and by which each request is
# answered 500 (division by zero, weights that add up to no number), and one
# that can't be encoded for the other instances.
@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"engine": {"Slots": 0}}, "services/s/engine/slots"),
        ({"engine": {"Slots": -3}}, "services/s/engine/slots"),
        ({"engine": {"KvCapacity": 0}}, "services/s/engine/kv_tokens"),
        ({"engine": {"LinkMbps": 0}}, "services/s/engine/link_bytes_per_s"),
        ({"engine": {"LinkMbps": 1e308}}, "services/s/engine/link_bytes_per_s"),
        ({"store": {"LinkMbps": 0}}, "services/t/store/link_bytes_per_s"),
        ({"route": make_split(1e308, 1e308)}, "add up"),
        ({"route": make_split(0, 0)}, "add up"),
        ({"Version": 10**30}, "Version|number"),
        ({"route": {"Priority": 10**30}}, "riority|number"),
        ({"engine": {"KvCapacity": 10**30}}, "KvCapacity|number"),
    ],
)
def test_a_document_by_which_nothing_can_run_is_refused(fields, named):
    with pytest.raises(wire_document.DocumentError, match=named):
        wire_document.decode_replacement(encode_document(**fields))


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"route": make_split(1e307, 0)},
        {"route": make_split(5e-324)},
        {"store": {"KvCapacity": 0}},
    ],
)
def test_a_document_with_odd_but_usable_numbers_is_accepted(fields):
    replacement = wire_document.decode_replacement(encode_document(**fields))
    data = commands.encode(replacement)
    assert commands.decode_replacement(data) == replacement


# Guards against a division by zero for a target that tells of no slots.
@pytest.mark.parametrize("slots", [0, -2])
def test_a_plain_target_without_slots_has_no_room(slots):
    context = builders.make_context()
    full = builders.make_record("full", service="p", slots=slots)
    sound = builders.make_record("sound", service="p", slots=1)

    def choose(*records):
        return choice.choose_plain_target(
            records,
            load=context.load,
            zone="z1",
            now=0.0,
            rng=random.Random(1),
        )

    assert choose(full) is None
    assert choose(full, sound).candidate.record is sound


# Guards against a 500 by a document that an older build acknowledged.
def test_a_document_in_force_without_room_is_no_exception():
    runner = builders.make_record("r")
    engine = document.EngineConfig(slots=4, kv_tokens=0, link_bytes_per_s=0)
    candidate = choice.TargetCandidate(runner, 0)
    call = builders.make_call()
    assert not choice.has_capacity(call, candidate, engine)
    link = fetch_plan.Link("10.0.0.1:80", "z1", 0.0, 0.0, True)
    assert fetch_plan.fetch_time_s(5, link, "z1", engine) == math.inf
    shares = [document.WeightedService(name, 1e308) for name in ("a", "b")]
    route = builders.make_route(split=shares)
    services = {
        call_factory._pick_service(route, random.Random(seed))
        for seed in range(20)
    }
    assert services == {"a", "b"}
