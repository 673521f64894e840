"""Creates the files of a new single voter from a saved document state."""

import pathlib
import secrets

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import snapshots
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import sharing
from chivelb_core.document import state as state_lib

from chivelb_node.storage import voter_files

VERSION_GAP = 1_000


def restore_voter(
    data: bytes, data_dir: pathlib.Path, *, name: str, above: int
) -> int:
    """Writes the files of a voter that is the only member of its group.

    The version is increased by ``VERSION_GAP``, so that it exceeds the
    version of any instance that applied changes made after the save.

    Args:
        data: A document state saved by ``chivelb snapshot save``.
        data_dir: Data directory of the instance; must not contain a voter.
        name: Name of the instance.
        above: Version that the restored one must exceed.

    Returns:
        The restored version.

    Raises:
        ValueError: The data is not a document state, or a voter exists.
    """
    try:
        document_state = state_lib.decode_document_state(data)
    except deltas_lib.StateError as error:
        raise ValueError(f"not a saved document state: {error}") from None
    directory = data_dir / "voter"
    files = voter_files.VoterFiles(directory)
    if files.read_identity():
        raise ValueError(f"{directory}: already contains a voter; move it away")
    document_state.version = max(document_state.version, above) + VERSION_GAP
    document_state.history = []
    # The changes made after the save are not known.
    document_state.sharing_epoch = sharing.name_epoch(
        document_state.version, document_state.number
    )
    member_id = f"{name}/{secrets.token_hex(4)}"
    member = group_lib.Member(member_id, name, True)
    snapshot = snapshots.encode_snapshot(
        group_lib.Group({member_id: member}),
        state_lib.encode_document_state(document_state),
    )
    files.create(member_id, (1, 1, snapshot))
    return document_state.version
