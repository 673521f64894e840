"""Makes the folder of a new, only voter from a saved register."""

import pathlib
import secrets

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import snapshots
from chivelb_core.document import register as register_lib
import msgspec

from chivelb_node.storage import voter_files

VERSION_GAP = 1_000


def restore_voter(
    data: bytes, data_dir: pathlib.Path, *, name: str, above: int
) -> int:
    """Writes a voter's files that lead a group of one.

    The version jumps, so that no instance holds a higher one from changes
    that the saved register does not know.

    Args:
        data: A register saved by ``chivelb snapshot save``.
        data_dir: Data folder of the instance; must not have a voter.
        name: Name of the instance.
        above: Version that the restored one must exceed.

    Returns:
        The restored version.

    Raises:
        ValueError: The data is no register, or a voter exists.
    """
    try:
        register = register_lib.decode_register(data)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not a saved register: {error}") from None
    folder = data_dir / "voter"
    files = voter_files.VoterFiles(folder)
    if files.read_identity():
        raise ValueError(f"{folder}: holds a voter already; move it away")
    register.version = max(register.version, above) + VERSION_GAP
    register.history = []
    member_id = f"{name}/{secrets.token_hex(4)}"
    member = group_lib.Member(member_id, name, True)
    files.create(member_id)
    snapshot = snapshots.encode_snapshot(
        group_lib.Group({member_id: member}),
        register_lib.encode_register(register),
    )
    files.write_snapshot(1, 1, snapshot)
    return register.version
