"""A version of the operators' rules."""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonbend._internal.facts.caller_bounds import CallerBounds
from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.facts.route import Route
from lagoonbend._internal.facts.service_profile import ServiceProfile


class RuleSet(NamedTuple):
    """One version of the configuration, whole and never changed.

    :param version: a greater version is newer.
    :param routes_by_host: routes of a host, longest path prefix first.
    :param services: services by name.
    :param customers_by_key: customers by the keys that name them.
    :param customers_by_name: the same customers by their names.
    :param requires_keys: True if requests to routes that are not public
        need a key.
    :param bounds: bounds on callers.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceProfile]
    customers_by_key: Mapping[str, CustomerRule]
    customers_by_name: Mapping[str, CustomerRule]
    requires_keys: bool
    bounds: CallerBounds

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
