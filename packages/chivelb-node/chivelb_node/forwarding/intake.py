"""Turns a caller's request into a call: route, workspace and deadline."""

import dataclasses
import hashlib
import random

from chivelb_core import codes
from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core.calls import suspects

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

# Label of requests that were refused before a route was known.
NO_ROUTE = "none"
_log = logs.get_logger("intake")


@dataclasses.dataclass(slots=True)
class Arrival:
    """What a caller's request says of itself.

    Attributes:
        request_id: The caller's id of the request.
        host: Host that it names.
        path: Path without the query.
        key: Key of the caller, or None.
        wait_s: Seconds that the caller waits, or None when it does not say.
        prompt: What it says of its prompt, or None.
        at: Monotonic time when its head was read, in seconds.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    wait_s: float | None
    prompt: forwarding.Prompt | None
    at: float


def open_call(
    context: context_lib.InstanceContext, arrival: Arrival
) -> forwarding.Call:
    """Finds route and workspace of a request.

    Args:
        context: Aggregates of the instance.
        arrival: The request.

    Raises:
        responses.CodedError: It can't be served here; it has not run.
    """
    if context.version < 1 or not context.ready:
        raise responses.CodedError(codes.NOT_READY)
    if context.closed:
        raise responses.CodedError(codes.STOPPING)
    found = context.routes.match(arrival.host, arrival.path)
    if found is None:
        raise responses.CodedError(
            codes.NOT_FOUND, f"no route for {arrival.host}{arrival.path}"
        )
    name, route = found
    workspace = ""
    if not route.public and context.document.workspaces:
        workspace = _authenticate(context, arrival.key)
    known = context.document.workspaces.get(workspace)
    priority = route.priority
    if known is not None and known.priority is not None:
        priority = known.priority
    wait_s = route.timeout_s
    if arrival.wait_s is not None:
        wait_s = min(wait_s, arrival.wait_s)
    return forwarding.Call(
        request_id=arrival.request_id,
        route_name=name,
        route=route,
        service=_pick_service(route, context.rng),
        workspace=workspace,
        isolated=known is not None and known.isolated,
        priority=priority,
        prompt=arrival.prompt,
        arrived_at=arrival.at,
        deadline=arrival.at + wait_s,
    )


def note_refused(
    context: context_lib.InstanceContext, request_id: str, fault: codes.Fault
) -> None:
    """Counts and logs a request that became no call."""
    series = context.metrics.series(metrics_lib.ALL_WORKSPACES, NO_ROUTE)
    series.count_outcome(fault.code.number)
    _log.info(
        "call refused",
        request_id=request_id,
        code=fault.code.number,
        detail=fault.detail,
        document=context.register.number,
        ready=context.ready,
        closed=context.closed,
        retry_after_s=fault.retry_after_s,
    )


def fingerprint(call: forwarding.Call, path: str, body: bytes) -> str:
    """Returns the digest that stands for a request that comes again."""
    return suspects.fingerprint(call.workspace, path.encode() + b"\0" + body)


def _authenticate(context: context_lib.InstanceContext, key: str | None) -> str:
    if key is None:
        raise responses.CodedError(codes.UNAUTHORIZED, "no key")
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    name = context.keys.by_hash.get(key_hash)
    if name is None:
        raise responses.CodedError(codes.UNAUTHORIZED, "unknown key")
    return name


def _pick_service(route: document.Route, rng: random.Random) -> str:
    if len(route.split) == 1:
        return route.split[0].service
    weights = [share.weight for share in route.split]
    return rng.choices(route.split, weights)[0].service
