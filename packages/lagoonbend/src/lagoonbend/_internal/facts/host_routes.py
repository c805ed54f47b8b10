"""Routes of one host, found by the path of a request."""

from collections.abc import Iterable

from lagoonbend._internal.facts.route import Route


class HostRoutes:
    """Finds a route in one look-up for each length that prefixes have.

    :param routes: routes of the host; of two with the same prefix, the first
        one is found.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_prefix: dict[str, Route] = {}
        for route in routes:
            self._by_prefix.setdefault(route.path_prefix, route)
        self._lengths = sorted(
            {len(prefix) for prefix in self._by_prefix}, reverse=True
        )

    def find(self, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of the path."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
