"""Types of the document, decoded and type-checked by msgspec.

A target is a process that requests of a service are sent to. Its role follows
from the kind of its service: a runner, which is an inference engine with an
HTTP server, for a model service; a store of KV cache for a store service; any
other HTTP server for a plain service.

Services, workspaces and routes are encoded without the fields that have their
default value: an older build, which knows no unknown field, can decode them as
long as a new field is not used.
"""

from typing import Any
from typing import Literal

import msgspec


class EngineConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Properties that all runners (engines) of a model service share.

    Attributes:
        slots: Maximum number of requests in a runner's batch.
        kv_tokens: Capacity of a runner's KV cache, in tokens.
        bytes_per_token: Size of the KV cache of one token, in bytes.
        link_bytes_per_s: Bandwidth of a runner's link for KV cache
            transfers, in bytes per second.
        max_event_polls: Maximum number of concurrent long polls for cache
            events at a runner.
        models: Names of the models that the runners serve.
    """

    slots: int
    kv_tokens: int
    bytes_per_token: int = 1_024
    link_bytes_per_s: float = 100e6
    max_event_polls: int = 1
    models: list[str] = []


class StoreConfig(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A store that keeps KV cache for runners.

    Attributes:
        address: ``host:port`` of the store.
        zone: Availability zone of the store.
        kv_tokens: Capacity of the store, in tokens of KV cache.
        link_bytes_per_s: Bandwidth of its link, in bytes per second.
        setup_s: Fixed latency of each transfer, in seconds.
        max_event_polls: Maximum number of concurrent long polls for cache
            events at the store.
        managed: Whether chivelb controls eviction; the store evicts nothing
            on its own.
    """

    address: str
    zone: str
    kv_tokens: int
    link_bytes_per_s: float = 100e6
    setup_s: float = 0.0
    max_event_polls: int = 1
    managed: bool = False


