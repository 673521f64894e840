"""Changes of the document: typed operations on its parts.

A part is one entry of a collection, such as ``services/estimator-lm``, or the
site-wide ``limits``.
"""

from typing import Any

import msgspec

from chivelb_core.document import model as model_lib
from chivelb_core.document import part_paths
from chivelb_core.document import validation

# Not used by any module; a change of the whole document sets ``Change.whole``.
WHOLE = "*"
MAX_OPERATIONS = 1_000


class Operation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Puts or deletes one part of the document.

    Attributes:
        path: Path of the part, as encoded by ``part_paths``, or ``limits``.
        value: The new part as built-in types; None deletes the part, and
            resets ``limits`` to the defaults.
    """

    path: str
    value: Any = None


class Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A change of the document, requested by an operator.

    Attributes:
        change_id: Idempotency key; a resend carries the same id.
        base_version: Document version that the change is based on.
        operations: Operations to apply, in order.
        whole: Whether ``base_version`` must equal the version of the whole
            document; otherwise the change conflicts only with newer
            versions of the parts that it modifies.
        author: Who requested the change; kept in the history.
    """

    change_id: str
    base_version: int
    operations: list[Operation]
    whole: bool = False
    author: str = ""


class DocumentReplacement(msgspec.Struct, frozen=True):
    """A replacement of the whole document, numbered by the operator.

    Attributes:
        number: The operator's document number; the highest wins.
        document: The new document.
        source: The document as the operator sent it, for reading it back.
    """

    number: int
    document: model_lib.Document
    source: bytes


def apply_operations(
    document: model_lib.Document,
    operations: list[Operation],
    *,
    check: bool = True,
) -> tuple[model_lib.Document, list[validation.Problem]]:
    """Returns a new document with the operations applied.

    Args:
        document: The document to start from; it is not modified.
        operations: Operations to apply, in order.
        check: Whether to validate names, references and bounds. False for
            deltas, which the voters have validated already.

    Returns:
        The new document and all problems found. If there are problems, the
        document must not be used.
    """
    parts = {
        name: dict(getattr(document, name)) for name in model_lib.COLLECTIONS
    }
    limits = document.limits
    problems = []
    for operation in operations:
        if operation.path == part_paths.LIMITS:
            limits = _decode_part(
                part_paths.LIMITS,
                operation.value or {},
                model_lib.Limits,
                problems,
            )
            continue
        part = part_paths.decode(operation.path)
        if part is None or (check and not _is_plain(part.name)):
            choices = [part_paths.LIMITS, *(f"{key}/NAME" for key in parts)]
            problems.append(
                validation.Problem(
                    operation.path,
                    validation.describe_choices(operation.path, choices),
                )
            )
        elif operation.value is None:
            if parts[part.collection].pop(part.name, None) is None:
                problems.append(
                    validation.Problem(operation.path, "is not in the document")
                )
        else:
            parts[part.collection][part.name] = _decode_part(
                operation.path,
                operation.value,
                model_lib.COLLECTIONS[part.collection],
                problems,
            )
    if problems:
        return document, problems
    new_document = model_lib.Document(**parts, limits=limits)
    return new_document, validation.validate_document(
        new_document
    ) if check else []


def _is_plain(name: str) -> bool:
    """Returns whether an operator's change may name a part so.

    Replacements of the whole document have no such rule, nor have deltas.
    """
    return bool(name) and "/" not in name


def _decode_part(
    path: str, value: Any, part_type: type, problems: list[validation.Problem]
) -> Any:
    try:
        return msgspec.convert(value, part_type)
    except msgspec.ValidationError as error:
        problems.append(validation.Problem(path, str(error)))
        return None


def diff_documents(
    old: model_lib.Document, new: model_lib.Document
) -> list[Operation]:
    """Returns the operations that turn ``old`` into ``new``.

    Example:
        >>> diff_documents(model_lib.Document(), model_lib.Document())
        []
    """
    operations = []
    for collection in model_lib.COLLECTIONS:
        old_parts, new_parts = (
            getattr(old, collection),
            getattr(new, collection),
        )
        for name in sorted(old_parts.keys() | new_parts.keys()):
            if old_parts.get(name) == new_parts.get(name):
                continue
            value = None
            if name in new_parts:
                value = msgspec.to_builtins(new_parts[name])
            path = part_paths.encode(collection, name)
            operations.append(Operation(path, value))
    if old.limits != new.limits:
        limits = msgspec.to_builtins(new.limits)
        operations.append(Operation(part_paths.LIMITS, limits))
    return operations
