"""HTTP handlers for operators: the document, its changes and the status."""

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
from chivelb_core.document import model as model_lib
from chivelb_core.document import register as register_lib
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.control import replica as replica_lib
from chivelb_node.edge import bodies
from chivelb_node.edge import responses
from chivelb_node.edge import status as status_lib
from chivelb_node.links import sharing as sharing_lib
from chivelb_node.telemetry import logs

MAX_DOCUMENT_BYTES = 67_108_864
SECRET = "(secret)"
HISTORY_SHOWN = 200
CATCH_UP_POLLS = 40
CATCH_UP_POLL_S = 0.05
_BY_NUMBER = {code.number: code for code in codes.ALL}
_log = logs.get_logger("operators")


class DocumentReply(msgspec.Struct):
    """The document in force, or the newest one.

    Attributes:
        version: Its version.
        current: Whether a majority confirmed that it is the newest.
        document: The document without its secrets.
    """

    version: int
    current: bool
    document: typing.Any


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/drain``.

    Attributes:
        target: Identity of a target to take out of use; empty drains and
            stops the instance that is asked.
    """

    target: str = ""


class OperatorHandlers:
    """Handlers of the operators' routes.

    Attributes:
        context: Aggregates of the instance.
        replica: Accepts changes.
        reporter: Describes the site.
        sharing: Spreads what operators say of targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        replica: replica_lib.ReplicaService,
        reporter: status_lib.StatusReporter,
        sharing: sharing_lib.SharingService,
    ) -> None:
        """Creates the handlers."""
        self.context = context
        self.replica = replica
        self.reporter = reporter
        self.sharing = sharing

    def add_routes(self, app: web.Application) -> None:
        """Adds the operators' routes."""
        router = app.router
        router.add_get("/operator/document", self._guard(self.show))
        router.add_get("/operator/history", self._guard(self.history))
        router.add_get("/operator/status", self._guard(self.status))
        router.add_get("/operator/snapshot", self._guard(self.snapshot))
        router.add_post("/operator/check", self._guard(self.check))
        router.add_post("/operator/changes", self._guard(self.change))
        router.add_post("/operator/drain", self._guard(self.drain))

    def _guard(self, handler):
        async def guarded(request: web.Request) -> web.StreamResponse:
            try:
                self._authenticate(request)
                return await handler(request)
            except responses.CodedError as error:
                return responses.fault_response(
                    error.fault, "", self.context.rng
                )

        return guarded

    def _authenticate(self, request: web.Request) -> None:
        key = request.headers.get("X-Operator-Key", "")
        if not is_operator_key(self.context, key):
            raise responses.CodedError(
                codes.UNAUTHORIZED, "X-Operator-Key: is missing or wrong"
            )

    async def _body(self, request: web.Request) -> bytes:
        return await bodies.read_body(
            request,
            max_bytes=MAX_DOCUMENT_BYTES,
            timeout_s=self.context.settings.http.body_timeout_s,
        )

    async def show(self, request: web.Request) -> web.Response:
        """Serves the document in force; with ``current`` a proved one."""
        current = False
        if request.query.get("current"):
            newest = await self.replica.read_current()
            if newest is None or newest > self.context.version:
                raise responses.CodedError(
                    codes.NO_QUORUM,
                    "the newest version could not be confirmed; "
                    f"version {self.context.version} is in force here",
                )
            current = True
        reply = DocumentReply(
            self.context.version,
            current,
            model_lib.redact(self.context.document),
        )
        return json_response(reply)

    async def history(self, request: web.Request) -> web.Response:
        """Serves the newest links of the version chain."""
        newest = self.context.register.history[-HISTORY_SHOWN:]
        plain = msgspec.to_builtins(newest)
        for delta in plain:
            for operation in delta["operations"]:
                if isinstance(operation["value"], dict):
                    if "cache_secret" in operation["value"]:
                        operation["value"]["cache_secret"] = SECRET
        return json_response(plain)

    async def status(self, request: web.Request) -> web.Response:
        """Serves the status of the site."""
        return json_response(await self.reporter.site())

    async def snapshot(self, request: web.Request) -> web.Response:
        """Serves a snapshot of the document's register.

        The header ``X-Current`` tells whether it was proved to hold every
        accepted change; without a quorum it is the newest found here.
        """
        newest = await self.replica.read_current()
        voting = self.replica.voting
        register = self.context.register
        if voting is not None:
            wanted = max(newest or 0, self.context.version)
            await _wait_until(lambda: voting.machine.version >= wanted)
            if voting.machine.version >= register.version:
                register = voting.machine
        current = newest is not None and register.version >= newest
        return web.Response(
            body=register_lib.encode_register(register),
            content_type="application/octet-stream",
            headers={"X-Current": str(int(current))},
        )

    async def check(self, request: web.Request) -> web.Response:
        """Checks a document without applying it."""
        loaded = decode_document(await self._body(request))
        problems = document.find_problems(loaded)
        return json_response({"problems": msgspec.to_builtins(problems)})

    async def change(self, request: web.Request) -> web.Response:
        """Applies a change."""
        change = decode_change(await self._body(request))
        outcome = await self.submit(change)
        if isinstance(outcome, codes.Fault):
            return responses.fault_response(outcome, "", self.context.rng)
        code = _BY_NUMBER[outcome.code]
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
    ) -> register_lib.Answer | codes.Fault:
        """Fills in secrets that the operator left as they are, and applies."""
        prepared = keep_secrets(change, self.context.document)
        outcome = await self.replica.change(prepared)
        number = outcome.code
        if isinstance(outcome, codes.Fault):
            number = outcome.code.number
        _log.info(
            "change",
            change_id=change.change_id,
            author=change.author,
            code=number,
        )
        return outcome

    async def drain(self, request: web.Request) -> web.Response:
        """Takes a target out of use, or stops this instance gracefully."""
        try:
            body = msgspec.json.decode(
                await self._body(request) or b"{}", type=DrainBody
            )
        except msgspec.MsgspecError as error:
            raise responses.CodedError(codes.BAD_FIELD, str(error)) from None
        if not body.target:
            self.context.stop_asked.set()
            return json_response({"draining": self.reporter.describe().name})
        entry = self.context.targets.entries.get(body.target)
        if entry is None:
            known = ", ".join(sorted(self.context.targets.entries))
            raise responses.CodedError(
                codes.NOT_FOUND,
                f"target {body.target!r} is not one of: {known}",
            )
        self.sharing.spread_leaving(body.target, entry.record.incarnation)
        return json_response({"draining": body.target})


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Polls until a condition holds, for a bounded time."""
    for _ in range(CATCH_UP_POLLS):
        if condition():
            return
        await asyncio.sleep(CATCH_UP_POLL_S)


def is_operator_key(context: context_lib.InstanceContext, key: str) -> bool:
    """Tells whether a key is the operators' key."""
    wanted = context.settings.operators.key_hash
    given = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    return bool(wanted) and hmac.compare_digest(given, wanted)


