"""Typed parts of the document, decoded and type-checked by msgspec."""

from typing import Literal

import msgspec


class Engine(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What all runners of a model service have in common.

    Attributes:
        slots: Requests that a runner batches at once.
        kv_tokens: Tokens of KV cache that a runner's memory holds.
        bytes_per_token: Size of one token's KV cache.
        link_bytes_per_s: Rate of a runner's link for KV cache.
        max_event_polls: Cache event polls that a runner holds at once.
        models: Names of the models that the runners serve.
    """

    slots: int
    kv_tokens: int
    bytes_per_token: int = 1_024
    link_bytes_per_s: float = 100e6
    max_event_polls: int = 1
    models: list[str] = []


class Store(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """An instance that keeps KV cache for runners.

    Attributes:
        address: ``host:port`` of the store.
        zone: Its availability zone.
        kv_tokens: Tokens of KV cache that it holds.
        link_bytes_per_s: Rate of its link.
        setup_s: Seconds that each transfer waits in addition.
        max_event_polls: Cache event polls that it holds at once.
        managed: Whether it drops nothing unless told to.
    """

    address: str
    zone: str
    kv_tokens: int
    link_bytes_per_s: float = 100e6
    setup_s: float = 0.0
    max_event_polls: int = 1
    managed: bool = False


class Service(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A service that workspaces may call.

    Attributes:
        kind: ``model`` for model engines, ``store`` for stores of KV cache,
            ``plain`` for other services.
        model: Name of the model in ``models``; required for kind ``model``.
        goal: ``latency`` weighs time to first token most, ``reuse`` weighs
            recomputed prompt work and link use most.
        policy: Name of the routing policy.
        timeout_s: Seconds until a call is given up.
        repeatable: Whether calls may be sent again after an unknown outcome.
        max_connections: Connections that a target takes from all instances.
        engine: What the runners have in common; None for other services.
        store: The store; None for other services.
    """

    kind: Literal["model", "plain", "store"] = "model"
    model: str | None = None
    goal: Literal["latency", "reuse"] = "latency"
    policy: str = "expected_cost"
    timeout_s: float = 60.0
    repeatable: bool = True
    max_connections: int = 1_000
    engine: Engine | None = None
    store: Store | None = None


class Workspace(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A customer's isolated space.

    Attributes:
        key_hashes: SHA-256 hex digests of its bearer keys.
        cache_secret: Hex secret that its cache block keys are bound to.
        services: Names of the services that it may call.
        weight: Share relative to other workspaces of its class.
        max_queued: Most requests that wait at one instance.
        priority: Rank of its requests, 0 first; None leaves it to the route.
        isolated: Whether it shares no cached prompt with any other one.
    """

    key_hashes: list[str]
    cache_secret: str
    services: list[str]
    weight: float = 1.0
    max_queued: int = 256
    priority: int | None = None
    isolated: bool = True


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


class Share(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Ties requests of a host and path to services.

    Attributes:
        host: Host that the request names, in lower case.
        path_prefix: Start of the paths, with a slash at both ends.
        split: Services and their weights.
        kind: ``safe`` requests may run more than once, ``unsafe`` ones at
            most once, ``streaming`` ones too unless they may be resumed.
        timeout_s: Longest time that a caller is kept waiting.
        target_latency_s: Latency objective; for streams, of the first event.
        target_gap_s: Longest pause between events on time; 0 for none.
        patience_s: Silence after which callers of a stream leave, also
            before its first event; 0 when they stay to the end.
        priority: Rank of the requests; 0 is first.
        max_attempts: Most targets that one request is sent to.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another runner.
    """

    host: str
    path_prefix: str
    split: list[Share]
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_s: float
    target_latency_s: float = 1.0
    target_gap_s: float = 0.0
    patience_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (
            self.kind == "streaming" and self.resumable
        )


class Limits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Bounds that hold for the whole site.

    Attributes:
        max_header_bytes: Largest head of a request.
        header_timeout_s: Longest time that the head of a request may take.
        idle_timeout_s: Longest time that a caller's connection may be idle.
        max_body_bytes: Largest request body.
        max_queue: Most requests that wait at one instance.
        queue_deadline_s: Longest wait of an interactive request.
        batch_deadline_s: Longest wait of a batch request.
        class_weights: Relative share of each scheduling class.
        keeping: What stores keep: ``value`` by expected saving, ``recency``
            by last use, ``none`` nothing.
    """

    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
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
    routes: dict[str, Route] = {}
    limits: Limits = msgspec.field(default_factory=Limits)


COLLECTIONS: dict[str, type[msgspec.Struct]] = {
    "services": Service,
    "workspaces": Workspace,
    "models": Model,
    "rules": Rule,
    "routes": Route,
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
