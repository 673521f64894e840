"""Restrictions of requests to the targets of some regions."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from chivelb_core.document import model as model_lib
from chivelb_core.document import validation


def allowed_regions(*restrictions: Iterable[str]) -> frozenset[str] | None:
    """Returns the regions that all restrictions allow.

    Args:
        *restrictions: Regions of the route and of the workspace; an empty one
            restricts nothing.

    Returns:
        The regions, none of them if the restrictions have none in common; None
        if there is no restriction.

    Example:
        >>> sorted(allowed_regions(["a", "b"], [], ["b", "c"]))
        ['b']
    """
    allowed = None
    for restriction in map(frozenset, restrictions):
        if restriction:
            allowed = restriction if allowed is None else allowed & restriction
    return allowed


def call_regions(
    document: model_lib.Document,
    route: model_lib.Route | None,
    workspace: str | None,
) -> frozenset[str] | None:
    """Returns the regions whose targets a request may use.

    Args:
        document: The document in force.
        route: Route of the request, or None.
        workspace: Name of its workspace; None on public routes.

    Returns:
        The regions, or None for all.
    """
    found = None if workspace is None else document.workspaces.get(workspace)
    return allowed_regions(
        () if route is None else route.regions,
        () if found is None else found.regions,
    )


def validate_regions(
    document: model_lib.Document, known_regions: Collection[str]
) -> list[validation.Problem]:
    """Validates the names of regions by those of the settings.

    It is not part of ``validation.validate_document``, since all voters must
    come to the same result, whatever their settings.

    Args:
        document: A type-checked document.
        known_regions: Regions of the settings; if empty, none is checked.

    Returns:
        All problems, sorted by path.
    """
    if not known_regions:
        return []
    problems = [
        *_unknown_regions("routes", document.routes, known_regions),
        *_unknown_regions("workspaces", document.workspaces, known_regions),
    ]
    return sorted(problems, key=lambda problem: problem.path)


def _unknown_regions(
    collection: str, parts: dict, known_regions: Collection[str]
) -> Iterator[validation.Problem]:
    for name, part in parts.items():
        for region in part.regions:
            if region not in known_regions:
                yield validation.Problem(
                    f"{collection}/{name}/regions",
                    validation.describe_choices(
                        region, sorted(set(known_regions))
                    ),
                )
