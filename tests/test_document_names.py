"""Names in a document are data: any text that JSON allows is a name."""

import asyncio

import builders
from chivelb_core import document
from chivelb_core.document import changes
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import part_paths
from chivelb_core.document import state as state_lib
from chivelb_node.wire import messages
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import replicas as replicas_lib

ODD_NAMES = (
    "",
    "/",
    "quotes/full",
    "a//b/",
    "..",
    "a%2Fb",
    " ",
    "limits",
    "routes/limits",
    "\x00",
    "a\nb",
    "\u2028",
    "\U0001f4c8",
    "x" * 5_000,
)


def replace(document_state, **collections):
    """Replaces the document by one that has only the given collections."""
    replacement = builders.make_replacement(
        document_state.number + 1, document.Document(**collections)
    )
    assert document_state.replace(replacement)


# Guards against a name with a slash that is acknowledged and ends the
# instances that apply its delta.
@pytest.mark.parametrize("name", ODD_NAMES)
@pytest.mark.parametrize("collection", ["routes", "services", "workspaces"])
def test_a_delta_adds_and_removes_a_part_of_any_name(collection, name):
    part = {
        "routes": builders.make_route(),
        "services": document.Service(kind="plain"),
        "workspaces": document.Workspace(
            key_hashes=[], cache_secret="00", services=[]
        ),
    }[collection]
    document_state = document.DocumentState()
    replica = document_state.to_replica()
    replace(document_state, **{collection: {name: part, "other": part}})
    replica = replica.apply_deltas(document_state.deltas_since(0))
    assert replica.document == document_state.document
    replace(document_state, **{collection: {"other": part}})
    replica = replica.apply_deltas(document_state.deltas_since(1))
    assert list(getattr(replica.document, collection)) == ["other"]


# Guards against two parts with one path, of which one delta would take the
# place of the other.
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from(["routes", "services", "models"]),
    strategies.text() | strategies.sampled_from(ODD_NAMES),
)
def test_a_path_names_one_part(collection, name):
    path = part_paths.encode(collection, name)
    assert part_paths.decode(path) == (collection, name)
    assert path == f"{collection}/{name}"


@pytest.mark.parametrize("path", ["", "limits", "routes", "nothing/a", "/a"])
def test_a_path_without_a_known_collection_names_no_part(path):
    assert part_paths.decode(path) is None


# Guards against voters of two builds that judge one change differently.
@pytest.mark.parametrize("name", ["", "quotes/full"])
def test_a_change_must_not_name_a_part_with_a_slash_or_without_a_name(name):
    route = builders.make_route()
    before = document.Document(routes={name: route})
    for value in (None, msgspec.to_builtins(route)):
        operation = changes.Operation(f"routes/{name}", value)
        _, problems = changes.apply_operations(before, [operation])
        assert "is not one of" in problems[0].message


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01", b"\xa1\xff"])
def test_bytes_that_are_no_state_or_deltas_are_a_typed_error(data):
    with pytest.raises(deltas_lib.StateError):
        state_lib.decode_document_state(data)
    with pytest.raises(deltas_lib.StateError):
        deltas_lib.decode_deltas(data)


UNUSABLE_DELTA = deltas_lib.DocumentDelta(
    2, "c", "", [changes.Operation("nothing/of-this", {})]
)


# Guards against a delta that ends the instance which can't apply it.
@pytest.mark.parametrize(
    "payload", [builders.encode_deltas([UNUSABLE_DELTA]), b"\xc1"]
)
def test_the_whole_document_takes_the_place_of_an_unusable_delta(payload):
    members = replicas_lib.make_members(control_count=3, entry_count=3)
    replicas, network = replicas_lib.make_replicas(members)
    replica = replicas["front-0"]
    for name in ("core-0", "core-1", "core-2"):
        context = replicas[name].context
        document_state = context.document_state.to_replica()
        replace(document_state, routes={"a/b": builders.make_route()})
        context.apply_document_state(document_state)
    bodies = [messages.Deltas(1, payload), messages.FullDocument(2, b"\xc1")]

    async def run():
        await replica.start()
        for body in bodies:
            replica._on_deltas("core-0", body)
        async with asyncio.timeout(10):
            while replica.context.version < 2:
                await asyncio.sleep(0.01)
        await replica.stop()

    asyncio.run(run())
    assert list(replica.context.document.routes) == ["a/b"]
    assert [body.have for _, _, body in network.requests][-1] == 0
