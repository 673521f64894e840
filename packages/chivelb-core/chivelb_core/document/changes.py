"""Changes of the document: typed operations on its parts."""

from typing import Any

import msgspec

from chivelb_core.document import checks
from chivelb_core.document import model as model_lib

WHOLE = "*"
MAX_OPERATIONS = 1_000


class Operation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Puts or deletes one part of the document.

    Attributes:
        path: ``collection/name`` or ``limits``.
        value: The part as plain data; None deletes it.
    """

    path: str
    value: Any = None


class Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A change that an operator asks for.

    Attributes:
        change_id: Unique id; a resend carries the same one.
        base_version: The version that the operator saw.
        operations: What to put and delete, in order.
        whole: Compare the base with the whole document's version instead of
            the versions of the parts that the operations touch.
        author: Who asked, for the history.
    """

    change_id: str
    base_version: int
    operations: list[Operation]
    whole: bool = False
    author: str = ""


class Replacement(msgspec.Struct, frozen=True):
    """A whole document under the operator's own number.

    Attributes:
        number: The operator's number; the highest wins.
        document: The document.
        source: The same as the operator sent it, for reading it back.
    """

    number: int
    document: model_lib.Document
    source: bytes


def apply_operations(
    document: model_lib.Document,
    operations: list[Operation],
    *,
    check: bool = True,
) -> tuple[model_lib.Document, list[checks.Problem]]:
    """Returns a new document with the operations applied.

    Args:
        document: The document to start from; it stays as it is.
        operations: What to put and delete, in order.
        check: Whether the meaning is checked; not again for what the voters
            have accepted.

    Returns:
        The new document and every problem found; with any problem the
        document must not be used.
    """
    parts = {
        name: dict(getattr(document, name)) for name in model_lib.COLLECTIONS
    }
    limits = document.limits
    problems = []
    for operation in operations:
        if operation.path == "limits":
            limits = _decode_part(
                "limits", operation.value or {}, model_lib.Limits, problems
            )
            continue
        collection, _, name = operation.path.partition("/")
        if collection not in parts or not name or "/" in name:
            choices = ["limits", *(f"{key}/NAME" for key in parts)]
            problems.append(
                checks.Problem(
                    operation.path, checks.suggest(operation.path, choices)
                )
            )
        elif operation.value is None:
            if parts[collection].pop(name, None) is None:
                problems.append(
                    checks.Problem(operation.path, "is not in the document")
                )
        else:
            parts[collection][name] = _decode_part(
                operation.path,
                operation.value,
                model_lib.COLLECTIONS[collection],
                problems,
            )
    if problems:
        return document, problems
    changed = model_lib.Document(**parts, limits=limits)
    return changed, checks.find_problems(changed) if check else []


def _decode_part(
    path: str, value: Any, part_type: type, problems: list[checks.Problem]
) -> Any:
    try:
        return msgspec.convert(value, part_type)
    except msgspec.ValidationError as error:
        problems.append(checks.Problem(path, str(error)))
        return None


def diff_documents(
    old: model_lib.Document, new: model_lib.Document
) -> list[Operation]:
    """Returns the operations that turn one document into another.

    Example:
        >>> diff_documents(model_lib.Document(), model_lib.Document())
        []
    """
    operations = []
    for collection in model_lib.COLLECTIONS:
        before, after = getattr(old, collection), getattr(new, collection)
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            value = None
            if name in after:
                value = msgspec.to_builtins(after[name])
            operations.append(Operation(f"{collection}/{name}", value))
    if old.limits != new.limits:
        operations.append(Operation("limits", msgspec.to_builtins(new.limits)))
    return operations
