"""Any valid document is accepted, replicated, applied and served by.

The documents have names, hosts, keys and lengths of all that JSON allows.
"""

import json

import builders
from chivelb_core import document
from chivelb_core.document import state as state_lib
from chivelb_node import context as context_lib
from chivelb_node.control import commands
from chivelb_node.forwarding import call_factory
from chivelb_node.wire import codec
from chivelb_node.wire import messages
from chivelb_platform import wire_document
import hypothesis
from hypothesis import strategies
import replicas as replicas_lib

texts = (
    strategies.text(max_size=12)
    | strategies.sampled_from(["", "/", "a/b", "a", "a#1", "a%2Fb", "limits"])
    | strategies.builds(
        str.__mul__, strategies.sampled_from("a/é"), strategies.just(3_000)
    )
)
route_names = strategies.sampled_from(["a", "a#0", "a#1", "a#2"]) | texts
kinds = strategies.sampled_from(["safe", "unsafe", "streaming"])
weights = strategies.floats(0, 1e300) | strategies.integers(0, 100)
# Names in a header: any text without control characters.
tenant_names = strategies.text(
    strategies.characters(exclude_categories=["Cc", "Cs"]), max_size=12
) | strategies.sampled_from(["a/b", "a#1", "é" * 3_000])


@strategies.composite
def documents(draw, version):
    """Returns a document that the pages allow, as built-in types."""
    names = draw(strategies.lists(texts, min_size=1, max_size=4, unique=True))
    routes = []
    for index in range(draw(strategies.integers(0, 5))):
        split = [
            {"Service": draw(strategies.sampled_from(names)), "Weight": weight}
            for weight in draw(strategies.lists(weights, max_size=3))
        ]
        route = {
            # Names of routes may repeat.
            "Name": draw(route_names),
            "Host": draw(texts),
            "PathPrefix": f"/{index}/",
            "Kind": draw(kinds),
            "TimeoutMs": draw(strategies.integers(1, 10**9)),
            "Public": draw(strategies.booleans()),
        }
        if sum(share["Weight"] for share in split) > 0:
            route["TrafficSplit"] = split
        else:
            route["Service"] = draw(strategies.sampled_from(names))
        routes.append(route)
    keys = draw(strategies.lists(texts, max_size=4, unique=True))
    tenants = draw(strategies.lists(tenant_names, max_size=3, unique=True))
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": name} for name in names],
        "Tenants": [
            {"Name": name, "ApiKeys": keys[index :: len(tenants)]}
            for index, name in enumerate(tenants)
        ],
    }


def serve(context, raw):
    """Checks that each route and key of a document is served."""
    services_by_prefix = {
        route["PathPrefix"]: (
            {share["Service"] for share in route["TrafficSplit"]}
            if "TrafficSplit" in route
            else {route["Service"]}
        )
        for route in raw["Routes"]
    }
    names_by_key = {
        key: tenant["Name"]
        for tenant in raw["Tenants"]
        for key in tenant["ApiKeys"]
    }
    keys = names_by_key or ({} if raw["Tenants"] else {None: None})
    for route in raw["Routes"]:
        for key, name in keys.items():
            head = call_factory.RequestHead(
                request_id="q",
                host=route["Host"],
                path=route["PathPrefix"] + "x",
                key=key,
                wait_s=None,
                prompt=None,
                at=context_lib.monotonic(),
            )
            call = call_factory.create_call(context, head)
            assert call.service in services_by_prefix[route["PathPrefix"]]
            assert call.service in context.document.services
            assert call.workspace == (None if route["Public"] else name)


# Guards against a document that is acknowledged and then ends an instance, or
# is not served by: the names of the review's case 2, and others.
@hypothesis.settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(documents(version=1), documents(version=2))
def test_any_valid_document_is_replicated_and_served_by(first, second):
    members = replicas_lib.make_members(control_count=1, entry_count=1)
    replicas, _ = replicas_lib.make_replicas(members)
    voter_state = document.DocumentState()
    context = replicas["front-0"].context
    context.version = 0
    context.document_state = document.DocumentState()
    for raw in (first, second):
        replacement = wire_document.decode_replacement(json.dumps(raw).encode())
        command = commands.decode_replacement(commands.encode(replacement))
        assert voter_state.replace(command)
        deltas = voter_state.deltas_since(voter_state.version - 1)
        body = messages.Deltas(
            voter_state.version - 1, builders.encode_deltas(deltas)
        )
        received = codec.decode(codec.encode(codec.Envelope(body))).body
        replicas["front-0"]._on_deltas("core-0", received)
        assert context.version == voter_state.version
        assert context.document == voter_state.document
        data = state_lib.encode_replica(voter_state, 10**6)
        restored = state_lib.decode_document_state(data)
        assert restored.document == voter_state.document
        serve(context, raw)
