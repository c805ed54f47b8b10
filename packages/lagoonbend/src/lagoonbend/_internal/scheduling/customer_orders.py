"""Orders among the customers whose calls of one rank wait for a pool."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import ClassVar
from typing import Protocol
from typing import TypeVar

from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.scheduling.slot_request import SlotRequest

Item = TypeVar('Item')


class CustomerOrder(Protocol[Item]):
    """Orders the waiting calls of a pool within each rank.

    ``is_by_customer`` is True if calls of one rank wait for different times
    depending on their customer.
    """

    is_by_customer: ClassVar[bool]

    def add(
        self, customer: str, waiter: Waiter[Item], *, is_late: bool
    ) -> None:
        """Add a call that starts to wait.

        :param customer: name of the customer; empty for a public call.
        :param is_late: True if it misses its objective.
        """

    def remove(
        self, customer: str, waiter: Waiter[Item], *, is_late: bool
    ) -> None:
        """Remove a call that no longer waits."""

    def iterate(
        self, waiters: Iterable[Waiter[Item]]
    ) -> Iterable[Waiter[Item]]:
        """Return the waiting calls, the next one to run first.

        :param waiters: all of them, by rank and then by latest start.
        """

    def record_grant(
        self, request: SlotRequest, hold_ms: float, now_ms: int
    ) -> None:
        """Record that a call has obtained a slot.

        :param hold_ms: mean time for which calls of its rank hold a slot.
        """

    def record_release(
        self,
        instance: str,
        call: str,
        now_ms: int,
        *,
        is_answered: bool = False,
    ) -> None:
        """Record that a call has released its slot, if it held one.

        :param is_answered: True if it has run to its end.
        """

    def drop_instance(self, instance: str, now_ms: int) -> None:
        """Record that all calls of an instance have released their slots."""

    def count_ahead(self, rank: int, customer: str, count: int) -> int:
        """Return how many calls of its own rank a new call waits for.

        :param count: calls of that rank that wait and can be on time.
        """

    def describe(self, now_ms: int) -> list[str]:
        """Return a line of text on each customer with much use, for logs."""


CustomerOrderClass = type[CustomerOrder[Any]]
CUSTOMER_ORDERS: dict[str, CustomerOrderClass] = {}


def register_customer_order(
    name: str,
) -> Callable[[CustomerOrderClass], CustomerOrderClass]:
    """Register an order under its name in the settings."""

    def register(order: CustomerOrderClass) -> CustomerOrderClass:
        CUSTOMER_ORDERS[name] = order
        return order

    return register


@register_customer_order('latest_start')
class LatestStartOrder:
    """Orders calls by latest start, whichever customers sent them."""

    is_by_customer: ClassVar[bool] = False

    def add(
        self, customer: str, waiter: Waiter[Any], *, is_late: bool
    ) -> None:
        """Do nothing."""

    def remove(
        self, customer: str, waiter: Waiter[Any], *, is_late: bool
    ) -> None:
        """Do nothing."""

    def iterate(self, waiters: Iterable[Waiter[Any]]) -> Iterable[Waiter[Any]]:
        """Return the waiting calls as they are."""
        return waiters

    def record_grant(
        self, request: SlotRequest, hold_ms: float, now_ms: int
    ) -> None:
        """Do nothing."""

    def record_release(
        self,
        instance: str,
        call: str,
        now_ms: int,
        *,
        is_answered: bool = False,
    ) -> None:
        """Do nothing."""

    def drop_instance(self, instance: str, now_ms: int) -> None:
        """Do nothing."""

    def count_ahead(self, rank: int, customer: str, count: int) -> int:
        """Return ``count``."""
        return count

    def describe(self, now_ms: int) -> list[str]:
        """Return nothing, as use isn't recorded."""
        return []
