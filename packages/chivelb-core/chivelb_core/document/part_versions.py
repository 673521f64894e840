"""Versions of removed parts, which the document state keeps within limits."""

from collections.abc import Iterable

from chivelb_core.document import changes
from chivelb_core.document import model as model_lib
from chivelb_core.document import part_paths

# Limits of the removed parts whose versions are known. A change of a part that
# is based on a version before a forgotten removal conflicts.
MAX_REMOVED_PARTS = 10_000
MAX_REMOVED_PATH_BYTES = 1_048_576


def forget_removed(
    part_versions: dict[str, int],
    document: model_lib.Document,
    operations: Iterable[changes.Operation],
) -> int:
    """Forgets the oldest removed parts if there are too many.

    Half of what the limits allow is left, so that few changes do this work.

    Args:
        part_versions: Version that last changed each part, by path, of removed
            parts too; modified.
        document: The current document.
        operations: Operations that led to it.

    Returns:
        The highest version of a forgotten part; 0 if none was forgotten.
    """
    if all(operation.value is not None for operation in operations):
        return 0
    removed = [
        (version, path)
        for path, version in part_versions.items()
        if not _is_part_of(document, path)
    ]
    size = sum(len(path) for _, path in removed)
    if len(removed) <= MAX_REMOVED_PARTS and size <= MAX_REMOVED_PATH_BYTES:
        return 0
    forgotten = 0
    count = len(removed)
    for version, path in sorted(removed):
        if (
            count <= MAX_REMOVED_PARTS // 2
            and size <= MAX_REMOVED_PATH_BYTES // 2
        ):
            break
        del part_versions[path]
        forgotten = version
        count -= 1
        size -= len(path)
    return forgotten


def _is_part_of(document: model_lib.Document, path: str) -> bool:
    part = part_paths.decode(path)
    if part is None:
        return path == part_paths.LIMITS
    return part.name in getattr(document, part.collection)
