"""A service and its weight in a route."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """One of the services of a route.

    :param service: name of the service.
    :param weight: its share of the route's requests, relative to the others.
    """

    service: str
    weight: float
