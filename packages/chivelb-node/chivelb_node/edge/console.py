"""Operator console: forms that yield the one validated document.

Each form shows the difference before anything is applied, and a conflict
when another operator was first. All of it works without scripts.
"""

import hmac
import json
import secrets
import time
import types
import typing

from aiohttp import web
from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import changes as changes_lib
from chivelb_core.document import checks
from chivelb_core.document import model as model_lib
from chivelb_core.document import register as register_lib
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.edge import bodies
from chivelb_node.edge import html
from chivelb_node.edge import operators
from chivelb_node.edge import responses
from chivelb_node.edge import status as status_lib

COOKIE = "chivelb_operator"
SESSION_S = 8 * 3600
MAX_FORM_BYTES = 262_144
MAX_FORM_FIELDS = 200
COLLECTIONS = tuple(model_lib.COLLECTIONS)
_CHOICES = {"policy": checks.POLICIES}
Form = dict[str, str]


class ConsoleHandlers:
    """Handlers of the console's pages.

    Attributes:
        context: Aggregates of the instance.
        handlers: The operators' interface, which applies changes.
        reporter: Describes the site.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        handlers: operators.OperatorHandlers,
        reporter: status_lib.StatusReporter,
    ) -> None:
        """Creates the handlers."""
        self.context = context
        self.handlers = handlers
        self.reporter = reporter

    def add_routes(self, app: web.Application) -> None:
        """Adds the console's routes."""
        router = app.router
        router.add_get("/console/login", self.show_login)
        router.add_post("/console/login", self.login)
        router.add_post("/console/preview", self._signed_in(self.preview))
        router.add_post("/console/apply", self._signed_in(self.apply))
        router.add_get("/console", self._signed_in(self.overview))
        router.add_get("/console/{collection}", self._signed_in(self.listing))
        router.add_get(
            "/console/{collection}/{name}", self._signed_in(self.edit)
        )

    # Sessions.

    def _sign(self, text: str) -> str:
        key = self.context.settings.operators.key_hash.encode()
        return hmac.digest(key, text.encode(), "sha256").hex()

    def _make_session(self) -> str:
        head = f"{int(time.time()) + SESSION_S}.{secrets.token_hex(8)}"
        return f"{head}.{self._sign('session/' + head)}"

    def _is_session(self, value: str) -> bool:
        head, _, signature = value.rpartition(".")
        ends, _, _ = head.partition(".")
        if not self.context.settings.operators.key_hash:
            return False
        wanted = self._sign("session/" + head)
        if not hmac.compare_digest(signature.encode(), wanted.encode()):
            return False
        return ends.isdigit() and int(ends) > time.time()

    def _csrf(self, request: web.Request) -> str:
        return self._sign("csrf/" + request.cookies.get(COOKIE, ""))

    def _signed_in(self, handler):
        async def guarded(request: web.Request) -> web.Response:
            if not self._is_session(request.cookies.get(COOKIE, "")):
                raise web.HTTPSeeOther("/console/login")
            try:
                return await handler(request)
            except responses.CodedError as error:
                detail = error.fault.detail or error.fault.code.summary
                return self._fault_page(error.fault.code, detail)

        return guarded

    async def _form(self, request: web.Request, *, csrf: bool = True) -> Form:
        body = await bodies.read_body(
            request,
            max_bytes=MAX_FORM_BYTES,
            timeout_s=self.context.settings.http.body_timeout_s,
        )
        form = parse_form(body)
        given = form.pop("csrf", "")
        if csrf and not hmac.compare_digest(
            given.encode(), self._csrf(request).encode()
        ):
            raise responses.CodedError(
                codes.FORBIDDEN, "the form is not of this session"
            )
        return form

    async def show_login(self, request: web.Request) -> web.Response:
        """Shows the form that asks for the operator key."""
        return self._login_page("")

    def _login_page(self, note: str) -> web.Response:
        body = (
            f"{note}<form method=post><label>operator key<br>"
            "<input type=password name=key autofocus></label>"
            "<button>sign in</button></form>"
        )
        return _page_response("sign in", body)

    async def login(self, request: web.Request) -> web.Response:
        """Starts a session for the operator key."""
        try:
            form = await self._form(request, csrf=False)
        except responses.CodedError as error:
            return self._fault_page(error.fault.code, error.fault.detail)
        if not operators.is_operator_key(self.context, form.get("key", "")):
            return self._login_page("<p class=fault>wrong key</p>")
        response = web.HTTPSeeOther("/console")
        response.set_cookie(
            COOKIE,
            self._make_session(),
            max_age=SESSION_S,
            httponly=True,
            samesite="Strict",
            path="/console",
        )
        raise response

    # Pages.

    async def overview(self, request: web.Request) -> web.Response:
        """Shows instances, targets and the newest changes."""
        site = await self.reporter.site()
        instances = html.table(
            ["instance", "zone", "version", "state", "role"],
            (
                [
                    html.escape(s.name),
                    html.escape(s.zone),
                    str(s.version),
                    "ready" if s.ready and not s.draining else "not ready",
                    html.escape(s.role),
                ]
                for s in site.instances
            ),
        )
        targets = html.table(
            ["target", "zone", "service", "state", "version", "in use"],
            (
                [
                    html.escape(t.identity),
                    html.escape(t.zone),
                    html.escape(t.service),
                    t.state,
                    html.escape(t.weight_version),
                    "yes" if t.eligible else "no",
                ]
                for t in site.here.targets
            ),
        )
        away = ", ".join(site.unreachable)
        note = f"<p class=fault>not reachable: {html.escape(away)}</p>"
        body = (
            f"<p>version {site.newest}</p>{note if away else ''}"
            f"<h2>instances</h2>{instances}<h2>targets</h2>{targets}"
        )
        return _page_response("overview", body)

    async def listing(self, request: web.Request) -> web.Response:
        """Shows the parts of a collection."""
        collection = self._collection(request)
        parts = getattr(self.context.document, collection)
        rows = (
            [
                f'<a href="/console/{collection}/{html.escape(name)}">'
                f"{html.escape(name)}</a>",
                html.escape(_brief(part)),
            ]
            for name, part in sorted(parts.items())
        )
        body = html.table(["name", "value"], rows) + (
            f'<p><a href="/console/{collection}/+">add one</a></p>'
        )
        return _page_response(collection, body)

    def _collection(self, request: web.Request) -> str:
        name = request.match_info["collection"]
        if name not in COLLECTIONS:
            raise responses.CodedError(
                codes.NOT_FOUND, checks.suggest(name, list(COLLECTIONS))
            )
        return name

    async def edit(self, request: web.Request) -> web.Response:
        """Shows the form of one part, or of a new one."""
        collection = self._collection(request)
        name = request.match_info["name"]
        parts = getattr(self.context.document, collection)
        if name != "+" and name not in parts:
            raise responses.CodedError(
                codes.NOT_FOUND, checks.suggest(name, list(parts))
            )
        body = self._edit_form(request, collection, name, parts.get(name))
        title = f"new in {collection}" if name == "+" else name
        return _page_response(title, body)

    def _edit_form(
        self, request: web.Request, collection: str, name: str, part
    ) -> str:
        fields = [
            html.hidden("csrf", self._csrf(request)),
            html.hidden("collection", collection),
            html.hidden("base", max(self.context.version, 0)),
        ]
        if name == "+":
            fields.append(html.text_field("part-name", "", required=True))
        else:
            fields.append(html.hidden("part-name", name))
        for field in msgspec.structs.fields(model_lib.COLLECTIONS[collection]):
            fields.append(_render_field(field, part))
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
        """Shows what a form would change, or what is wrong with it."""
        form = await self._form(request)
        operation = build_operation(form, self.context.document)
        changed, problems = changes_lib.apply_operations(
            self.context.document, [operation]
        )
        if problems:
            return _page_response(
                "not valid", _render_problems(problems), status=422
            )
        lines = _render_difference(
            self.context.document, changed, operation.path
        )
        body = (
            f"{lines}<form method=post action=/console/apply>"
            + html.hidden("csrf", self._csrf(request))
            + html.hidden("base", form.get("base", "0"))
            + html.hidden("change-id", operators.new_change_id())
            + html.hidden("path", operation.path)
            + html.hidden("value", json.dumps(_shown_value(operation)))
            + "<p><button>apply</button></p></form>"
        )
        return _page_response(f"difference of {operation.path}", body)

    async def apply(self, request: web.Request) -> web.Response:
        """Applies a change that was shown before."""
        form = await self._form(request)
        change = self._change_of(form)
        outcome = await self.handlers.submit(change)
        if isinstance(outcome, codes.Fault):
            return self._fault_page(
                outcome.code, outcome.detail or outcome.code.summary
            )
        return self._answer_page(change, outcome)

    def _change_of(self, form: Form) -> document.Change:
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
            raise responses.CodedError(
                codes.BAD_FIELD, f"the form lacks a field: {error}"
            ) from None
        return operators.decode_change(msgspec.json.encode(body))

    def _answer_page(
        self, change: document.Change, answer: register_lib.Answer
    ) -> web.Response:
        path = change.operations[0].path
        if answer.code == codes.DONE.number:
            return _page_response(
                "accepted",
                f"<p class=note>{html.escape(path)} is changed in version "
                f"{answer.version}</p>",
            )
        if answer.code == codes.CHANGE_CONFLICT.number:
            return _page_response(
                "conflict",
                "<p class=fault>another operator was first: you saw version "
                f"{change.base_version}, version {answer.version} is "
                "current. Nothing was changed.</p>"
                f'<p><a href="/console/{html.escape(path)}">'
                "see it as it is now</a></p>",
                status=409,
            )
        return _page_response(
            "not accepted", _render_problems(answer.problems), status=422
        )

    def _fault_page(self, code: codes.ResultCode, detail: str) -> web.Response:
        body = (
            f"<p class=fault>{code.number} {html.escape(code.name)}: "
            f"{html.escape(detail)}</p>"
        )
        return _page_response("not done", body, status=code.status)