# Instances of an older release refuse fields that they don't know; values that
# are not set are left out.
class Service(
    msgspec.Struct,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """A service that workspaces may call.

    Attributes:
        kind: ``model`` if the targets are runners of a model, ``store`` if
            they are stores of KV cache, ``plain`` for other services.
        model: Name of the model in ``models``; required for kind ``model``.
        goal: Optimization goal of the routing: ``latency`` gives most weight
            to the time to first token, ``reuse`` to recomputed prompt tokens
            and link use.
        policy: Name of the routing policy; see ``validation.POLICIES``.
        timeout_s: Timeout of a request that names the service, in seconds;
            a request matched by a route has the timeout of the route.
        repeatable: Whether requests may be retried after an unknown outcome.
        max_connections: Maximum number of connections that a target accepts
            from all instances together.
        engine: Properties of the runners; None for other services.
        store: The store; None for other services.
        cold_start_s: Time for which a target is cold after its start, in
            seconds; 0 if its targets have no cold time or report it.
        cold_requests_per_s: Requests a second that a cold target can handle,
            from all instances together; 0 for no limit.
    """

    kind: Literal["model", "plain", "store"] = "model"
    model: str | None = None
    goal: Literal["latency", "reuse"] = "latency"
    policy: str = "expected_cost"
    timeout_s: float = 60.0
    repeatable: bool = True
    max_connections: int = 1_000
    engine: EngineConfig | None = None
    store: StoreConfig | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


class Workspace(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """A tenant with its own API keys, queue limit and cache secret.

    Attributes:
        key_hashes: SHA-256 hex digests of its API keys.
        cache_secret: Hex secret from which the salt of its cache block keys
            is derived.
        services: Names of the services that it may call.
        weight: Scheduling weight relative to the other workspaces of the
            same class.
        max_queued: Maximum number of its requests of one service and class
            that wait at one instance.
        priority: Priority of its requests, 0 is the highest; None uses the
            priority of the route.
        isolated: Whether its cached prompts are not shared with any other
            workspace.
        regions: Regions whose targets its requests may use; empty for all.
    """

    key_hashes: list[str]
    cache_secret: str
    services: list[str]
    weight: float = 1.0
    max_queued: int = 256
    priority: int | None = None
    isolated: bool = True
    regions: list[str] = []


class Model(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A model and its named weight versions.

    Besides the named versions, to which ``rollout.AnnouncedRollout`` moves the
    runners, there are numbered ones: ``DocumentState.weights`` has the newest
    number requested by an operator, to which ``rollout.PolledRollout`` moves
    them. The version that a runner announces is a name or a number in decimal
    digits.

    Attributes:
        versions: Names of the weight versions that may be loaded.
        current: Name of the weight version that all runners are to serve.
        loads_at_once: Maximum number of runners that load weights at the
            same time.
        min_ready: Minimum number of runners that stay ready during a
            rollout.
    """

    versions: list[str]
    current: str
    loads_at_once: int = 3
    min_ready: int = 1


class CallRule(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Sets scheduling class and repeatability of a service's requests.

    Attributes:
        service: Name of the service.
        path: Path prefix, relative to the service, that the rule matches.
        methods: HTTP methods that the rule matches; empty matches all.
        repeatable: Whether matching requests may be retried after an unknown
            outcome.
        class_name: Scheduling class of matching requests.
    """

    service: str
    path: str = "/"
    methods: list[str] = []
    repeatable: bool = True
    class_name: str = "interactive"


class WeightedService(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Share of a route's requests that is sent to one service.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


class Route(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True
):
    """Routes requests with a given host and path prefix to services.

    Attributes:
        host: Host header of the requests, in lower case.
        path_prefix: Path prefix, with a slash at both ends.
        split: Services and their weights.
        kind: ``safe`` requests may be executed more than once, ``unsafe``
            requests at most once, and ``streaming`` requests at most once
            unless they are resumable.
        timeout_s: Timeout of a request, in seconds.
        target_latency_s: Latency objective in seconds; for streams, of the
            first event.
        target_gap_s: Objective for the time between two events of a stream,
            in seconds; 0 for none.
        patience_s: Seconds without an event after which callers of a stream
            disconnect, also before its first event; 0 if they wait for the
            whole stream.
        priority: Priority of the requests; 0 is the highest.
        max_attempts: Maximum number of attempts of a request, including the
            first; each attempt sends it to one target.
        public: Whether requests need no API key.
        resumable: Whether another runner may continue a stream.
        regions: Regions whose targets the requests may use; empty for all.
    """

    host: str
    path_prefix: str
    split: list[WeightedService]
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_s: float
    target_latency_s: float = 1.0
    target_gap_s: float = 0.0
    patience_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    regions: list[str] = []

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind == "safe" or (
            self.kind == "streaming" and self.resumable
        )


class Limits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Limits and policies of the whole site.

    Attributes:
        max_header_bytes: Maximum size of a request's header section.
        header_timeout_s: Maximum time to receive a request's header section.
        idle_timeout_s: Maximum idle time of a caller's connection.
        max_body_bytes: Maximum size of a request body.
        max_queue: Maximum number of requests of one service that wait at one
            instance.
        queue_deadline_s: Maximum queueing time of an interactive request.
        batch_deadline_s: Maximum queueing time of a batch request.
        class_weights: Relative share of each scheduling class.
        keeping: Retention policy of the stores: ``value`` keeps the blocks
            with the highest expected saving of time per byte, ``recency`` the
            most recently used ones, ``none`` keeps nothing.
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
    """The desired state of the whole site.

    Example:
        >>> Document().services
        {}
    """

    services: dict[str, Service] = {}
    workspaces: dict[str, Workspace] = {}
    models: dict[str, Model] = {}
    rules: dict[str, CallRule] = {}
    routes: dict[str, Route] = {}
    limits: Limits = msgspec.field(default_factory=Limits)


COLLECTIONS: dict[str, type[msgspec.Struct]] = {
    "services": Service,
    "workspaces": Workspace,
    "models": Model,
    "rules": CallRule,
    "routes": Route,
}


def decode_document(data: bytes) -> Document:
    """Decodes and type-checks a JSON document.

    Args:
        data: UTF-8 JSON.

    Returns:
        The document; ``validation.validate_document`` validates its names,
        references and bounds.

    Raises:
        msgspec.ValidationError: A value has the wrong type; the message has
            its path.
        msgspec.DecodeError: The data is not valid JSON.
    """
    return msgspec.json.decode(data, type=Document)


def encode_document(document: Document) -> bytes:
    """Encodes a document as canonical JSON with sorted keys."""
    return msgspec.json.encode(document, order="deterministic")


def describe_part(part: msgspec.Struct) -> dict[str, Any]:
    """Returns all fields of a part as built-in types, also default values."""
    return {
        field.name: msgspec.to_builtins(getattr(part, field.name))
        for field in msgspec.structs.fields(part)
    }


def redact(document: Document) -> dict:
    """Returns the document as built-in types, without its secrets."""
    redacted: dict[str, Any] = {
        collection: {
            name: describe_part(part)
            for name, part in getattr(document, collection).items()
        }
        for collection in COLLECTIONS
    }
    redacted["limits"] = msgspec.to_builtins(document.limits)
    for workspace in redacted["workspaces"].values():
        workspace["cache_secret"] = "(secret)"
    return redacted
