"""HTTP handlers for operators: document, changes and status."""

import asyncio
from collections.abc import Callable
import hashlib
import hmac
import secrets
import typing

from aiohttp import web
from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import changes as changes_lib
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import model as model_lib
from chivelb_core.document import regions as regions_lib
from chivelb_core.document import results as results_lib
from chivelb_core.document import state as state_lib
from chivelb_core.document import validation
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.control import evacuations
from chivelb_node.control import replica as replica_lib
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.edge import request_bodies
from chivelb_node.edge import responses
from chivelb_node.edge import status as status_lib
from chivelb_node.links import announcement_forwarding
from chivelb_node.telemetry import logs

MAX_DOCUMENT_BYTES = 67_108_864
SECRET_PLACEHOLDER = "(secret)"
MAX_HISTORY_DELTAS = 200
CATCH_UP_POLLS = 40
CATCH_UP_POLL_S = 0.05
_CODES_BY_NUMBER = {code.number: code for code in codes.ALL}
_log = logs.get_logger("operators")


class DocumentReply(msgspec.Struct):
    """The document in force.

    Attributes:
        version: Version of the document.
        current: Whether a majority of voters confirmed that it is the newest
            version.
        document: The document without its secrets.
    """

    version: int
    current: bool
    document: typing.Any


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/drain``.

    Attributes:
        target: Identity of the target to drain; if empty, the instance that
            serves the request drains and stops.
    """

    target: str = ""


class EvacuationBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/evacuate``.

    Attributes:
        zone: Name of the availability zone.
        stop: Whether to end the evacuation of the zone.
    """

    zone: str
    stop: bool = False


