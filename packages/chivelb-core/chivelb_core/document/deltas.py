"""Deltas between document versions, and the history of the newest ones.

The history is kept encoded: decoded, a delta that changes all parts of a
document takes several times as much memory.
"""

from collections.abc import Iterable

import msgspec

from chivelb_core.document import changes

# Limits of a history. An instance that is further behind gets the whole
# document instead, which is hardly larger than one delta of all its parts.
MAX_HISTORY_BYTES = 1_048_576
MAX_HISTORY_DELTAS = 2_000
MAX_REPLICA_HISTORY_DELTAS = 500


class DeltaError(ValueError):
    """Raised for a delta that can't be applied to a document state."""


class StateError(ValueError):
    """Raised for bytes that are no document state or no list of deltas."""


class DocumentDelta(msgspec.Struct, frozen=True):
    """The difference between ``version - 1`` and ``version``.

    Attributes:
        version: Version that the delta leads to.
        change_id: Id of the change that created the version.
        author: Who requested the change.
        operations: Operations on the document, in order.
        number: The operator's document number at this version.
        weights: Number of the newest requested weight version of each model
            at this document version.
        evacuated_zones: Evacuated availability zones at this document version,
            each with the version since which it is evacuated.
    """

    version: int
    change_id: str
    author: str
    operations: list[changes.Operation]
    number: int = 0
    weights: dict[str, int] = {}
    evacuated_zones: dict[str, int] = {}


_deltas_decoder = msgspec.msgpack.Decoder(list[DocumentDelta])
_delta_decoder = msgspec.msgpack.Decoder(DocumentDelta)


def encode_delta(delta: DocumentDelta) -> msgspec.Raw:
    """Encodes a delta for a history."""
    return msgspec.Raw(msgspec.msgpack.encode(delta))


def decode_deltas(data: bytes) -> list[DocumentDelta]:
    """Decodes a list of deltas.

    Raises:
        StateError: The data is no list of deltas.
    """
    return decode(_deltas_decoder, data)


def decode_history(history: Iterable[msgspec.Raw]) -> list[DocumentDelta]:
    """Decodes the deltas of a history.

    Raises:
        StateError: An entry of the history is no delta.
    """
    return [decode(_delta_decoder, encoded) for encoded in history]


def decode(decoder: msgspec.msgpack.Decoder, data: bytes | msgspec.Raw):
    """Decodes data with a typed decoder.

    Raises:
        StateError: The data is malformed, or not of the decoder's type.
    """
    # UnicodeDecodeError, of a text that is no UTF-8, is a ValueError too.
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise StateError(str(error)) from None


def newest(
    history: list[msgspec.Raw],
    *,
    max_count: int,
    max_bytes: int = MAX_HISTORY_BYTES,
) -> list[msgspec.Raw]:
    """Returns the newest deltas of a history, within limits.

    The newest delta alone is kept whatever its size: those who have the
    version before follow by it.

    Args:
        history: Encoded deltas, oldest first.
        max_count: Most deltas to keep.
        max_bytes: Most bytes that the deltas may have together.
    """
    size = 0
    for count, encoded in enumerate(reversed(history)):
        size += len(encoded)
        if count == max_count or (count > 0 and size > max_bytes):
            return history[len(history) - count :]
    return history


def restore(history: list[msgspec.Raw], version: int) -> list[msgspec.Raw]:
    """Returns the usable part of a history that was decoded with its state.

    Args:
        history: Encoded deltas, as parts of the data of the state; an earlier
            build may have kept any number of bytes.
        version: Version of the state.

    Returns:
        Copies of the newest deltas, so that the data is not kept with them;
        none if they don't lead to the version.

    Raises:
        StateError: One of these is no delta.
    """
    kept = newest(history, max_count=MAX_HISTORY_DELTAS)
    versions = [delta.version for delta in decode_history(kept)]
    first = version - len(kept) + 1
    if versions != list(range(first, version + 1)):
        return []
    return [encoded.copy() for encoded in kept]
