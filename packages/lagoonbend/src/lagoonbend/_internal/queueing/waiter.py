"""A request that waits for a target."""

from typing import Generic
from typing import NamedTuple
from typing import TypeVar

Item = TypeVar('Item')


class Waiter(NamedTuple, Generic[Item]):
    """A waiting request, ordered by tier, then deadline, then arrival.

    :param rank: rank of the tier; 0 is the most urgent.
    :param deadline_ms: deadline on the instance's clock.
    :param sequence: order of arrival; unique.
    :param item: the queued request.
    """

    rank: int
    deadline_ms: int
    sequence: int
    item: Item

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key; the most urgent waiter has the smallest one."""
        return (self.rank, self.deadline_ms, self.sequence)
