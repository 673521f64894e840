"""Validates a type-checked document: names, references and bounds."""

from collections.abc import Iterator
import difflib
import math
import re

import msgspec

from chivelb_core.document import model as model_lib

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_SHA256_HEX_PATTERN = re.compile(r"[0-9a-f]{64}")
_SECRET_HEX_PATTERN = re.compile(r"([0-9a-f]{2}){16,64}")

# Longest time for which a target may be cold after its start.
MAX_COLD_START_S = 3_600.0
# Names of the routing policies: how a target is chosen for a request, and
# whether cached blocks of its prompt are loaded from a store (KV cache, not
# weights) or their tokens recomputed.
# expected_cost: the lowest expected cost, with the cheaper of load and
#   recomputation.
# random, round_robin: a random target, or the targets in rotation.
# least_loaded: the least loaded target, without regard to its cache.
# prefix_affinity: rendezvous hashing of the prompt's anchor.
# recompute_always: the lowest expected time, never loading from a store.
# load_always: the least loaded target, loading all blocks that a store has.
POLICIES: tuple[str, ...] = (
    "expected_cost",
    "random",
    "round_robin",
    "least_loaded",
    "prefix_affinity",
    "recompute_always",
    "load_always",
)


class Problem(msgspec.Struct, frozen=True):
    """One validation error of a document.

    A single error of another operation is a ``codes.ErrorDetail``.

    Attributes:
        path: Path of the invalid value, such as
            ``services/estimator-lm/model``.
        message: What is wrong, with the valid values.
    """

    path: str
    message: str


def describe_choices(value: str, choices: list[str]) -> str:
    """Returns a message with the valid choices and the closest match."""
    closest = difflib.get_close_matches(value, choices, n=1)
    listing = ", ".join(sorted(choices)) or "(none)"
    hint = f"; did you mean {closest[0]!r}?" if closest else ""
    return f"{value!r} is not one of: {listing}{hint}"


def validate_document(document: model_lib.Document) -> list[Problem]:
    """Validates names, references and bounds.

    Args:
        document: A type-checked document.

    Returns:
        All problems, sorted by path; empty if the document is valid.
    """
    problems = [
        *_name_problems(document),
        *_service_problems(document),
        *_workspace_problems(document),
        *_model_problems(document),
        *_rule_problems(document),
        *_route_problems(document),
        *_limit_problems(document),
    ]
    return sorted(problems, key=lambda problem: problem.path)


def validate_routes(document: model_lib.Document) -> list[Problem]:
    """Validates only routes, workspaces, limits and capacities.

    Names are not validated: a document that an operator replaces as a whole
    may come from a tool with its own naming rules.

    Args:
        document: A type-checked document.

    Returns:
        All problems, sorted by path; empty if the document is valid.
    """
    problems = [
        *_workspace_problems(document),
        *_route_problems(document),
        *_limit_problems(document),
        *_capacity_problems(document),
    ]
    return sorted(problems, key=lambda problem: problem.path)


def _capacity_problems(document: model_lib.Document) -> Iterator[Problem]:
    """Yields numbers by which no request could run.

    Changes of parts are not validated so: instances of an older build apply
    them too, and must come to the same result.
    """
    for name, service in document.services.items():
        engine, store = service.engine, service.store
        yield from _cold_start_problems(f"services/{name}", service)
        if engine is not None:
            path = f"services/{name}/engine"
            yield from _positive(f"{path}/slots", engine.slots)
            yield from _positive(f"{path}/kv_tokens", engine.kv_tokens)
            yield from _positive(
                f"{path}/link_bytes_per_s", engine.link_bytes_per_s
            )
        if store is not None:
            yield from _positive(
                f"services/{name}/store/link_bytes_per_s",
                store.link_bytes_per_s,
            )
    for name, route in document.routes.items():
        if not math.isfinite(sum(share.weight for share in route.split)):
            yield Problem(
                f"routes/{name}/split",
                "the weights must add up to a finite number",
            )


def _cold_start_problems(
    path: str, service: model_lib.Service
) -> Iterator[Problem]:
    if not 0 <= service.cold_start_s <= MAX_COLD_START_S:
        yield Problem(
            f"{path}/cold_start_s",
            f"{service.cold_start_s} must be from 0 to {MAX_COLD_START_S:g}",
        )
    if not 0 <= service.cold_requests_per_s < math.inf:
        yield Problem(
            f"{path}/cold_requests_per_s",
            f"{service.cold_requests_per_s} must be finite and not negative",
        )


def _positive(path: str, value: float) -> Iterator[Problem]:
    if not 0 < value < math.inf:
        yield Problem(path, f"{value} must be above 0 and finite")


def _name_problems(document: model_lib.Document) -> Iterator[Problem]:
    for collection in model_lib.COLLECTIONS:
        for name in getattr(document, collection):
            if not _NAME_PATTERN.fullmatch(name):
                yield Problem(
                    f"{collection}/{name}",
                    f"{name!r} must be 1 to 63 lower-case letters, digits "
                    "and '-', and must not start with '-'",
                )


