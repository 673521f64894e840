"""Forms of the operator console: parsing, and the change they describe."""

import types
import typing

from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import model as model_lib
from chivelb_core.document import validation
import msgspec

from chivelb_node.edge import operators
from chivelb_node.edge import responses

MAX_FORM_FIELDS = 200
COLLECTIONS = tuple(model_lib.COLLECTIONS)
Form = dict[str, str]


def parse_form(body: bytes) -> Form:
    """Parses a URL-encoded form.

    Raises:
        responses.RequestError: The form is not valid UTF-8 or has too many
            fields.
    """
    # Imported here because only forms need it.
    import urllib.parse

    try:
        pairs = urllib.parse.parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_FORM_FIELDS,
        )
    except (UnicodeDecodeError, ValueError) as error:
        raise responses.RequestError(codes.BAD_ENCODING, str(error)) from None
    return dict(pairs)


def build_operation(
    form: Form, current: document.Document
) -> document.Operation:
    """Builds a change operation from the fields of a form.

    Args:
        form: The form fields.
        current: The document in force, for secrets that are left unchanged.

    Raises:
        responses.RequestError: A field is invalid.
    """
    collection = form.get("collection", "")
    if collection not in model_lib.COLLECTIONS:
        raise responses.RequestError(
            codes.BAD_FIELD,
            validation.describe_choices(collection, list(COLLECTIONS)),
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
    return operators.restore_secrets(change, current).operations[0]


def _parse_field(field, raw: str) -> typing.Any:
    if isinstance(field.type, types.GenericAlias):
        return [item.strip() for item in raw.split(",") if item.strip()]
    try:
        return msgspec.convert(raw, field.type, strict=False)
    except msgspec.ValidationError as error:
        raise responses.RequestError(
            codes.BAD_FIELD, f"{field.name}: {raw[:80]!r}: {error}"
        ) from None


def redact_value(operation: document.Operation) -> typing.Any:
    """Returns the operation's value with a placeholder for its secret.

    The preview page embeds the value, and secrets must not leave the server.
    """
    if not isinstance(operation.value, dict):
        return operation.value
    if "cache_secret" not in operation.value:
        return operation.value
    return {**operation.value, "cache_secret": operators.SECRET_PLACEHOLDER}
