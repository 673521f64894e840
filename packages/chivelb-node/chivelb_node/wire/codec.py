"""Encodes and decodes envelopes, with limits on their size."""

import dataclasses
from typing import Any

import capnp
import msgspec

from chivelb_node.wire import registry
from chivelb_node.wire import schema

# Not sent or checked: links and datagrams carry ``authentication.MAGIC``, which
# identifies the protocol and its version.
PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4_194_304
# Limits the words that pointers may cover while a message is read, so that a
# small malicious message can't cause unbounded work.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_MESSAGE_BYTES // 8

_schema_module = capnp.load(str(schema.SCHEMA_PATH))
_envelope_schema = _schema_module.Envelope
_MESSAGE_TYPES = {registry.field_name(t): t for t in registry.MESSAGES}
_FIELD_NAMES = {t: name for name, t in _MESSAGE_TYPES.items()}


class WireError(Exception):
    """An envelope can't be decoded, or is too large to encode."""


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message and the ids that match replies to requests.

    Attributes:
        body: The message.
        request_id: Id of a request that expects a reply; 0 for none.
        reply_to: Id of the request that this message answers; 0 for none.
    """

    body: Any
    request_id: int = 0
    reply_to: int = 0


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope.

    Raises:
        WireError: The encoded envelope exceeds ``MAX_MESSAGE_BYTES``.
    """
    name = _FIELD_NAMES[type(envelope.body)]
    message = _envelope_schema.new_message(
        requestId=envelope.request_id, replyTo=envelope.reply_to
    )
    fields = msgspec.to_builtins(envelope.body, builtin_types=(bytes,))
    message.init(name).from_dict(fields)
    data = message.to_bytes_packed()
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(f"{name} is too large: {len(data)} bytes")
    return data


def decode(data: bytes) -> Envelope:
    """Decodes an envelope and validates its types.

    Raises:
        WireError: The bytes are not a valid envelope.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(
            f"{len(data)} bytes exceed the limit of {MAX_MESSAGE_BYTES}"
        )
    try:
        message = _envelope_schema.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        name = message.which()
        fields = getattr(message, name).to_dict()
        request_id, reply_to = message.requestId, message.replyTo
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise WireError(f"invalid envelope: {str(error)[:200]}") from None
    try:
        body = msgspec.convert(
            fields, _MESSAGE_TYPES[str(name)], builtin_types=(bytes,)
        )
    except msgspec.ValidationError as error:
        raise WireError(f"{name}: {error}") from None
    return Envelope(body, request_id, reply_to)
