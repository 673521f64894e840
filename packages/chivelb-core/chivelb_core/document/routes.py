"""Finds the route of a request by its host and path."""

from collections.abc import Iterator

from chivelb_core.document import model as model_lib


class RouteTable:
    """Index of a document's routes by host and path prefix.

    Attributes:
        by_host: For each host in lower case, the routes' names and routes by
            path prefix.
    """

    __slots__ = ("by_host",)

    def __init__(self, document: model_lib.Document) -> None:
        """Creates the index."""
        self.by_host: dict[str, dict[str, tuple[str, model_lib.Route]]] = {}
        for name, route in document.routes.items():
            routes_by_prefix = self.by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = (name, route)

    def match(self, host: str, path: str) -> tuple[str, model_lib.Route] | None:
        """Returns the name and route with the longest matching prefix.

        Args:
            host: Host header of the request. A port is ignored unless a
                route's host has one.
            path: Path of the request, without the query.

        Returns:
            Name and route, or None if no route matches.
        """
        host = host.lower()
        routes_by_prefix = self.by_host.get(host)
        if routes_by_prefix is None:
            routes_by_prefix = self.by_host.get(host.partition(":")[0])
        if routes_by_prefix is None:
            return None
        for prefix in _directory_prefixes(path):
            named_route = routes_by_prefix.get(prefix)
            if named_route is not None:
                return named_route
        return None


def _directory_prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
