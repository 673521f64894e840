"""Builders of test data."""

import hashlib
import random

from chivelb_cli import samples
from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.document import changes
from chivelb_core.document import model as model_lib
from chivelb_core.kv_cache import messages as kv_cache_messages
from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
import msgspec


def make_document(**options) -> document.Document:
    data = samples.sample_document(
        workspaces=options.pop("workspaces", ["joinery", "kitchens"]),
        **options,
    )
    return msgspec.convert(data, document.Document)


def make_document_state(**options) -> document.DocumentState:
    return document.DocumentState(document=make_document(**options), version=1)


def make_change(change_id="c1", base=1, path="limits", value=None, **options):
    if value is None and path == "limits":
        value = {"max_queue": 77}
    return document.Change(
        change_id=change_id,
        base_version=base,
        operations=[changes.Operation(path, value)],
        **options,
    )


def make_replacement(number, new_document) -> changes.DocumentReplacement:
    return changes.DocumentReplacement(number, new_document, b"{}")


def encode_deltas(deltas) -> bytes:
    return msgspec.msgpack.encode(deltas)


def encode_state(context) -> bytes:
    """Returns the document state of a context, as instances send it."""
    return msgspec.msgpack.encode(context.document_state.to_replica())


def make_model(**options) -> model_lib.Model:
    """Returns a model of which two runners may load weights at a time."""
    values = {
        "versions": ["v1", "v2"],
        "current": "v1",
        "loads_at_once": 2,
        "min_ready": 2,
    }
    return model_lib.Model(**{**values, **options})


def make_record(identity="r1", **options) -> targets.TargetRecord:
    values = {
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:9000",
        "zone": "z1",
        "service": "estimator-lm",
        "model": "lm",
        "weight_version": "v1",
    }
    return targets.TargetRecord(identity=identity, **{**values, **options})


def make_reserve(keys, workspace="w", value=1.0, length=10):
    """Returns a request to reserve blocks at the store ``s``.

    ``value`` is the prefill time that a stored byte saves, in seconds;
    ``length`` is the size of each block, in bytes.
    """
    return kv_cache_messages.ReserveBlocks(
        "s", workspace, list(keys), length, value
    )


def make_lease(keys, reader="r"):
    """Returns a request for leases on blocks at the store ``s``."""
    return kv_cache_messages.LeaseBlocks("s", reader, list(keys))


def make_route(**options) -> document.Route:
    values = {
        "host": "a.example",
        "path_prefix": "/x/",
        "split": [document.WeightedService("lm")],
        "kind": "streaming",
        "timeout_s": 5.0,
    }
    return document.Route(**{**values, **options})


def make_engine(**options) -> document.EngineConfig:
    values = {
        "slots": 8,
        "kv_tokens": 100_000,
        "bytes_per_token": 1_000,
        "link_bytes_per_s": 1e9,
        "models": ["m"],
    }
    return document.EngineConfig(**{**values, **options})


def make_store(**options) -> document.Service:
    values = {
        "address": "127.0.0.1:7001",
        "zone": "z1",
        "kv_tokens": 50_000,
        "link_bytes_per_s": 1e9,
        "managed": True,
    }
    return document.Service(
        kind="store", store=document.StoreConfig(**{**values, **options})
    )


def make_routed_document(**options) -> document.Document:
    """Returns a document with a model service, a plain service and routes."""
    values = {
        "services": {
            "lm": document.Service(kind="model", engine=make_engine()),
            "web": document.Service(kind="plain"),
        },
        "workspaces": {
            "w": document.Workspace(
                key_hashes=[hashlib.sha256(b"key-w").hexdigest()],
                cache_secret="ab" * 16,
                services=[],
                isolated=False,
            )
        },
        "routes": {
            "quote": make_route(max_attempts=2, resumable=True),
            "once": make_route(path_prefix="/once/"),
            "pdf": make_route(
                path_prefix="/pdf/",
                kind="unsafe",
                split=[document.WeightedService("web")],
            ),
            "status": make_route(
                path_prefix="/status/",
                kind="safe",
                split=[document.WeightedService("web")],
                max_attempts=2,
            ),
        },
    }
    return document.Document(**{**values, **options})


def make_prompt(*sizes, tokens=None, **options) -> forwarding.Prompt:
    """Returns a prompt with parts p0, p1, ... of the given sizes in tokens."""
    parts = tuple(
        forwarding.Part(f"p{number}", size) for number, size in enumerate(sizes)
    )
    values = {
        "model": "m",
        "parts": parts,
        "tokens": tokens or sum(sizes),
        "max_output": 100,
    }
    return forwarding.Prompt(**{**values, **options})


def make_prompt_of(*part_ids, **options) -> forwarding.Prompt:
    """Returns a prompt with parts of given ids, of 100 tokens each."""
    parts = tuple(forwarding.Part(part_id, 100) for part_id in part_ids)
    values = {
        "model": "m",
        "parts": parts,
        "tokens": 100 * len(parts),
        "max_output": 20,
    }
    return forwarding.Prompt(**{**values, **options})


def make_call(route=None, **options) -> forwarding.Call:
    route = route or make_route()
    values = {
        "request_id": "r-1",
        "route_name": "quote",
        "route": route,
        "service": route.split[0].service,
        "workspace": "w",
        "priority": 0,
        "prompt": make_prompt(100, 200),
        "arrived_at": 0.0,
        "deadline": 10.0,
    }
    return forwarding.Call(**{**values, **options})


def make_context(
    current_document=None, **records
) -> context_lib.InstanceContext:
    """Returns the context of a ready instance with a current document.

    It has been running for some time.
    """
    settings = settings_lib.Settings(
        instance=settings_lib.Instance(name="i1", zone="z1")
    )
    context = context_lib.InstanceContext(settings, random.Random(1))
    document_state = document.DocumentState(
        document=current_document or make_routed_document(), version=1, number=1
    )
    context.apply_document_state(document_state)
    context.readiness.set()
    context.sources_known.set()
    context.startup_ends_at = 0.0
    for identity, options in records.items():
        record = make_record(identity, lease_s=0.0, **options)
        context.targets.announce(record, context_lib.monotonic())
    return context
