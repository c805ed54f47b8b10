"""A customer in the configuration."""

from typing import NamedTuple


class CustomerRule(NamedTuple):
    """A customer and its limit.

    :param name: name of the customer.
    :param rank: rank of the customer, which takes precedence over that of a
        route; None if the customer has none.
    :param rate_per_s: units per second over all instances; 0 for no limit.
    :param burst: units at once on top of the rate.
    :param counts_tokens: True if the unit is a token, False if a request.
    :param default_tokens: tokens of a request that doesn't declare its own.
    """

    name: str
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0