class OperatorHandlers:
    """Handlers of the routes for operators.

    Attributes:
        context: Shared state of the instance.
        replica: Replica of the document, which accepts changes.
        reporter: Reports the status of the cluster.
        announcement_forwarder: Distributes drain requests for targets to peers.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        replica: replica_lib.ReplicaService,
        reporter: status_lib.StatusReporter,
        announcement_forwarder: announcement_forwarding.AnnouncementForwarder,
    ) -> None:
        """Creates the handlers."""
        self.context = context
        self.replica = replica
        self.reporter = reporter
        self.announcement_forwarder = announcement_forwarder

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for operators."""
        router = app.router
        router.add_get("/operator/document", self._guard(self.show))
        router.add_get("/operator/history", self._guard(self.history))
        router.add_get("/operator/status", self._guard(self.status))
        router.add_get("/operator/snapshot", self._guard(self.snapshot))
        router.add_post("/operator/check", self._guard(self.check))
        router.add_post("/operator/changes", self._guard(self.change))
        router.add_post("/operator/drain", self._guard(self.drain))
        router.add_post("/operator/evacuate", self._guard(self.evacuate))

    def _guard(self, handler):
        async def guarded(request: web.Request) -> web.StreamResponse:
            try:
                self._authenticate(request)
                return await handler(request)
            except responses.RequestError as error:
                return responses.error_response(
                    error.error_detail, "", self.context.rng
                )

        return guarded

    def _authenticate(self, request: web.Request) -> None:
        key = request.headers.get("X-Operator-Key", "")
        if not is_operator_key(self.context, key):
            raise responses.RequestError(
                codes.UNAUTHORIZED, "X-Operator-Key is missing or invalid"
            )

    async def _read_body(self, request: web.Request) -> bytes:
        with self.context.buffers.open() as charge:
            return await request_bodies.read_body(
                request,
                max_bytes=MAX_DOCUMENT_BYTES,
                timeout_s=self.context.settings.http.body_timeout_s,
                charge=charge,
                copies=1,
            )

    async def show(self, request: web.Request) -> web.Response:
        """Serves the document in force.

        With the query parameter ``current``, a majority of voters must
        confirm that the version in force is the newest.
        """
        current = False
        if request.query.get("current"):
            newest = await self.replica.voter_client.read_linearizable_version()
            if newest is None or newest > self.context.version:
                raise responses.RequestError(
                    codes.NO_QUORUM,
                    "a majority of voters did not confirm version "
                    f"{self.context.version} as the newest",
                )
            current = True
        reply = DocumentReply(
            self.context.version,
            current,
            model_lib.redact(self.context.document),
        )
        return json_response(reply)

    async def history(self, request: web.Request) -> web.Response:
        """Serves the newest deltas of the document's version history."""
        newest = self.context.document_state.history[-MAX_HISTORY_DELTAS:]
        deltas = msgspec.to_builtins(deltas_lib.decode_history(newest))
        for delta in deltas:
            for operation in delta["operations"]:
                if isinstance(operation["value"], dict):
                    if "cache_secret" in operation["value"]:
                        operation["value"]["cache_secret"] = SECRET_PLACEHOLDER
        return json_response(deltas)

    async def status(self, request: web.Request) -> web.Response:
        """Serves the status of the cluster."""
        return json_response(await self.reporter.describe_cluster())

    async def snapshot(self, request: web.Request) -> web.Response:
        """Serves a snapshot of the document state.

        The header ``X-Current`` is 1 if a majority of voters confirmed that
        the snapshot contains every accepted change. Without a quorum the
        newest local state is served with ``X-Current: 0``.
        """
        newest = await self.replica.voter_client.read_linearizable_version()
        voter_service = self.replica.voter_client.voter_service
        document_state = self.context.document_state
        if voter_service is not None:
            min_version = max(newest or 0, self.context.version)
            await _wait_until(
                lambda: voter_service.document_state.version >= min_version
            )
            if voter_service.document_state.version >= document_state.version:
                document_state = voter_service.document_state
        current = newest is not None and document_state.version >= newest
        return web.Response(
            body=state_lib.encode_document_state(document_state),
            content_type="application/octet-stream",
            headers={"X-Current": str(int(current))},
        )

    async def check(self, request: web.Request) -> web.Response:
        """Validates a document without applying it."""
        loaded = decode_document(await self._read_body(request))
        problems = [
            *document.validate_document(loaded),
            *regions_lib.validate_regions(loaded, self._known_regions()),
        ]
        return json_response({"problems": msgspec.to_builtins(problems)})

    async def change(self, request: web.Request) -> web.Response:
        """Applies a change to the document."""
        change = decode_change(await self._read_body(request))
        outcome = await self.submit(change)
        if isinstance(outcome, codes.ErrorDetail):
            return responses.error_response(outcome, "", self.context.rng)
        code = _CODES_BY_NUMBER[outcome.code]
        return json_response(
            {
                "code": code.number,
                "name": code.name,
                "version": outcome.version,
                "problems": msgspec.to_builtins(outcome.problems),
            },
            status=code.status,
        )

    async def submit(
        self, change: document.Change
    ) -> results_lib.ChangeResult | codes.ErrorDetail:
        """Restores redacted secrets in a change and submits it."""
        complete_change = restore_secrets(change, self.context.document)
        problems = self._unknown_regions(complete_change)
        if problems:
            return results_lib.ChangeResult(
                codes.CHANGE_INVALID.number, self.context.version, "", problems
            )
        outcome = await self.replica.voter_client.submit_change(complete_change)
        number = outcome.code
        if isinstance(outcome, codes.ErrorDetail):
            number = outcome.code.number
        _log.info(
            "change submitted",
            change_id=change.change_id,
            author=change.author,
            code=number,
        )
        return outcome

    def _known_regions(self) -> set[str]:
        return set(self.context.zone_regions.values())

    def _unknown_regions(
        self, change: document.Change
    ) -> list[validation.Problem]:
        """Returns problems of the parts that a change puts."""
        if not self.context.zone_regions:
            return []
        changed, problems = changes_lib.apply_operations(
            self.context.document, change.operations, check=False
        )
        if problems:
            # The voters refuse the change, unless a newer version has the part.
            return []
        paths = {operation.path for operation in change.operations}
        return [
            problem
            for problem in regions_lib.validate_regions(
                changed, self._known_regions()
            )
            if problem.path.rpartition("/")[0] in paths
        ]

    async def drain(self, request: web.Request) -> web.Response:
        """Drains a target, or drains and stops this instance.

        A drained target is marked as leaving at all instances of the region, as
        if it had announced so itself, and gets no new requests.
        """
        try:
            body = msgspec.json.decode(
                await self._read_body(request) or b"{}", type=DrainBody
            )
        except msgspec.MsgspecError as error:
            raise responses.RequestError(codes.BAD_FIELD, str(error)) from None
        if not body.target:
            self.context.stop_requested.set()
            return json_response({"draining": self.reporter.describe().name})
        entry = self.context.targets.entries.get(body.target)
        if entry is None:
            identities = ", ".join(sorted(self.context.targets.entries))
            raise responses.RequestError(
                codes.NOT_FOUND,
                f"target {body.target!r} is not one of: {identities}",
            )
        self.announcement_forwarder.broadcast_leaving(
            body.target, entry.record.incarnation
        )
        return json_response({"draining": body.target})

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuates an availability zone, or ends its evacuation.

        Both orders are idempotent. No new requests go to the targets of an
        evacuated zone.
        """
        try:
            body = msgspec.json.decode(
                await self._read_body(request) or b"{}", type=EvacuationBody
            )
            evacuations.check_zone(body.zone, self.context.zone_regions)
        except (msgspec.MsgspecError, ValueError) as error:
            raise responses.RequestError(codes.BAD_FIELD, str(error)) from None
        voter_client = self.replica.voter_client
        if not voter_client.voters():
            raise responses.RequestError(
                codes.NO_QUORUM,
                "neither voters nor a data directory are configured",
            )
        outcome = await evacuations.submit(
            self.context, voter_client, body.zone, evacuate=not body.stop
        )
        match outcome:
            case voter_client_lib.OrderOutcome.UNKNOWN:
                raise responses.RequestError(
                    codes.CHANGE_UNKNOWN,
                    "the order may be accepted; send it again",
                )
            case voter_client_lib.OrderOutcome.SUPERSEDED:
                raise responses.RequestError(
                    codes.CHANGE_CONFLICT,
                    f"zone {body.zone!r} got another order that this instance "
                    "did not know of; check the status and send it again",
                )
        return json_response({"zone": body.zone, "evacuated": not body.stop})


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Polls until a condition holds or ``CATCH_UP_POLLS`` is reached."""
    for _ in range(CATCH_UP_POLLS):
        if condition():
            return
        await asyncio.sleep(CATCH_UP_POLL_S)


