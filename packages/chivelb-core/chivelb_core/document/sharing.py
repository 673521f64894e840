"""When workspaces may no longer share what they have cached so far.

Prompts that workspaces share are cached under a sharing epoch. Nothing tells
which workspace cached a prompt, so that a workspace that becomes isolated can't
take its prompts along: all others leave that epoch for a new one. An epoch
depends on the replicated changes alone. Within one epoch no workspace is
isolated at one document version and shares prompts at another.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import json

from chivelb_core.document import changes
from chivelb_core.document import model as model_lib

WORKSPACE_PATH = "workspaces/"
EPOCH_DIGEST_BYTES = 16


def name_epoch(version: int, number: int) -> str:
    """Returns the name of the sharing epoch that begins with a change.

    Args:
        version: Document version that the change creates.
        number: The operator's document number; it tells epochs of different
            control groups apart, which number their versions alike.
    """
    return f"{version}.{number}"


def bound_epoch(part_versions: Mapping[str, int]) -> str:
    """Returns a sharing epoch for a state that has recorded none.

    It begins at the last change of any workspace: none became isolated later.

    Args:
        part_versions: Version that last changed each part, by path.
    """
    version = max(
        (
            version
            for path, version in part_versions.items()
            if path.startswith(WORKSPACE_PATH)
        ),
        default=0,
    )
    return f"{version}"


def epoch_version(epoch: str) -> int:
    """Returns the document version with which a sharing epoch began.

    Args:
        epoch: Result of ``name_epoch`` or ``bound_epoch``.
    """
    return int(epoch.partition(".")[0])


def digest_epoch(document: model_lib.Document) -> str:
    """Returns the sharing epoch of a document without versions.

    It is another one for each set of isolated workspaces.
    """
    isolated = sorted(
        name
        for name, workspace in document.workspaces.items()
        if workspace.isolated
    )
    return hashlib.blake2b(
        json.dumps(isolated).encode(), digest_size=EPOCH_DIGEST_BYTES
    ).hexdigest()


def starts_anew(
    epoch: str,
    old: model_lib.Document,
    new: model_lib.Document,
    operations: Iterable[changes.Operation],
    part_versions: Mapping[str, int],
    forgotten_version: int,
) -> bool:
    """Returns whether a change begins a new sharing epoch.

    Args:
        epoch: Sharing epoch before the change; empty for none.
        old: Document before the change.
        new: Document after it.
        operations: Operations of the change.
        part_versions: Version that last changed each part before the change,
            by path; those of removed parts are kept.
        forgotten_version: Highest version of a removed part that
            ``part_versions`` no longer has; 0 if it has all.
    """
    paths = {operation.path for operation in operations}
    if paths and not epoch:
        return True
    return any(
        _changes_isolation(
            path, old, new, forgotten_version > 0 or path in part_versions
        )
        for path in paths
        if path.startswith(WORKSPACE_PATH)
    )


def _changes_isolation(
    path: str,
    old: model_lib.Document,
    new: model_lib.Document,
    existed: bool,
) -> bool:
    """Returns whether a workspace may have been isolated, or not, before."""
    name = path.removeprefix(WORKSPACE_PATH)
    before = old.workspaces.get(name)
    after = new.workspaces.get(name)
    if after is None:
        return False
    if before is None:
        # What a workspace was before its removal is not recorded.
        return existed
    return before.isolated != after.isolated
