"""Combines the ranks of a customer and a route into the rank of a call.

A smaller rank is more urgent.
"""

from collections.abc import Callable

MAX_RANK = 999
"""Maximum rank of a customer or route; greater ones are clamped to it."""
UNRANKED = 0
"""Rank of a customer without a rank of its own."""

RankOrder = Callable[[int | None, int], int]
RANK_ORDERS: dict[str, RankOrder] = {}


def register_rank_order(name: str) -> Callable[[RankOrder], RankOrder]:
    """Register a rank order under its name in the settings."""

    def register(order: RankOrder) -> RankOrder:
        RANK_ORDERS[name] = order
        return order

    return register


@register_rank_order('route_first')
def rank_route_first(customer_rank: int | None, route_rank: int) -> int:
    """Order by the rank of the route, then by that of the customer.

    No call of a more urgent route is denied while a call of a less urgent
    route is kept, whichever customers sent them.
    """
    return _combine_ranks(route_rank, customer_rank)


@register_rank_order('customer_first')
def rank_customer_first(customer_rank: int | None, route_rank: int) -> int:
    """Order by the rank of the customer, then by that of the route.

    The route's rank takes the place of a missing customer rank.
    """
    primary = route_rank if customer_rank is None else customer_rank
    return _combine_ranks(primary, route_rank)


def rank_continued_stream(rank: int) -> int:
    """Return the rank of the rest of a stream whose beginning is delivered.

    It comes after new calls of the most urgent rank and before all others:
    the target may still keep its prompt, and what the caller has is of no use
    without the rest.

    :param rank: rank of the stream when it was a new call.
    """
    return min(rank, MAX_RANK)


def _combine_ranks(primary: int, secondary: int | None) -> int:
    secondary_rank = (
        UNRANKED if secondary is None else min(secondary, MAX_RANK)
    )
    return min(primary, MAX_RANK) * (MAX_RANK + 1) + secondary_rank
