"""Helpers that render escaped HTML."""

from collections.abc import Iterable
import html

STYLE = (
    "body{font:16px sans-serif;margin:2em auto;max-width:60em;padding:0 1em}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;"
    "border:1px solid #bbb;text-align:left;vertical-align:top}"
    "label{display:block;margin:.7em 0}input,select{font:inherit;"
    "min-width:24em}.fault{background:#fdd;padding:.6em}"
    ".note{background:#eef;padding:.6em}nav a{margin-right:1em}"
    "del{background:#fdd}ins{background:#dfd}"
)


def escape(value: object) -> str:
    """Escapes a value for HTML text and quoted attributes."""
    return html.escape(str(value), quote=True)


def page(title: str, body: str, *, menu: Iterable[str] = ()) -> str:
    """Returns a complete page.

    Args:
        title: Unescaped title.
        body: Escaped HTML of the body.
        menu: Names of the collections to link to in the menu.
    """
    links = "".join(
        f'<a href="/console/{escape(name)}">{escape(name)}</a>' for name in menu
    )
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        '<meta name=viewport content="width=device-width">'
        f"<title>{escape(title)} - chivelb</title><style>{STYLE}</style>"
        f'<nav><a href="/console">overview</a>{links}</nav>'
        f"<h1>{escape(title)}</h1>{body}</html>"
    )


def table(header: list[str], rows: Iterable[list[str]]) -> str:
    """Returns a table.

    Args:
        header: Unescaped column titles.
        rows: Escaped HTML of the cells, by row.
    """
    header_cells = "".join(f"<th>{escape(cell)}</th>" for cell in header)
    body_rows = "".join(
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{header_cells}</tr>{body_rows}</table>"


def hidden(name: str, value: object) -> str:
    """Returns a hidden form field."""
    return f'<input type=hidden name="{escape(name)}" value="{escape(value)}">'


def text_field(name: str, value: object, *, required: bool) -> str:
    """Returns a labelled text input."""
    attribute = " required" if required else ""
    return (
        f'<label>{escape(name)}<br><input name="{escape(name)}" '
        f'value="{escape(value)}"{attribute}></label>'
    )


def choice_field(name: str, value: str, choices: Iterable[str]) -> str:
    """Returns a labelled drop-down list."""
    options = "".join(
        f"<option{' selected' if choice == value else ''}>"
        f"{escape(choice)}</option>"
        for choice in choices
    )
    return (
        f"<label>{escape(name)}<br>"
        f'<select name="{escape(name)}">{options}</select></label>'
    )
