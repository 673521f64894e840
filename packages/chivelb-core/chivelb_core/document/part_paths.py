"""Paths of the document's parts: the keys of operations and part versions.

A path is the name of a collection, a slash and the name of the part. Names of
collections have no slash, so that the first slash ends them, and the name of a
part may be any text. The path of the limits is ``limits``.
"""

import typing

from chivelb_core.document import model as model_lib

LIMITS = "limits"


class Part(typing.NamedTuple):
    """Collection and name of a part."""

    collection: str
    name: str


def encode(collection: str, name: str) -> str:
    """Returns the path of a part."""
    return f"{collection}/{name}"


def decode(path: str) -> Part | None:
    """Returns the part that a path names, or None if it names none.

    Example:
        >>> decode("routes/quotes/full")
        Part(collection='routes', name='quotes/full')
    """
    collection, slash, name = path.partition("/")
    if not slash or collection not in model_lib.COLLECTIONS:
        return None
    return Part(collection, name)