def new_change_id() -> str:
    """Returns a fresh change id."""
    return secrets.token_hex(12)


def decode_document(body: bytes) -> document.Document:
    """Decodes a document.

    Raises:
        responses.CodedError: It is not JSON, or a type is wrong.
    """
    try:
        return model_lib.decode_document(body)
    except msgspec.ValidationError as error:
        raise responses.CodedError(codes.BAD_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise responses.CodedError(codes.BAD_JSON, str(error)) from None


def decode_change(body: bytes) -> document.Change:
    """Decodes a change and checks its bounds.

    Raises:
        responses.CodedError: It is not JSON, or a field is wrong.
    """
    try:
        change = msgspec.json.decode(body, type=document.Change)
    except msgspec.ValidationError as error:
        raise responses.CodedError(codes.BAD_FIELD, str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise responses.CodedError(codes.BAD_JSON, str(error)) from None
    if not 0 < len(change.change_id) <= 128:
        raise responses.CodedError(
            codes.BAD_FIELD, "change_id: must have 1 to 128 letters"
        )
    if not 0 < len(change.operations) <= changes_lib.MAX_OPERATIONS:
        raise responses.CodedError(
            codes.BAD_FIELD,
            f"operations: must be 1 to {changes_lib.MAX_OPERATIONS}",
        )
    return change


def keep_secrets(
    change: document.Change, current: document.Document
) -> document.Change:
    """Returns a change whose withheld secrets are those in force."""
    operations = []
    for operation in change.operations:
        value = operation.value
        name = operation.path.removeprefix("workspaces/")
        known = current.workspaces.get(name)
        if (
            isinstance(value, dict)
            and value.get("cache_secret") == SECRET
            and known is not None
        ):
            value = {**value, "cache_secret": known.cache_secret}
        operations.append(document.Operation(operation.path, value))
    return msgspec.structs.replace(change, operations=operations)


def json_response(value: typing.Any, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
