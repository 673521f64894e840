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


_change_decoder = msgspec.msgpack.Decoder(document.Change)
_lease_decoder = msgspec.msgpack.Decoder(LeaseCommand)


def encode(command: document.Change | LeaseCommand) -> bytes:
    """Encodes a command for an entry."""
    return msgspec.msgpack.encode(command)


def decode_change(data: bytes) -> document.Change:
    """Decodes a change from an entry."""
    return _change_decoder.decode(data)


def decode_lease(data: bytes) -> LeaseCommand:
    """Decodes a lease command from an entry."""
    return _lease_decoder.decode(data)