def _service_problems(document: model_lib.Document) -> Iterator[Problem]:
    for name, service in document.services.items():
        path = f"services/{name}"
        if service.kind == "model":
            if service.model not in document.models:
                yield Problem(
                    f"{path}/model",
                    describe_choices(str(service.model), list(document.models)),
                )
        elif service.model is not None:
            yield Problem(
                f"{path}/model",
                f"a {service.kind} service must not have a model",
            )
        if service.kind == "store" and service.store is None:
            yield Problem(f"{path}/store", "a store service must have a store")
        if service.policy not in POLICIES:
            yield Problem(
                f"{path}/policy",
                describe_choices(service.policy, list(POLICIES)),
            )
        if not 0 < service.timeout_s <= 3600:
            yield Problem(
                f"{path}/timeout_s",
                f"{service.timeout_s} must be above 0 and at most 3600",
            )
        yield from _cold_start_problems(path, service)


def _workspace_problems(document: model_lib.Document) -> Iterator[Problem]:
    key_owners: dict[str, str] = {}
    secret_owners: dict[str, str] = {}
    for name, workspace in document.workspaces.items():
        path = f"workspaces/{name}"
        for key_hash in workspace.key_hashes:
            if not _SHA256_HEX_PATTERN.fullmatch(key_hash):
                yield Problem(
                    f"{path}/key_hashes", "must be SHA-256 hex digests"
                )
            if key_owners.setdefault(key_hash, name) != name:
                yield Problem(
                    f"{path}/key_hashes",
                    f"has a key of workspace {key_owners[key_hash]!r}",
                )
        if not _SECRET_HEX_PATTERN.fullmatch(workspace.cache_secret):
            yield Problem(
                f"{path}/cache_secret", "must be 16 to 64 bytes in hex"
            )
        if secret_owners.setdefault(workspace.cache_secret, name) != name:
            yield Problem(
                f"{path}/cache_secret",
                "is also the secret of workspace "
                f"{secret_owners[workspace.cache_secret]!r}",
            )
        for service in workspace.services:
            if service not in document.services:
                yield Problem(
                    f"{path}/services",
                    describe_choices(service, list(document.services)),
                )
        if not 0 < workspace.weight <= 1000:
            yield Problem(
                f"{path}/weight",
                f"{workspace.weight} must be above 0 and at most 1000",
            )
        if workspace.max_queued < 1:
            yield Problem(f"{path}/max_queued", "must be at least 1")


def _model_problems(document: model_lib.Document) -> Iterator[Problem]:
    for name, model in document.models.items():
        path = f"models/{name}"
        if model.current not in model.versions:
            yield Problem(
                f"{path}/current",
                describe_choices(model.current, model.versions),
            )
        if model.loads_at_once < 1:
            yield Problem(f"{path}/loads_at_once", "must be at least 1")
        if model.min_ready < 0:
            yield Problem(f"{path}/min_ready", "must not be negative")


def _rule_problems(document: model_lib.Document) -> Iterator[Problem]:
    classes = list(document.limits.class_weights)
    for name, rule in document.rules.items():
        path = f"rules/{name}"
        if rule.service not in document.services:
            yield Problem(
                f"{path}/service",
                describe_choices(rule.service, list(document.services)),
            )
        if rule.class_name not in classes:
            yield Problem(
                f"{path}/class_name", describe_choices(rule.class_name, classes)
            )
        if not rule.path.startswith("/"):
            yield Problem(f"{path}/path", "must start with '/'")


def _route_problems(document: model_lib.Document) -> Iterator[Problem]:
    routes_by_location: dict[tuple[str, str], str] = {}
    for name, route in document.routes.items():
        path = f"routes/{name}"
        for share in route.split:
            if share.service not in document.services:
                yield Problem(
                    f"{path}/split",
                    describe_choices(share.service, list(document.services)),
                )
            if share.weight < 0:
                yield Problem(
                    f"{path}/split", f"{share.weight} must not be negative"
                )
        if sum(share.weight for share in route.split) <= 0:
            yield Problem(
                f"{path}/split", "the weights must add up to more than 0"
            )
        if route.timeout_s <= 0:
            yield Problem(f"{path}/timeout_s", "must be above 0")
        if route.path_prefix[:1] != "/" or route.path_prefix[-1:] != "/":
            yield Problem(f"{path}/path_prefix", "must start and end with '/'")
        location = (route.host, route.path_prefix)
        if routes_by_location.setdefault(location, name) != name:
            yield Problem(
                f"{path}/path_prefix",
                f"route {routes_by_location[location]!r} has the same host "
                "and prefix",
            )


def _limit_problems(document: model_lib.Document) -> Iterator[Problem]:
    limits = document.limits
    if not 1024 <= limits.max_body_bytes <= 67_108_864:
        yield Problem("limits/max_body_bytes", "must be from 1024 to 67108864")
    if limits.max_queue < 1:
        yield Problem("limits/max_queue", "must be at least 1")
    if limits.queue_deadline_s <= 0 or limits.batch_deadline_s <= 0:
        yield Problem("limits/queue_deadline_s", "must be above 0")
    if "interactive" not in limits.class_weights:
        yield Problem(
            "limits/class_weights", "must have the class 'interactive'"
        )
    for class_name, weight in limits.class_weights.items():
        if not 0 < weight <= 1000:
            yield Problem(
                f"limits/class_weights/{class_name}",
                f"{weight} must be above 0 and at most 1000",
            )
