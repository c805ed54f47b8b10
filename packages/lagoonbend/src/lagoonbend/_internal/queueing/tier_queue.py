"""Waiting requests in order of tier and deadline."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from sortedcontainers import SortedKeyList

from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.utils.invariants import Invariants

Item = TypeVar('Item')


class Offer(NamedTuple, Generic[Item]):
    """The result of offering a request to the queue.

    :param accepted: the waiter; None if the queue refused the request.
    :param displaced: the less urgent waiter that was removed for it, if any.
    """

    accepted: Waiter[Item] | None
    displaced: Waiter[Item] | None


class TierQueue(Generic[Item]):
    """A bounded queue in which urgent requests displace others.

    When the queue is full, the last waiter of the lowest tier is removed if
    the new request is of a higher tier; else the new request is refused. No
    request is shed while one of a lower tier is kept.

    :param capacity: maximum number of waiting requests.
    :param invariants: checks that must always hold.
    """

    def __init__(self, capacity: int, invariants: Invariants) -> None:
        self._capacity = capacity
        self._invariants = invariants
        self._sequence = 0
        self._waiters: SortedKeyList = SortedKeyList(
            key=lambda waiter: waiter.order
        )

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter[Item]]:
        return iter(self._waiters)

    def offer(self, item: Item, rank: int, deadline_ms: int) -> Offer[Item]:
        """Add a request; displace one of a lower tier if the queue is full."""
        self._sequence += 1
        waiter = Waiter(rank, deadline_ms, self._sequence, item)
        if len(self._waiters) < self._capacity:
            self._waiters.add(waiter)
            return Offer(waiter, None)
        last = self._waiters[-1] if self._waiters else None
        if last is None or last.rank <= rank:
            self._check_shed(waiter)
            return Offer(None, None)
        self._waiters.remove(last)
        self._waiters.add(waiter)
        self._check_shed(last)
        return Offer(waiter, last)

    def take(
        self,
        is_runnable: Callable[[Item], bool],
        waiters: Iterable[Waiter[Item]] | None = None,
    ) -> Waiter[Item] | None:
        """Remove and return the most urgent waiter that can run now.

        :param waiters: all waiters, the most urgent first; None for the order
            of the queue.
        """
        for waiter in self._waiters if waiters is None else waiters:
            if is_runnable(waiter.item):
                self._waiters.remove(waiter)
                return waiter
        return None

    def remove(self, waiter: Waiter[Item]) -> bool:
        """Remove a waiter; return False if it had left already."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            return False
        return True

    def _check_shed(self, shed: Waiter[Item]) -> None:
        kept_rank = self._waiters[-1].rank if self._waiters else shed.rank
        self._invariants.check(
            kept_rank <= shed.rank,
            'no_shed_while_lower_tier_kept',
            f'shed rank {shed.rank}, kept rank {kept_rank}',
        )
