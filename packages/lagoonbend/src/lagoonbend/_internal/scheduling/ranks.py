"""Importance of a call, from the ranks of its customer and its route."""

from collections.abc import Callable

GREATEST_RANK = 999
"""Greatest rank of one kind; greater ones count as this."""
UNRANKED = 0
"""Rank of a customer that has none."""

RankOrder = Callable[[int | None, int], int]
RANK_ORDERS: dict[str, RankOrder] = {}


def register_rank_order(name: str) -> Callable[[RankOrder], RankOrder]:
    """Register an order under the name that settings use."""

    def register(order: RankOrder) -> RankOrder:
        RANK_ORDERS[name] = order
        return order

    return register


@register_rank_order('route_first')
def rank_route_first(customer_rank: int | None, route_rank: int) -> int:
    """Let the route decide, and the customer among calls of one rank.

    No call of an urgent kind is refused while one of a less urgent kind is
    kept, whoever sent it.
    """
    return _join(route_rank, customer_rank)


@register_rank_order('customer_first')
def rank_customer_first(customer_rank: int | None, route_rank: int) -> int:
    """Let the customer decide, and the route if the customer has no rank."""
    lead = route_rank if customer_rank is None else customer_rank
    return _join(lead, route_rank)


def _join(first: int, second: int | None) -> int:
    low = UNRANKED if second is None else min(second, GREATEST_RANK)
    return min(first, GREATEST_RANK) * (GREATEST_RANK + 1) + low
