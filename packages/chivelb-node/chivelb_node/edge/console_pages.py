"""HTML of the operator console: pages, form fields and differences."""

import typing

from aiohttp import web
from chivelb_core import document
from chivelb_core.document import model as model_lib
from chivelb_core.document import validation
import msgspec

from chivelb_node.edge import console_forms
from chivelb_node.edge import html
from chivelb_node.edge import operators

_CHOICES = {"policy": validation.POLICIES}


def page_response(title: str, body: str, status: int = 200) -> web.Response:
    """Returns a page of the console, which runs no script and is not stored.

    Args:
        title: Title of the page.
        body: HTML of its content.
        status: HTTP status.
    """
    return web.Response(
        text=html.page(title, body, menu=console_forms.COLLECTIONS),
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


def render_field(field, entry) -> str:
    """Renders the form field of one attribute of an entry.

    Args:
        field: Field as listed by ``msgspec.structs.fields``.
        entry: The entry, or None for a new one.
    """
    value = getattr(entry, field.name) if entry is not None else ""
    if entry is None and field.default is not msgspec.NODEFAULT:
        value = field.default
    if field.name == "cache_secret" and entry is not None:
        value = operators.SECRET_PLACEHOLDER
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


def summarize(entry: msgspec.Struct) -> str:
    """Returns the attributes of an entry in one line, without secrets."""
    fields = model_lib.to_fields(entry)
    fields.pop("cache_secret", None)
    fields.pop("key_hashes", None)
    return ", ".join(f"{name}={value}" for name, value in fields.items())


def render_problems(problems: list[validation.Problem]) -> str:
    """Renders the problems of a rejected change as a list."""
    items = "".join(
        f"<li>{html.escape(p.path)}: {html.escape(p.message)}</li>"
        for p in problems
    )
    return f"<ul class=fault>{items}</ul>"


def render_difference(
    old: document.Document, new: document.Document, path: str
) -> str:
    """Renders the attributes of one entry that differ between two documents.

    Args:
        old: The document in force.
        new: The document with the change.
        path: Collection and name of the entry.
    """
    collection, _, name = path.partition("/")
    before = getattr(old, collection).get(name)
    after = getattr(new, collection).get(name)
    old_fields = model_lib.to_fields(before) if before is not None else {}
    new_fields = model_lib.to_fields(after) if after is not None else {}
    rows = []
    for field in sorted(old_fields.keys() | new_fields.keys()):
        if old_fields.get(field) == new_fields.get(field):
            continue
        cells = [old_fields.get(field, ""), new_fields.get(field, "")]
        if field == "cache_secret":
            cells = ["(secret)", "(another secret)"]
        rows.append(
            [
                html.escape(field),
                f"<del>{html.escape(cells[0])}</del>",
                f"<ins>{html.escape(cells[1])}</ins>",
            ]
        )
    if not rows:
        return "<p class=note>no difference</p>"
    return html.table(["field", "current", "new"], rows)
