"""Checks of the document's meaning; every problem names its path."""

from collections.abc import Iterator
import difflib
import re

import msgspec

from chivelb_core.document import model as model_lib

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HEX_SHA256 = re.compile(r"[0-9a-f]{64}")
_HEX_SECRET = re.compile(r"([0-9a-f]{2}){16,64}")

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
    """One fault of a document.

    Attributes:
        path: Where it is, such as ``services/estimator-lm/model``.
        message: What is wrong, with the valid choices.
    """

    path: str
    message: str


def suggest(value: str, choices: list[str]) -> str:
    """Names the valid choices and the nearest match of a wrong value."""
    near = difflib.get_close_matches(value, choices, n=1)
    listed = ", ".join(sorted(choices)) or "(none)"
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"{value!r} is not one of: {listed}{hint}"


def find_problems(document: model_lib.Document) -> list[Problem]:
    """Checks names, references and bounds.

    Args:
        document: A type-checked document.

    Returns:
        All problems, in order of their paths; empty when it is valid.
    """
    found = [
        *_name_problems(document),
        *_service_problems(document),
        *_workspace_problems(document),
        *_model_problems(document),
        *_rule_problems(document),
        *_route_problems(document),
        *_limit_problems(document),
    ]
    return sorted(found, key=lambda problem: problem.path)


def find_route_problems(document: model_lib.Document) -> list[Problem]:
    """Checks what requests are served by: routes, workspaces and limits.

    Names are taken as they are: a document that an operator replaces as a
    whole may come from a tool with naming rules of its own.

    Args:
        document: A type-checked document.

    Returns:
        All problems, in order of their paths; empty when it is valid.
    """
    found = [
        *_workspace_problems(document),
        *_route_problems(document),
        *_limit_problems(document),
    ]
    return sorted(found, key=lambda problem: problem.path)


def _name_problems(document: model_lib.Document) -> Iterator[Problem]:
    for collection in model_lib.COLLECTIONS:
        for name in getattr(document, collection):
            if not _NAME.fullmatch(name):
                yield Problem(
                    f"{collection}/{name}",
                    f"{name!r} must be lower-case letters, digits and '-', "
                    "at most 63",
                )


def _service_problems(document: model_lib.Document) -> Iterator[Problem]:
    for name, service in document.services.items():
        path = f"services/{name}"
        if service.kind == "model":
            if service.model not in document.models:
                yield Problem(
                    f"{path}/model",
                    suggest(str(service.model), list(document.models)),
                )
        elif service.model is not None:
            yield Problem(
                f"{path}/model", f"a {service.kind} service has no model"
            )
        if service.kind == "store" and service.store is None:
            yield Problem(f"{path}/store", "a store service needs a store")
        if service.policy not in POLICIES:
            yield Problem(
                f"{path}/policy", suggest(service.policy, list(POLICIES))
            )
        if not 0 < service.timeout_s <= 3600:
            yield Problem(
                f"{path}/timeout_s",
                f"{service.timeout_s} must be above 0 and at most 3600",
            )


def _workspace_problems(document: model_lib.Document) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    secrets: dict[str, str] = {}
    for name, workspace in document.workspaces.items():
        path = f"workspaces/{name}"
        for key_hash in workspace.key_hashes:
            if not _HEX_SHA256.fullmatch(key_hash):
                yield Problem(
                    f"{path}/key_hashes", "must be SHA-256 hex digests"
                )
            if owners.setdefault(key_hash, name) != name:
                yield Problem(
                    f"{path}/key_hashes",
                    f"a key is shared with workspace {owners[key_hash]!r}",
                )
        if not _HEX_SECRET.fullmatch(workspace.cache_secret):
            yield Problem(
                f"{path}/cache_secret", "must be 16 to 64 bytes in hex"
            )
        if secrets.setdefault(workspace.cache_secret, name) != name:
            yield Problem(
                f"{path}/cache_secret",
                f"is shared with workspace {secrets[workspace.cache_secret]!r}",
            )
        for service in workspace.services:
            if service not in document.services:
                yield Problem(
                    f"{path}/services",
                    suggest(service, list(document.services)),
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
                f"{path}/current", suggest(model.current, model.versions)
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
                suggest(rule.service, list(document.services)),
            )
        if rule.class_name not in classes:
            yield Problem(
                f"{path}/class_name", suggest(rule.class_name, classes)
            )
        if not rule.path.startswith("/"):
            yield Problem(f"{path}/path", "must start with '/'")


def _route_problems(document: model_lib.Document) -> Iterator[Problem]:
    places: dict[tuple[str, str], str] = {}
    for name, route in document.routes.items():
        path = f"routes/{name}"
        for share in route.split:
            if share.service not in document.services:
                yield Problem(
                    f"{path}/split",
                    suggest(share.service, list(document.services)),
                )
            if share.weight < 0:
                yield Problem(
                    f"{path}/split", f"{share.weight} must not be negative"
                )
        if sum(share.weight for share in route.split) <= 0:
            yield Problem(f"{path}/split", "the weights add up to 0")
        if route.timeout_s <= 0:
            yield Problem(f"{path}/timeout_s", "must be above 0")
        if route.path_prefix[:1] != "/" or route.path_prefix[-1:] != "/":
            yield Problem(f"{path}/path_prefix", "must start and end with '/'")
        place = (route.host, route.path_prefix)
        if places.setdefault(place, name) != name:
            yield Problem(
                f"{path}/path_prefix",
                f"route {places[place]!r} has the same host and prefix",
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
