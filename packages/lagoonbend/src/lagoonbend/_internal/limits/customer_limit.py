"""The rate limit of a customer."""

from typing import NamedTuple


class CustomerLimit(NamedTuple):
    """Rate limit in requests, over all instances.

    :param rate_per_s: requests per second.
    :param burst: requests at once.
    """

    rate_per_s: float
    burst: int
