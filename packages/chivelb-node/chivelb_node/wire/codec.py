"""Encodes and decodes envelopes, within bounds of size."""

import dataclasses
from typing import Any

import capnp
import msgspec

from chivelb_node.wire import registry
from chivelb_node.wire import schema

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4_194_304
# Reading may follow pointers over at most this many words, which bounds
# what a small hostile message can cost.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_MESSAGE_BYTES // 8

_module = capnp.load(str(schema.SCHEMA_PATH))
_envelope = _module.Envelope
_TYPES = {registry.field_name(t): t for t in registry.MESSAGES}
_NAMES = {t: name for name, t in _TYPES.items()}


class WireError(Exception):
    """Bytes that are no valid envelope."""


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message and the numbers that tie replies to requests.

    Attributes:
        body: The message.
        request_id: Number of a request that wants a reply; 0 for none.
        reply_to: Number of the request that this answers; 0 for none.
    """

    body: Any
    request_id: int = 0
    reply_to: int = 0


def encode(envelope: Envelope) -> bytes:
    """Encodes an envelope.

    Raises:
        WireError: The result would exceed ``MAX_MESSAGE_BYTES``.
    """
    name = _NAMES[type(envelope.body)]
    message = _envelope.new_message(
        requestId=envelope.request_id, replyTo=envelope.reply_to
    )
    plain = msgspec.to_builtins(envelope.body, builtin_types=(bytes,))
    message.init(name).from_dict(plain)
    data = message.to_bytes_packed()
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(f"{name} has {len(data)} bytes")
    return data


def decode(data: bytes) -> Envelope:
    """Decodes an envelope and checks its types.

    Raises:
        WireError: The bytes are no valid envelope.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(f"{len(data)} bytes; at most {MAX_MESSAGE_BYTES}")
    try:
        message = _envelope.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        name = message.which()
        plain = getattr(message, name).to_dict()
        request_id, reply_to = message.requestId, message.replyTo
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise WireError(f"no envelope: {str(error)[:200]}") from None
    try:
        body = msgspec.convert(plain, _TYPES[str(name)], builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise WireError(f"{name}: {error}") from None
    return Envelope(body, request_id, reply_to)