def _page_response(title: str, body: str, status: int = 200) -> web.Response:
    return web.Response(
        text=html.page(title, body, menu=COLLECTIONS),
        content_type="text/html",
        status=status,
        headers={
            "Content-Security-Policy": (
                "default-src 'none'; style-src 'unsafe-inline'; "
                "form-action 'self'; frame-ancestors 'none'"
            ),
            "Cache-Control": "no-store",
        },
    )


def parse_form(body: bytes) -> Form:
    """Parses an urlencoded form.

    Raises:
        responses.CodedError: It is not UTF-8 or has too many fields.
    """
    # Imported here: only forms need it.
    import urllib.parse

    try:
        pairs = urllib.parse.parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_FORM_FIELDS,
        )
    except (UnicodeDecodeError, ValueError) as error:
        raise responses.CodedError(codes.BAD_ENCODING, str(error)) from None
    return dict(pairs)


def build_operation(
    form: Form, current: document.Document
) -> document.Operation:
    """Builds an operation from a form's fields.

    Args:
        form: The fields.
        current: The document in force, for secrets left as they are.

    Raises:
        responses.CodedError: A field has a wrong value.
    """
    collection = form.get("collection", "")
    if collection not in model_lib.COLLECTIONS:
        raise responses.CodedError(
            codes.BAD_FIELD, checks.suggest(collection, list(COLLECTIONS))
        )
    path = f"{collection}/{form.get('part-name', '')}"
    if form.get("delete"):
        return document.Operation(path, None)
    value = {}
    for field in msgspec.structs.fields(model_lib.COLLECTIONS[collection]):
        raw = form.get(field.name, "")
        if raw or field.required:
            value[field.name] = _parse_field(field, raw)
    operation = document.Operation(path, value)
    change = document.Change("", 0, [operation])
    return operators.keep_secrets(change, current).operations[0]


