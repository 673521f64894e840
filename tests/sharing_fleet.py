"""Instances whose documents isolate workspaces, and requests to them."""

import hashlib

import builders
from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core.document import state as state_lib
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.forwarding import call_factory
from chivelb_node.forwarding import placement as placement_lib


def make_document(isolated_by_name) -> document.Document:
    """Returns a document whose workspaces are isolated, or not, by name."""
    workspaces = {
        name: document.Workspace(
            key_hashes=[hashlib.sha256(f"key-{name}".encode()).hexdigest()],
            cache_secret="ab" * 16,
            services=[],
            isolated=isolated,
        )
        for name, isolated in isolated_by_name.items()
    }
    return builders.make_routed_document(workspaces=workspaces)


def replace(document_state, isolated_by_name) -> None:
    """Applies the operator's next document, as a voter does."""
    document_state.replace(
        builders.make_replacement(
            document_state.number + 1, make_document(isolated_by_name)
        )
    )


def make_states(documents) -> list[document.DocumentState]:
    """Returns the state of a voter after each of the operator's documents."""
    voter = document.DocumentState()
    states = []
    for isolated_by_name in documents:
        replace(voter, isolated_by_name)
        states.append(copy_state(voter))
    return states


def copy_state(document_state) -> document.DocumentState:
    """Returns the state that an instance learns which had none before."""
    return state_lib.decode_document_state(
        state_lib.encode_document_state(document_state)
    )


def make_context(document_state) -> context_lib.InstanceContext:
    """Returns the context of an instance that knows one runner."""
    context = builders.make_context(
        document_state.document,
        r1={"service": "lm", "weight_version": "1"},
    )
    context.version = -1
    context.apply_document_state(document_state)
    return context


def make_call(context, workspace, model="m") -> forwarding.Call:
    """Returns the call of a request that a workspace sends."""
    return call_factory.create_call(
        context,
        call_factory.RequestHead(
            request_id="r-1",
            host="a.example",
            path="/x/",
            key=f"key-{workspace}",
            wait_s=None,
            prompt=builders.make_prompt(100, 200, model=model),
            at=context_lib.monotonic(),
        ),
    )


def place(context, call) -> str:
    """Returns the salt with which a call is sent to a runner now."""
    policy = placement_lib.PlacementPolicy(context, parts_lib.PartDirectory())
    return policy.place(call, context_lib.monotonic()).salt


def salt_of(document_state, workspace, model="m") -> str:
    """Returns the salt of a workspace's request to an instance."""
    context = make_context(document_state)
    return place(context, make_call(context, workspace, model))
