"""Typed parts of the document, decoded and type-checked by msgspec."""

from typing import Literal

import msgspec


class Service(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A service that workspaces may call.

    Attributes:
        kind: ``model`` for model engines, ``plain`` for other services.
        model: Name of the model in ``models``; required for kind ``model``.
        goal: ``latency`` weighs time to first token most, ``reuse`` weighs
            recomputed prompt work and link use most.
        policy: Name of the routing policy.
        timeout_s: Seconds until a call is given up.
        repeatable: Whether calls may be sent again after an unknown outcome.
    """

    kind: Literal["model", "plain"] = "model"
    model: str | None = None
    goal: Literal["latency", "reuse"] = "latency"
    policy: str = "expected_cost"
    timeout_s: float = 60.0
    repeatable: bool = True


class Workspace(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A customer's isolated space.

    Attributes:
        key_hashes: SHA-256 hex digests of its bearer keys.
        cache_secret: Hex secret that its cache block keys are bound to.
        services: Names of the services that it may call.
        weight: Share relative to other workspaces of its class.
        max_queued: Most requests that wait at one instance.
    """

    key_hashes: list[str]
    cache_secret: str
    services: list[str]
    weight: float = 1.0
    max_queued: int = 256


class Model(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A model and its weight versions.

    Attributes:
        versions: Names of the versions that may be loaded.
        current: The version that new requests use.
        loads_at_once: Most runners that load weights at the same time.
        min_ready: Fewest runners that stay ready during a swap.
    """

    versions: list[str]
    current: str
    loads_at_once: int = 3
    min_ready: int = 1


class Rule(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Ties a service's calls to a class and to repeatability.

    Attributes:
        service: Name of the service.
        path: Path prefix below the service that the rule covers.
        methods: HTTP methods that the rule covers; empty covers all.
        repeatable: Whether matching calls may be sent again.
        class_name: Scheduling class of matching calls.
    """

    service: str
    path: str = "/"
    methods: list[str] = []
    repeatable: bool = True
    class_name: str = "interactive"


class Limits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Bounds that hold for the whole site.

    Attributes:
        max_body_bytes: Largest request body.
        max_queue: Most requests that wait at one instance.
        queue_deadline_s: Longest wait of an interactive request.
        batch_deadline_s: Longest wait of a batch request.
        class_weights: Relative share of each scheduling class.
        keeping: What stores keep: ``value`` by expected saving, ``recency``
            by last use, ``none`` nothing.
    """

    max_body_bytes: int = 1_048_576
    max_queue: int = 2_000
    queue_deadline_s: float = 10.0
    batch_deadline_s: float = 120.0
    class_weights: dict[str, float] = msgspec.field(
        default_factory=lambda: {"interactive": 8.0, "batch": 1.0}
    )
    keeping: Literal["value", "recency", "none"] = "value"


class Document(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The whole intended state.

    Example:
        >>> Document().services
        {}
    """

    services: dict[str, Service] = {}
    workspaces: dict[str, Workspace] = {}
    models: dict[str, Model] = {}
    rules: dict[str, Rule] = {}
    limits: Limits = msgspec.field(default_factory=Limits)


COLLECTIONS: dict[str, type[msgspec.Struct]] = {
    "services": Service,
    "workspaces": Workspace,
    "models": Model,
    "rules": Rule,
}


def decode_document(data: bytes) -> Document:
    """Decodes and type-checks a JSON document.

    Args:
        data: UTF-8 JSON.

    Returns:
        The document; its meaning is checked by ``checks.find_problems``.

    Raises:
        msgspec.ValidationError: A value has the wrong type, with its path.
        msgspec.DecodeError: The data is not JSON.
    """
    return msgspec.json.decode(data, type=Document)


def encode_document(document: Document) -> bytes:
    """Encodes a document as canonical JSON with sorted keys."""
    return msgspec.json.encode(document, order="deterministic")


def redact(document: Document) -> dict:
    """Returns the document as plain data without its secrets."""
    plain = msgspec.to_builtins(document)
    for workspace in plain["workspaces"].values():
        workspace["cache_secret"] = "(secret)"
    return plain
