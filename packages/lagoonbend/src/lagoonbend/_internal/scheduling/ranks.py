"""Importance of a call."""

ROUTE_RANKS = 1_000
"""More than any rank of a route, so that customers' ranks go first."""


def combine_ranks(customer_rank: int | None, route_rank: int) -> int:
    """Return one rank; a customer's goes before that of the route."""
    lead = route_rank if customer_rank is None else customer_rank
    return lead * ROUTE_RANKS + route_rank


def find_level(rank: int) -> int:
    """Return the part of a combined rank that the route has given."""
    return rank % ROUTE_RANKS
