"""Finds the route of a request by host and path."""

from collections.abc import Iterator

from chivelb_core.document import model as model_lib


class RouteTable:
    """Routes by host and path prefix.

    Attributes:
        by_host: Name and route by path prefix, for each host.
    """

    __slots__ = ("by_host",)

    def __init__(self, document: model_lib.Document) -> None:
        """Indexes a document's routes."""
        self.by_host: dict[str, dict[str, tuple[str, model_lib.Route]]] = {}
        for name, route in document.routes.items():
            places = self.by_host.setdefault(route.host.lower(), {})
            places[route.path_prefix] = (name, route)

    def match(self, host: str, path: str) -> tuple[str, model_lib.Route] | None:
        """Returns name and route of the longest prefix that fits, or None.

        Args:
            host: Host that the request names; a port is ignored.
            path: Path without the query.
        """
        host = host.lower()
        places = self.by_host.get(host)
        if places is None:
            places = self.by_host.get(host.partition(":")[0])
        if places is None:
            return None
        for prefix in _prefixes(path):
            found = places.get(prefix)
            if found is not None:
                return found
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yields what precedes each slash, with the slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
