"""Encoding of snapshots and groups."""

import msgspec

from chivelb_core.consensus import group as group_lib


class Snapshot(msgspec.Struct, frozen=True):
    """Contents of a snapshot.

    Attributes:
        group: Committed control group.
        state: Encoded state of the state machine. It may be large, so that a
            decoded snapshot has a view of its data in place of a copy.
    """

    group: group_lib.Group
    state: memoryview


def encode_snapshot(group: group_lib.Group, state: bytes) -> bytes:
    """Encodes a snapshot as MessagePack."""
    return msgspec.msgpack.encode(Snapshot(group, memoryview(state)))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot from MessagePack."""
    return msgspec.msgpack.decode(data, type=Snapshot)


def decode_snapshot_group(data: bytes) -> group_lib.Group:
    """Returns the control group of a snapshot."""
    return decode_snapshot(data).group


def encode_group(group: group_lib.Group) -> bytes:
    """Encodes a group for a membership entry."""
    return msgspec.msgpack.encode(group)


def decode_group(data: bytes) -> group_lib.Group:
    """Decodes a group from a membership entry."""
    return msgspec.msgpack.decode(data, type=group_lib.Group)
