"""Shares of a pool's slot time among the customers of a rank.

The load that this answers: one of many customers sends several times its usual
load, within its limit. Ordered by latest start alone, its calls take as many
of the slots as they are of the calls that wait.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import ClassVar
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.scheduling import customer_orders
from lagoonbend._internal.scheduling.decayed_sum import DecayedSum
from lagoonbend._internal.scheduling.slot_request import SlotRequest

Item = TypeVar('Item')

USE_DECAY_MS = 5_000.0
"""Time constant of the decay of recorded use. It is about as long as a load
burst of one customer."""
BALANCE_MS = 500.0
"""Time for which the customers of a rank that have used less, all together,
may hold up one that has used more. Earlier use counts for as much again on
its side, and both together stay within the shortest time for which any call
waits before it is denied (``MIN_GIVE_UP_MS``)."""
MAX_DEVIATION_HOLDS = 4
"""Hold times by which actual ones may change the position of a customer at
once. If hold times spread exponentially, less than a hundredth of the slot
time is beyond that."""
HOLD_LEARNING_RATE = 0.1
"""Weight of the newest call in a customer's mean hold time; after some tens
of calls it is that of the customer and no longer that of the rank."""
MIN_HOLD_MS = 1.0
MAX_DESCRIBED = 5
MAX_NAME_LENGTH = 40
"""Bounds of what a log line has about customers."""


class _Account(Generic[Item]):
    """Slot time of one customer in one rank.

    ``position_ms`` is the slot time that counts for the order, ``hold_ms`` the
    mean hold time (0 before the first release), ``used`` the slot time of the
    last seconds, ``granted_ms`` the time of the last grant, ``held_count`` the
    number of slots in use, ``is_entering`` True from the time at which it
    begins to wait until its next grant, and ``waiters`` the waiting calls that
    can be on time, in their order.
    """

    __slots__ = (
        'granted_ms',
        'held_count',
        'hold_ms',
        'is_entering',
        'position_ms',
        'used',
        'waiters',
    )

    def __init__(self) -> None:
        self.position_ms = 0.0
        self.hold_ms = 0.0
        self.used = DecayedSum(USE_DECAY_MS)
        self.granted_ms = 0
        self.held_count = 0
        self.is_entering = False
        self.waiters: list[Waiter[Item]] = []

    def is_idle(self, now_ms: int) -> bool:
        """Return True if neither calls nor recent use remain."""
        return (
            not self.waiters
            and not self.held_count
            and now_ms - self.granted_ms > USE_DECAY_MS
        )


class _RankShares(Generic[Item]):
    """Customers of one rank.

    ``position_ms`` is the highest position from which a call was granted, and
    ``credit_ms`` how far below it a customer may start to wait. ``waiting``
    has the accounts with calls that can be on time.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, _Account[Item]] = {}
        self.waiting: dict[str, _Account[Item]] = {}
        self.late: list[Waiter[Item]] = []
        self.position_ms = 0.0
        self.credit_ms = 0.0
        self.hold_ms = 0.0
        self._used = DecayedSum(USE_DECAY_MS)

    def get_or_open(self, customer: str) -> _Account[Item]:
        """Return the account of a customer."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = _Account()
        return account

    def find_entry_ms(self, account: _Account[Item] | None) -> float:
        """Return the position at which a customer starts to wait."""
        entry_ms = self.position_ms - self.credit_ms
        return max(entry_ms, account.position_ms) if account else entry_ms

    def charge(
        self, account: _Account[Item], hold_ms: float, now_ms: int
    ) -> float:
        """Charge the expected hold time of a granted call; return it.

        :param hold_ms: mean hold time of the rank.
        """
        self.hold_ms = hold_ms
        expected_ms = account.hold_ms or hold_ms
        used_ms = self._used.add(expected_ms, now_ms)
        mean_used_ms = used_ms / len(self.accounts)
        self.credit_ms = max(0.0, BALANCE_MS / USE_DECAY_MS * mean_used_ms)
        if account.is_entering:
            # More customers may have come since, who divide the credit.
            account.is_entering = False
            account.position_ms = self.find_entry_ms(account)
        self.position_ms = max(self.position_ms, account.position_ms)
        account.position_ms += expected_ms
        account.granted_ms = now_ms
        account.held_count += 1
        account.used.add(expected_ms, now_ms)
        return expected_ms

    def correct(
        self,
        account: _Account[Item],
        expected_ms: float,
        held_ms: int,
        now_ms: int,
        *,
        is_answered: bool,
    ) -> None:
        """Replace the expected hold time of a call by the actual one.

        :param is_answered: True if the call has run to its end, so that later
            ones of the customer may be expected to take as long.
        """
        change_ms = held_ms - expected_ms
        account.held_count -= 1
        account.used.add(change_ms, now_ms)
        self._used.add(change_ms, now_ms)
        before_ms = account.position_ms
        hold_ms = account.hold_ms or expected_ms
        margin_ms = self.credit_ms + MAX_DEVIATION_HOLDS * hold_ms
        account.position_ms = min(
            max(
                before_ms + change_ms,
                min(before_ms, self.position_ms - margin_ms),
            ),
            max(before_ms, self.position_ms + margin_ms),
        )
        if is_answered:
            hold_ms += HOLD_LEARNING_RATE * (held_ms - hold_ms)
            account.hold_ms = max(hold_ms, MIN_HOLD_MS)


def _remove_sorted(waiters: list[Waiter[Item]], waiter: Waiter[Item]) -> None:
    """Remove a waiter from an ordered list."""
    del waiters[bisect.bisect_left(waiters, waiter)]


class _Grant(NamedTuple):
    """A slot in use and what was charged for it."""

    shares: _RankShares[Any]
    account: _Account[Any]
    expected_ms: float
    started_ms: int


@customer_orders.register_customer_order('fair_share')
class CustomerShares(Generic[Item]):
    """Grants slots first to the customer of a rank that has used least.

    Each customer has a position, the slot time that it has used: the expected
    hold time of a call from its grant on, the actual one from its release on.
    Of the customers with calls that can be on time, the one with the lowest
    position is next, and of its calls the one with the earliest latest start.
    A customer that begins to wait is moved up to shortly below the position
    of the others. So what it left to them while it had no calls is theirs, as
    far as it exceeds ``BALANCE_MS``, and customers that wait at the same time
    get equal slot time. Late calls come after all others of their rank, by
    latest start.

    All customers have the same weight, and calls without a customer count as
    one customer.
    """

    is_by_customer: ClassVar[bool] = True

    def __init__(self) -> None:
        self._ranks: dict[int, _RankShares[Item]] = {}
        self._grants: dict[tuple[str, str], _Grant] = {}
        self._cleaned_ms = 0

    def add(
        self, customer: str, waiter: Waiter[Item], *, is_late: bool
    ) -> None:
        """Add a call that starts to wait."""
        shares = self._get_or_open(waiter.rank)
        if is_late:
            bisect.insort(shares.late, waiter)
            return
        account = shares.get_or_open(customer)
        if not account.waiters:
            account.position_ms = shares.find_entry_ms(account)
            account.is_entering = True
            shares.waiting[customer] = account
        bisect.insort(account.waiters, waiter)

    def remove(
        self, customer: str, waiter: Waiter[Item], *, is_late: bool
    ) -> None:
        """Remove a call that no longer waits."""
        shares = self._ranks[waiter.rank]
        if is_late:
            _remove_sorted(shares.late, waiter)
            return
        account = shares.waiting[customer]
        _remove_sorted(account.waiters, waiter)
        if not account.waiters:
            del shares.waiting[customer]

    def iterate(
        self, waiters: Iterable[Waiter[Item]]
    ) -> Iterator[Waiter[Item]]:
        """Yield the waiting calls, the next one to run first."""
        for _, shares in sorted(self._ranks.items()):
            for _, _, account_waiters in sorted(
                (account.position_ms, account.waiters[0], account.waiters)
                for account in shares.waiting.values()
            ):
                yield from account_waiters
            yield from shares.late

    def record_grant(
        self, request: SlotRequest, hold_ms: float, now_ms: int
    ) -> None:
        """Charge the expected hold time of a call to its customer."""
        shares = self._get_or_open(request.rank)
        account = shares.get_or_open(request.customer)
        expected_ms = shares.charge(account, hold_ms, now_ms)
        self._grants[request.instance, request.call] = _Grant(
            shares, account, expected_ms, now_ms
        )
        self._remove_idle(now_ms)

    def record_release(
        self,
        instance: str,
        call: str,
        now_ms: int,
        *,
        is_answered: bool = False,
    ) -> None:
        """Charge the actual hold time of a call in place of the expected."""
        grant = self._grants.pop((instance, call), None)
        if grant is not None:
            grant.shares.correct(
                grant.account,
                grant.expected_ms,
                now_ms - grant.started_ms,
                now_ms,
                is_answered=is_answered,
            )

    def drop_instance(self, instance: str, now_ms: int) -> None:
        """Record that all calls of an instance have released their slots."""
        for key in [key for key in self._grants if key[0] == instance]:
            self.record_release(*key, now_ms)

    def count_ahead(self, rank: int, customer: str, count: int) -> int:
        """Return how many calls of its own rank a new call waits for.

        They are those of its customer, and those that other customers may
        run before its turn.
        """
        shares = self._ranks.get(rank)
        if shares is None:
            return count
        own = shares.accounts.get(customer)
        turn_ms = shares.find_entry_ms(own)
        ahead_count = 0
        if own is not None and own.waiters:
            ahead_count = len(own.waiters)
            turn_ms = own.position_ms
            turn_ms += ahead_count * (own.hold_ms or shares.hold_ms)
        mean_hold_ms = shares.hold_ms or 1.0
        for account in shares.waiting.values():
            gap_ms = turn_ms - account.position_ms
            if gap_ms < 0 or account is own:
                continue
            turns = int(gap_ms / (account.hold_ms or mean_hold_ms)) + 1
            waiting = len(account.waiters)
            ahead_count += turns if turns < waiting else waiting
        return ahead_count

    def describe(self, now_ms: int) -> list[str]:
        """Return a line of text on each customer with the most slot time.

        ``customer rank slots waiting``: the slots that it has used on average
        in the last seconds, and its waiting calls that can be on time.
        """
        used = sorted(
            (
                (account.used.get(now_ms) / USE_DECAY_MS, customer, rank)
                for rank, shares in self._ranks.items()
                for customer, account in shares.accounts.items()
            ),
            reverse=True,
        )
        return [
            f'{customer[:MAX_NAME_LENGTH] or "-"} {rank} {slots:.1f}'
            f' {len(self._ranks[rank].accounts[customer].waiters)}'
            for slots, customer, rank in used[:MAX_DESCRIBED]
        ]

    def _get_or_open(self, rank: int) -> _RankShares[Item]:
        shares = self._ranks.get(rank)
        if shares is None:
            shares = self._ranks[rank] = _RankShares()
        return shares

    def _remove_idle(self, now_ms: int) -> None:
        """Forget customers without recent use, and ranks without any.

        That is done once in the time for which use counts.
        """
        if now_ms - self._cleaned_ms <= USE_DECAY_MS:
            return
        self._cleaned_ms = now_ms
        for rank, shares in list(self._ranks.items()):
            for customer, account in list(shares.accounts.items()):
                if account.is_idle(now_ms):
                    del shares.accounts[customer]
            if not shares.accounts and not shares.late:
                del self._ranks[rank]
