"""A version of the operators' configuration."""

from collections.abc import Mapping
import functools
from typing import NamedTuple

from lagoonbend._internal.facts.caller_bounds import CallerBounds
from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.facts.host_routes import HostRoutes
from lagoonbend._internal.facts.route import Route
from lagoonbend._internal.facts.service_profile import ServiceProfile


class _RuleSetFields(NamedTuple):
    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceProfile]
    customers_by_key: Mapping[str, CustomerRule]
    customers_by_name: Mapping[str, CustomerRule]
    requires_keys: bool
    bounds: CallerBounds


class RuleSet(_RuleSetFields):
    """One complete, immutable version of the configuration.

    The cost of what each call asks doesn't grow with the configuration.

    :param version: a greater version is newer.
    :param routes_by_host: routes of each host, longest path prefix first.
    :param services: services by name.
    :param customers_by_key: customers by their keys.
    :param customers_by_name: the same customers by name.
    :param requires_keys: True if requests to routes that are not public need a
        key.
    :param bounds: limits on what callers may send.
    """

    @functools.cached_property
    def longest_timeout_ms(self) -> int:
        """Longest timeout of all routes."""
        return max(
            (
                route.timeout_ms
                for routes in self.routes_by_host.values()
                for route in routes
            ),
            default=0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of the path."""
        routes = self._routes.get(host)
        return routes.find(path) if routes is not None else None

    @functools.cached_property
    def _routes(self) -> dict[str, HostRoutes]:
        return {
            host: HostRoutes(routes)
            for host, routes in self.routes_by_host.items()
        }
