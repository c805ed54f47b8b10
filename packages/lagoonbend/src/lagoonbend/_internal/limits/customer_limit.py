"""The limit of a customer."""

from typing import NamedTuple


class CustomerLimit(NamedTuple):
    """How many requests of a customer pass, over all instances.

    :param rate_per_s: requests a second.
    :param burst: requests at once.
    """

    rate_per_s: float
    burst: int
