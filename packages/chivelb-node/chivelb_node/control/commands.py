"""Commands of the replicated log and their encoding."""

from chivelb_core import document
import msgspec

from chivelb_node.wire import codec

# A log entry travels in one message, whose encoding may be a quarter larger.
MAX_COMMAND_BYTES = codec.MAX_MESSAGE_BYTES * 3 // 4


class CommandTooLargeError(ValueError):
    """A command exceeds what a message between instances may hold."""


class LeaseCommand(msgspec.Struct, frozen=True):
    """Grants a named lease under a new fencing token.

    Such a lease gives a role, like that of the controller, to one holder at a
    time. Leases of target announcements and of KV cache blocks are unrelated.

    Attributes:
        lease: Name of the lease.
        holder: Id of the requesting holder.
        expected: Newest fencing token of the lease that the requester knows:
            its own to renew it, or that of a lease it saw expire; 0 for none.
            The lease is granted only if this is still the current token.
    """

    lease: str
    holder: str
    expected: int


class WeightsCommand(msgspec.Struct, frozen=True):
    """Sets the wanted weight version of a model, which runners should load.

    Attributes:
        model: Name of the model.
        version: Weight version. The highest version in the log is the wanted
            one.
    """

    model: str
    version: int


class EvacuationCommand(msgspec.Struct, frozen=True):
    """Evacuates an availability zone, or ends its evacuation.

    Attributes:
        zone: Name of the availability zone.
        evacuate: True to evacuate the zone, False to end its evacuation.
        known_version: Document version in force at the instance that received
            the order, at that time. The order has no effect if the zone got
            another one in a later version.
    """

    zone: str
    evacuate: bool
    known_version: int


# Kind of the log entries that hold an ``EvacuationCommand``.
EVACUATION_KIND = "evacuation"

Command = (
    document.Change
    | document.DocumentReplacement
    | LeaseCommand
    | WeightsCommand
    | EvacuationCommand
)
_change_decoder = msgspec.msgpack.Decoder(document.Change)
_lease_decoder = msgspec.msgpack.Decoder(LeaseCommand)
_replacement_decoder = msgspec.msgpack.Decoder(document.DocumentReplacement)
_weights_decoder = msgspec.msgpack.Decoder(WeightsCommand)
_evacuation_decoder = msgspec.msgpack.Decoder(EvacuationCommand)


def encode(command: Command) -> bytes:
    """Encodes a command for a log entry."""
    return msgspec.msgpack.encode(command)


def check_size(payload: bytes) -> None:
    """Checks that a command can be sent to all members of the control group.

    Raises:
        CommandTooLargeError: It exceeds ``MAX_COMMAND_BYTES``.
    """
    if len(payload) > MAX_COMMAND_BYTES:
        raise CommandTooLargeError(
            f"command of {len(payload)} bytes: at most {MAX_COMMAND_BYTES} "
            "are allowed; split the change"
        )


def decode_change(data: bytes) -> document.Change:
    """Decodes a change from a log entry."""
    return _change_decoder.decode(data)


def decode_lease(data: bytes) -> LeaseCommand:
    """Decodes a lease command from a log entry."""
    return _lease_decoder.decode(data)


def decode_replacement(data: bytes) -> document.DocumentReplacement:
    """Decodes a replacement of the document from a log entry."""
    return _replacement_decoder.decode(data)


def decode_weights(data: bytes) -> WeightsCommand:
    """Decodes a weights command from a log entry."""
    return _weights_decoder.decode(data)


def decode_evacuation(data: bytes) -> EvacuationCommand:
    """Decodes an evacuation command from a log entry."""
    return _evacuation_decoder.decode(data)
