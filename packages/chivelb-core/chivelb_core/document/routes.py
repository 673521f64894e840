"""Finds the route of a request by its host and path."""

import dataclasses

from chivelb_core.document import model as model_lib


@dataclasses.dataclass(slots=True)
class PathNode:
    """A path prefix that ends with a slash.

    Attributes:
        named_route: Name and route with exactly this prefix, or None.
        children: Longer prefixes by their next segment, without slashes.
    """

    named_route: tuple[str, model_lib.Route] | None = None
    children: dict[str, "PathNode"] = dataclasses.field(default_factory=dict)


class RouteTable:
    """Index of a document's routes by host and path prefix.

    Attributes:
        by_host: For each host in lower case, the empty prefix, which begins
            all of its routes' prefixes.
    """

    __slots__ = ("by_host",)

    def __init__(self, document: model_lib.Document) -> None:
        """Creates the index."""
        self.by_host: dict[str, PathNode] = {}
        for name, route in document.routes.items():
            node = self.by_host.setdefault(route.host.lower(), PathNode())
            for segment in route.path_prefix.split("/")[:-1]:
                node = node.children.setdefault(segment, PathNode())
            node.named_route = (name, route)

    def match(self, host: str, path: str) -> tuple[str, model_lib.Route] | None:
        """Returns the name and route with the longest matching prefix.

        The time is linear in the length of the path.

        Args:
            host: Host header of the request. A port is ignored unless a
                route's host has one.
            path: Path of the request, without the query.

        Returns:
            Name and route, or None if no route matches.
        """
        host = host.lower()
        node = self.by_host.get(host)
        if node is None:
            node = self.by_host.get(host.partition(":")[0])
        found = None
        start = 0
        while node is not None:
            found = node.named_route or found
            end = path.find("/", start)
            if end < 0:
                break
            node = node.children.get(path[start:end])
            start = end + 1
        return found
