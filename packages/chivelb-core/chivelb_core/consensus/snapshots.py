"""Encodes snapshots and groups."""

import msgspec

from chivelb_core.consensus import group as group_lib


class Snapshot(msgspec.Struct, frozen=True):
    """What a snapshot holds.

    Attributes:
        group: The control group.
        state: The encoded state machine.
    """

    group: group_lib.Group
    state: bytes


def encode_snapshot(group: group_lib.Group, state: bytes) -> bytes:
    """Encodes a snapshot."""
    return msgspec.msgpack.encode(Snapshot(group, state))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot."""
    return msgspec.msgpack.decode(data, type=Snapshot)


def decode_snapshot_group(data: bytes) -> group_lib.Group:
    """Returns the control group of a snapshot."""
    return decode_snapshot(data).group


def encode_group(group: group_lib.Group) -> bytes:
    """Encodes a group for an entry."""
    return msgspec.msgpack.encode(group)


def decode_group(data: bytes) -> group_lib.Group:
    """Decodes a group from an entry."""
    return msgspec.msgpack.decode(data, type=group_lib.Group)
