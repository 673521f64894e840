"""Creates a call from a request: route, workspace and deadline."""

import asyncio
import contextlib
import dataclasses
import hashlib
import math
import random

from chivelb_core import codes
from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core.calls import suspects
from chivelb_core.document import regions as regions_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

# Metric label of requests refused before a route was found.
NO_ROUTE = "none"
# Limit on the time that a request waits for the first document, as a fraction
# of the time that its caller waits.
STARTUP_WAIT_FRACTION = 0.5
# The same limit for a caller that does not say how long it waits, in seconds.
STARTUP_WAIT_S = 1.5
_log = logs.get_logger("intake")


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Fields of a request that determine its route and deadline.

    Attributes:
        request_id: Id of the request.
        host: Host of the request.
        path: Path without the query.
        key: API key of the caller, or None.
        wait_s: Seconds that the caller waits, or None if not specified.
        prompt: Description of the prompt, or None.
        at: Monotonic time when the request head was read, in seconds.
        last_event_id: Id of the last event that the caller has of a stream
            that it takes up; empty for none.
        resumes: Request id of the attempt that brought the first event of that
            stream; empty if not specified.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    wait_s: float | None
    prompt: forwarding.Prompt | None
    at: float
    last_event_id: str = ""
    resumes: str = ""


async def wait_until_ready(
    context: context_lib.InstanceContext, request_head: RequestHead
) -> None:
    """Waits for the first document while the instance is starting.

    It also waits until the cached parts of prompts are known, and whether
    workspaces may share them: what is read in between is read once for each
    workspace. Returns at once if the start is over, or if no document has come
    within the usual time: it is then unknown when the request could be served.
    """
    now = context_lib.monotonic()
    if context.knows_caches or not context.is_starting(now):
        return
    limit_s = STARTUP_WAIT_S
    if request_head.wait_s is not None:
        limit_s = min(limit_s, STARTUP_WAIT_FRACTION * request_head.wait_s)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await context.readiness.wait()
            await context.sources_known.wait()
            await context.sharing_known.wait()
    _log.info(
        "waited for the start",
        request_id=request_head.request_id,
        waited_ms=round((context_lib.monotonic() - now) * 1000),
        ready=context.ready,
    )


def create_call(
    context: context_lib.InstanceContext, request_head: RequestHead
) -> forwarding.Call:
    """Creates the call of a request.

    Args:
        context: Shared state of the instance.
        request_head: The request.

    Returns:
        The call with its route, service, workspace and deadline.

    Raises:
        responses.RequestError: The request can't be served by this instance;
            it has not run.
    """
    # Document version 0 is the empty document of a new control group; -1
    # means that the instance has none yet.
    if context.version < 1 or not context.ready:
        raise responses.RequestError(codes.NOT_READY)
    context.stop.check_start()
    match_found = context.routes.match(request_head.host, request_head.path)
    if match_found is None:
        raise responses.RequestError(
            codes.NOT_FOUND,
            f"no route for {request_head.host}{request_head.path}",
        )
    name, route = match_found
    workspace = None
    priority = route.priority
    if not route.public and context.document.workspaces:
        workspace = _authenticate(context, request_head.key)
        workspace_priority = context.document.workspaces[workspace].priority
        if workspace_priority is not None:
            priority = workspace_priority
    wait_s = route.timeout_s
    if request_head.wait_s is not None:
        wait_s = min(wait_s, request_head.wait_s)
    return forwarding.Call(
        request_id=request_head.request_id,
        route_name=name,
        route=route,
        service=_pick_service(route, context.rng),
        workspace=workspace,
        priority=priority,
        prompt=request_head.prompt,
        arrived_at=request_head.at,
        deadline=request_head.at + wait_s,
        last_event_id=request_head.last_event_id,
        resumes=request_head.resumes,
        regions=regions_lib.call_regions(context.document, route, workspace),
    )


def record_refusal(
    context: context_lib.InstanceContext,
    request_id: str,
    error_detail: codes.ErrorDetail,
) -> None:
    """Counts and logs a request for which no call was created.

    The log line says "call refused". Its ``document`` is the number of the
    document version in force, and ``closed`` tells whether this instance
    rejects new requests because it is shutting down.
    """
    series = context.metrics.series(metrics_lib.ALL_WORKSPACES, NO_ROUTE)
    series.count_outcome(error_detail.code.number)
    _log.info(
        "call refused",
        request_id=request_id,
        code=error_detail.code.number,
        detail=error_detail.detail,
        document=context.document_state.number,
        ready=context.ready,
        closed=not context.stop.may_start(),
        retry_after_s=error_detail.retry_after_s,
    )


def fingerprint(call: forwarding.Call, path: str, body: bytes) -> str:
    """Returns a digest that identifies repeated sends of a request."""
    data = path.encode("utf-8", "surrogateescape") + b"\0" + body
    return suspects.fingerprint(call.workspace or "", data)


def _authenticate(context: context_lib.InstanceContext, key: str | None) -> str:
    if key is None:
        raise responses.RequestError(codes.UNAUTHORIZED, "no API key")
    # Bytes that are no UTF-8 are surrogates here.
    data = key.encode("utf-8", "surrogateescape")
    key_hash = hashlib.sha256(data).hexdigest()
    name = context.keys.workspace_by_key_hash.get(key_hash)
    if name is None:
        raise responses.RequestError(codes.UNAUTHORIZED, "unknown API key")
    return name


def _pick_service(route: document.Route, rng: random.Random) -> str:
    if len(route.split) == 1:
        return route.split[0].service
    weights = [share.weight for share in route.split]
    if not math.isfinite(sum(weights)):
        # A document of an older build; choices() needs a finite sum.
        largest = max(weights)
        weights = [weight / largest for weight in weights]
    return rng.choices(route.split, weights)[0].service