def _parse_field(field, raw: str) -> typing.Any:
    if isinstance(field.type, types.GenericAlias):
        return [part.strip() for part in raw.split(",") if part.strip()]
    try:
        return msgspec.convert(raw, field.type, strict=False)
    except msgspec.ValidationError as error:
        raise responses.CodedError(
            codes.BAD_FIELD, f"{field.name}: {raw[:80]!r}: {error}"
        ) from None


def _render_field(field, part) -> str:
    value = getattr(part, field.name) if part is not None else ""
    if part is None and field.default is not msgspec.NODEFAULT:
        value = field.default
    if field.name == "cache_secret" and part is not None:
        value = operators.SECRET
    choices = _CHOICES.get(field.name)
    if typing.get_origin(field.type) is typing.Literal:
        choices = typing.get_args(field.type)
    if field.type is bool:
        choices = ("true", "false")
        value = str(value).lower()
    if choices is not None:
        return html.choice_field(field.name, value, choices)
    if isinstance(value, list):
        value = ", ".join(value)
    return html.text_field(
        field.name, "" if value is None else value, required=field.required
    )


def _brief(part: msgspec.Struct) -> str:
    plain = msgspec.to_builtins(part)
    plain.pop("cache_secret", None)
    plain.pop("key_hashes", None)
    return ", ".join(f"{name}={value}" for name, value in plain.items())


def _shown_value(operation: document.Operation) -> typing.Any:
    """Returns the value without its secret, which stays on the server."""
    if not isinstance(operation.value, dict):
        return operation.value
    if "cache_secret" not in operation.value:
        return operation.value
    return {**operation.value, "cache_secret": operators.SECRET}


def _render_problems(problems: list[checks.Problem]) -> str:
    items = "".join(
        f"<li>{html.escape(p.path)}: {html.escape(p.message)}</li>"
        for p in problems
    )
    return f"<ul class=fault>{items}</ul>"


def _render_difference(
    old: document.Document, new: document.Document, path: str
) -> str:
    collection, _, name = path.partition("/")
    before = getattr(old, collection).get(name)
    after = getattr(new, collection).get(name)
    left = msgspec.to_builtins(before) if before is not None else {}
    right = msgspec.to_builtins(after) if after is not None else {}
    rows = []
    for field in sorted(left.keys() | right.keys()):
        if left.get(field) == right.get(field):
            continue
        shown = [left.get(field, ""), right.get(field, "")]
        if field == "cache_secret":
            shown = ["(secret)", "(another secret)"]
        rows.append(
            [
                html.escape(field),
                f"<del>{html.escape(shown[0])}</del>",
                f"<ins>{html.escape(shown[1])}</ins>",
            ]
        )
    if not rows:
        return "<p class=note>no difference</p>"
    return html.table(["field", "now", "then"], rows)