def is_operator_key(context: context_lib.InstanceContext, key: str) -> bool:
    """Returns whether a key is the configured operator key."""
    expected_hash = context.settings.operators.key_hash
    given_hash = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    return bool(expected_hash) and hmac.compare_digest(
        given_hash, expected_hash
    )


def new_change_id() -> str:
    """Returns a new random change id."""
    return secrets.token_hex(12)


def decode_document(body: bytes) -> document.Document:
    """Decodes a document.

    Raises:
        responses.RequestError: The body is not JSON or a field has the wrong
            type.
    """
    try:
        return model_lib.decode_document(body)
    except msgspec.ValidationError as error:
        raise responses.RequestError(codes.BAD_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise responses.RequestError(codes.BAD_JSON, str(error)) from None


def decode_change(body: bytes) -> document.Change:
    """Decodes a change and validates its size.

    Raises:
        responses.RequestError: The body is not JSON or a field is invalid.
    """
    try:
        change = msgspec.json.decode(body, type=document.Change)
    except msgspec.ValidationError as error:
        raise responses.RequestError(codes.BAD_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise responses.RequestError(codes.BAD_JSON, str(error)) from None
    if not 0 < len(change.change_id) <= 128:
        raise responses.RequestError(
            codes.BAD_FIELD,
            "change_id: must have 1 to 128 characters, "
            f"not {len(change.change_id)}",
        )
    if not 0 < len(change.operations) <= changes_lib.MAX_OPERATIONS:
        raise responses.RequestError(
            codes.BAD_FIELD,
            f"operations: length must be 1 to {changes_lib.MAX_OPERATIONS}, "
            f"not {len(change.operations)}",
        )
    return change


def restore_secrets(
    change: document.Change, current: document.Document
) -> document.Change:
    """Returns a change with redacted secrets replaced by the current ones."""
    operations = []
    for operation in change.operations:
        value = operation.value
        name = operation.path.removeprefix("workspaces/")
        workspace = current.workspaces.get(name)
        if (
            isinstance(value, dict)
            and value.get("cache_secret") == SECRET_PLACEHOLDER
            and workspace is not None
        ):
            value = {**value, "cache_secret": workspace.cache_secret}
        operations.append(document.Operation(operation.path, value))
    return msgspec.structs.replace(change, operations=operations)


def json_response(value: typing.Any, status: int = 200) -> web.Response:
    """Returns a response with a value encoded as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
