"""Operator console: HTML forms that edit the configuration document.

A form shows the difference before a change is applied, and reports a conflict
if another operator has changed the document in the meantime. The console
works without JavaScript.
"""

import hmac
import json
import secrets
import time

from aiohttp import web
from chivelb_core import codes
from chivelb_core import decimals
from chivelb_core import document
from chivelb_core.document import changes as changes_lib
from chivelb_core.document import model as model_lib
from chivelb_core.document import results as results_lib
from chivelb_core.document import validation
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.edge import console_forms
from chivelb_node.edge import console_pages
from chivelb_node.edge import html
from chivelb_node.edge import operators
from chivelb_node.edge import request_bodies
from chivelb_node.edge import responses
from chivelb_node.edge import status as status_lib

COOKIE = "chivelb_operator"
SESSION_LIFETIME_S = 8 * 3600
MAX_FORM_BYTES = 262_144
MAX_FORM_FIELDS = console_forms.MAX_FORM_FIELDS
COLLECTIONS = console_forms.COLLECTIONS
Form = console_forms.Form

parse_form = console_forms.parse_form
build_operation = console_forms.build_operation


class ConsoleHandlers:
    """Handlers of the console's pages.

    Attributes:
        context: Shared state of the instance.
        operator_handlers: Handlers of the operator API, which apply changes.
        reporter: Reports the status of the cluster.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        operator_handlers: operators.OperatorHandlers,
        reporter: status_lib.StatusReporter,
    ) -> None:
        """Creates the handlers."""
        self.context = context
        self.operator_handlers = operator_handlers
        self.reporter = reporter

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes of the console."""
        router = app.router
        router.add_get("/console/login", self.show_login)
        router.add_post("/console/login", self.login)
        router.add_post("/console/preview", self._require_session(self.preview))
        router.add_post("/console/apply", self._require_session(self.apply))
        router.add_get("/console", self._require_session(self.overview))
        router.add_get(
            "/console/{collection}", self._require_session(self.listing)
        )
        router.add_get(
            "/console/{collection}/{name}", self._require_session(self.edit)
        )

    # Sessions.

    def _compute_signature(self, text: str) -> str:
        key = self.context.settings.operators.key_hash.encode()
        return hmac.digest(key, text.encode(), "sha256").hex()

    def _create_session_token(self) -> str:
        payload = (
            f"{int(time.time()) + SESSION_LIFETIME_S}.{secrets.token_hex(8)}"
        )
        return f"{payload}.{self._compute_signature('session/' + payload)}"

    def _is_valid_session(self, value: str) -> bool:
        payload, _, signature = value.rpartition(".")
        expires_at, _, _ = payload.partition(".")
        if not self.context.settings.operators.key_hash:
            return False
        expected = self._compute_signature("session/" + payload)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            return False
        return (decimals.parse(expires_at) or 0) > time.time()

    def _csrf_token(self, request: web.Request) -> str:
        return self._compute_signature(
            "csrf/" + request.cookies.get(COOKIE, "")
        )

    def _require_session(self, handler):
        async def guarded(request: web.Request) -> web.Response:
            if not self._is_valid_session(request.cookies.get(COOKIE, "")):
                raise web.HTTPSeeOther("/console/login")
            try:
                return await handler(request)
            except responses.RequestError as error:
                detail = (
                    error.error_detail.detail or error.error_detail.code.summary
                )
                return self._error_page(error.error_detail.code, detail)

        return guarded

    async def _read_form(
        self, request: web.Request, *, csrf: bool = True
    ) -> Form:
        with self.context.buffers.open() as charge:
            body = await request_bodies.read_body(
                request,
                max_bytes=MAX_FORM_BYTES,
                timeout_s=self.context.settings.http.body_timeout_s,
                charge=charge,
                copies=1,
            )
        form = parse_form(body)
        token = form.pop("csrf", "")
        if csrf and not hmac.compare_digest(
            token.encode(), self._csrf_token(request).encode()
        ):
            raise responses.RequestError(
                codes.FORBIDDEN, "CSRF token does not match the session"
            )
        return form

    async def show_login(self, request: web.Request) -> web.Response:
        """Shows the login form."""
        return self._login_page("")

    def _login_page(self, note: str) -> web.Response:
        body = (
            f"{note}<form method=post><label>operator key<br>"
            "<input type=password name=key autofocus></label>"
            "<button>sign in</button></form>"
        )
        return console_pages.page_response("sign in", body)

    async def login(self, request: web.Request) -> web.Response:
        """Starts a session if the operator key is correct."""
        try:
            form = await self._read_form(request, csrf=False)
        except responses.RequestError as error:
            return self._error_page(
                error.error_detail.code, error.error_detail.detail
            )
        if not operators.is_operator_key(self.context, form.get("key", "")):
            return self._login_page("<p class=fault>wrong key</p>")
        response = web.HTTPSeeOther("/console")
        response.set_cookie(
            COOKIE,
            self._create_session_token(),
            max_age=SESSION_LIFETIME_S,
            httponly=True,
            samesite="Strict",
            path="/console",
        )
        raise response

    # Pages.

    async def overview(self, request: web.Request) -> web.Response:
        """Shows the document version, instances and targets."""
        cluster = await self.reporter.describe_cluster()
        instances = html.table(
            ["instance", "zone", "version", "state", "role"],
            (
                [
                    html.escape(status.name),
                    html.escape(status.zone),
                    str(status.version),
                    "ready"
                    if status.ready and not status.draining
                    else "not ready",
                    html.escape(status.role),
                ]
                for status in cluster.instances
            ),
        )
        targets = html.table(
            ["target", "zone", "service", "state", "version", "eligible"],
            (
                [
                    html.escape(target.identity),
                    html.escape(target.zone),
                    html.escape(target.service),
                    target.state,
                    html.escape(target.weight_version),
                    "yes" if target.eligible else "no",
                ]
                for target in cluster.here.targets
            ),
        )
        notes = "".join(
            f"<p class=fault>{label}: {html.escape(', '.join(names))}</p>"
            for label, names in (
                ("unreachable", cluster.unreachable),
                ("evacuated zones", sorted(cluster.here.evacuated_zones)),
            )
            if names
        )
        body = (
            f"<p>version {cluster.newest}</p>{notes}"
            f"<h2>instances</h2>{instances}<h2>targets</h2>{targets}"
        )
        return console_pages.page_response("overview", body)

    async def listing(self, request: web.Request) -> web.Response:
        """Shows the entries of a collection."""
        collection = self._collection(request)
        entries = getattr(self.context.document, collection)
        rows = (
            [
                f'<a href="/console/{collection}/{html.escape(name)}">'
                f"{html.escape(name)}</a>",
                html.escape(console_pages.summarize(entry)),
            ]
            for name, entry in sorted(entries.items())
        )
        body = html.table(["name", "value"], rows) + (
            f'<p><a href="/console/{collection}/+">add one</a></p>'
        )
        return console_pages.page_response(collection, body)

    def _collection(self, request: web.Request) -> str:
        name = request.match_info["collection"]
        if name not in COLLECTIONS:
            raise responses.RequestError(
                codes.NOT_FOUND,
                validation.describe_choices(name, list(COLLECTIONS)),
            )
        return name

    async def edit(self, request: web.Request) -> web.Response:
        """Shows the form for one entry, or for a new one."""
        collection = self._collection(request)
        name = request.match_info["name"]
        entries = getattr(self.context.document, collection)
        if name != "+" and name not in entries:
            raise responses.RequestError(
                codes.NOT_FOUND,
                validation.describe_choices(name, list(entries)),
            )
        body = self._edit_form(request, collection, name, entries.get(name))
        title = f"new in {collection}" if name == "+" else name
        return console_pages.page_response(title, body)

    def _edit_form(
        self, request: web.Request, collection: str, name: str, entry
    ) -> str:
        fields = [
            html.hidden("csrf", self._csrf_token(request)),
            html.hidden("collection", collection),
            html.hidden("base", max(self.context.version, 0)),
        ]
        if name == "+":
            fields.append(html.text_field("part-name", "", required=True))
        else:
            fields.append(html.hidden("part-name", name))
        for field in msgspec.structs.fields(model_lib.COLLECTIONS[collection]):
            fields.append(console_pages.render_field(field, entry))
        buttons = "<p><button>show the difference</button>"
        if name != "+":
            buttons += (
                " <button name=delete value=1 formnovalidate>delete</button>"
            )
        return (
            "<form method=post action=/console/preview>"
            f"{''.join(fields)}{buttons}</p></form>"
        )

    # Changes.

    async def preview(self, request: web.Request) -> web.Response:
        """Shows the difference that a form would make, or its problems."""
        form = await self._read_form(request)
        operation = build_operation(form, self.context.document)
        changed, problems = changes_lib.apply_operations(
            self.context.document, [operation]
        )
        if problems:
            return console_pages.page_response(
                "invalid change",
                console_pages.render_problems(problems),
                status=422,
            )
        difference = console_pages.render_difference(
            self.context.document, changed, operation.path
        )
        body = (
            f"{difference}<form method=post action=/console/apply>"
            + html.hidden("csrf", self._csrf_token(request))
            + html.hidden("base", form.get("base", "0"))
            + html.hidden("change-id", operators.new_change_id())
            + html.hidden("path", operation.path)
            + html.hidden(
                "value", json.dumps(console_forms.redact_value(operation))
            )
            + "<p><button>apply</button></p></form>"
        )
        return console_pages.page_response(
            f"difference of {operation.path}", body
        )

    async def apply(self, request: web.Request) -> web.Response:
        """Applies a change that was previewed."""
        form = await self._read_form(request)
        change = self._decode_form_change(form)
        outcome = await self.operator_handlers.submit(change)
        if isinstance(outcome, codes.ErrorDetail):
            return self._error_page(
                outcome.code, outcome.detail or outcome.code.summary
            )
        return self._outcome_page(change, outcome)

    def _decode_form_change(self, form: Form) -> document.Change:
        try:
            body = {
                "change_id": form["change-id"],
                "base_version": int(form["base"]),
                "operations": [
                    {
                        "path": form["path"],
                        "value": json.loads(form["value"]),
                    }
                ],
                "author": "console",
            }
        except (KeyError, ValueError) as error:
            raise responses.RequestError(
                codes.BAD_FIELD, f"missing or invalid form field: {error}"
            ) from None
        return operators.decode_change(msgspec.json.encode(body))

    def _outcome_page(
        self, change: document.Change, result: results_lib.ChangeResult
    ) -> web.Response:
        path = change.operations[0].path
        if result.code == codes.DONE.number:
            return console_pages.page_response(
                "accepted",
                f"<p class=note>{html.escape(path)} was changed in version "
                f"{result.version}</p>",
            )
        if result.code == codes.CHANGE_CONFLICT.number:
            return console_pages.page_response(
                "conflict",
                "<p class=fault>another operator has changed the document: the "
                f"form was based on version {change.base_version}, version "
                f"{result.version} is current. No change was applied.</p>"
                f'<p><a href="/console/{html.escape(path)}">'
                "show the current entry</a></p>",
                status=409,
            )
        return console_pages.page_response(
            "change rejected",
            console_pages.render_problems(result.problems),
            status=422,
        )

    def _error_page(self, code: codes.ResultCode, detail: str) -> web.Response:
        body = (
            f"<p class=fault>{code.number} {html.escape(code.name)}: "
            f"{html.escape(detail)}</p>"
        )
        return console_pages.page_response(
            "request failed", body, status=code.status
        )
