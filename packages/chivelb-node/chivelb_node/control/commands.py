"""Commands of the replicated log, beyond changes of the document."""

from chivelb_core import document
import msgspec


class LeaseCommand(msgspec.Struct, frozen=True):
    """Grants a named lease under a new fencing token.

    Attributes:
        lease: Name of the lease.
        holder: Who asks.
        expected: Token of the lease that the asker saw lapse; 0 for none.
    """

    lease: str
    holder: str
    expected: int


class WeightsCommand(msgspec.Struct, frozen=True):
    """Names a weight version of a model.

    Attributes:
        model: Name of the model.
        version: The version; the highest named one is wanted.
    """

    model: str
    version: int


Command = document.Change | document.Replacement | LeaseCommand | WeightsCommand
_change_decoder = msgspec.msgpack.Decoder(document.Change)
_lease_decoder = msgspec.msgpack.Decoder(LeaseCommand)
_replacement_decoder = msgspec.msgpack.Decoder(document.Replacement)
_weights_decoder = msgspec.msgpack.Decoder(WeightsCommand)


def encode(command: Command) -> bytes:
    """Encodes a command for an entry."""
    return msgspec.msgpack.encode(command)


def decode_change(data: bytes) -> document.Change:
    """Decodes a change from an entry."""
    return _change_decoder.decode(data)


def decode_lease(data: bytes) -> LeaseCommand:
    """Decodes a lease command from an entry."""
    return _lease_decoder.decode(data)


def decode_replacement(data: bytes) -> document.Replacement:
    """Decodes a replacement of the document from an entry."""
    return _replacement_decoder.decode(data)


def decode_weights(data: bytes) -> WeightsCommand:
    """Decodes a weights command from an entry."""
    return _weights_decoder.decode(data)
