"""Denials that save further requests for slots."""

from typing import NamedTuple

from lagoonbend._internal.scheduling.customer_orders import CustomerOrderClass
from lagoonbend._internal.scheduling.customer_orders import LatestStartOrder
from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.pool_scheduler import bound_retry_after
from lagoonbend._internal.scheduling.pool_scheduler import MAX_WAIT_SHARE
from lagoonbend._internal.scheduling.slot_decision import SlotDecision
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.utils.clock import Clock

DENIAL_LIFETIME_MS = 400
"""Time after which the decider is asked again, however long its queue was. In
an overload of several times what targets can serve, an instance of a large
fleet has a call every 30 ms, most of them to be denied."""
MAX_DENIALS = 64
"""Denials of a pool from which on expired ones are removed; several ranks of
16 customers."""
MIN_CUSTOMERS = 2
"""Customers of a rank whose calls were denied, from which on those of others
are denied too, after the least of their waits. One alone may be above its
share; with several, what is short is the pool."""


class _Denial(NamedTuple):
    """A denial for want of slots.

    :param wait_ms: wait that the decider expected.
    :param retry_after_ms: time after which it asked the caller to retry.
    :param denied_ms: when it arrived.
    """

    wait_ms: int
    retry_after_ms: int
    denied_ms: int


class RecentDenials:
    """Tells which calls a decider would deny, from what it has just denied.

    The expected wait of a queue shrinks by the time that passes, and is no
    shorter for less urgent ranks. While what is left is too long for a call,
    its decider need not be asked: in an overload, the requests of all
    instances for slots that there aren't would take up its processor.

    :param clock: clock of the instance.
    :param customer_order: order among the customers of a rank.
    """

    def __init__(
        self,
        clock: Clock,
        customer_order: CustomerOrderClass = LatestStartOrder,
    ) -> None:
        self._clock = clock
        self._is_by_customer = customer_order.is_by_customer
        self._denials: dict[str, dict[tuple[int, str], _Denial]] = {}

    def record(self, request: SlotRequest, decision: SlotDecision) -> None:
        """Record what the decider of a pool has decided on a call."""
        if request.excluded:
            # The wait for the other targets of the pool may be shorter.
            return
        if decision.denial is Denial.OVERLOADED:
            now_ms = self._clock.now_ms()
            known = self._denials.setdefault(request.pool, {})
            if len(known) >= MAX_DENIALS:
                _remove_expired(known, now_ms)
            known[self._build_key(request)] = _Denial(
                decision.pool_wait_ms,
                decision.retry_after_ms,
                now_ms,
            )
        elif decision.denial is None:
            known = self._denials.get(request.pool, {})
            for key in [key for key in known if self._covers(key, request)]:
                del known[key]

    def find(self, request: SlotRequest) -> SlotDecision | None:
        """Return the denial of a call that its decider would deny."""
        if request.excluded:
            return None
        now_ms = self._clock.now_ms()
        wait_ms = 0
        retry_after_ms = 0
        other_waits_ms: list[int] = []
        for key, denial in self._denials.get(request.pool, {}).items():
            age_ms = now_ms - denial.denied_ms
            if age_ms >= DENIAL_LIFETIME_MS or key[0] > request.rank:
                continue
            if self._covers(key, request):
                wait_ms = max(wait_ms, denial.wait_ms - age_ms)
            else:
                other_waits_ms.append(denial.wait_ms - age_ms)
            retry_after_ms = max(
                retry_after_ms, denial.retry_after_ms - age_ms
            )
        if len(other_waits_ms) >= MIN_CUSTOMERS:
            wait_ms = max(wait_ms, min(other_waits_ms))
        left_ms = request.objective_ms - request.waited_ms
        if left_ms <= 0:
            left_ms = request.objective_ms
        if wait_ms < max(1.0, MAX_WAIT_SHARE * left_ms):
            return None
        return SlotDecision(
            request.call,
            request.instance,
            denial=Denial.OVERLOADED,
            retry_after_ms=bound_retry_after(max(wait_ms, retry_after_ms)),
            pool_wait_ms=wait_ms,
        )

    def _build_key(self, request: SlotRequest) -> tuple[int, str]:
        """Return the rank, and the customer if the wait depends on it."""
        return (request.rank, request.customer if self._is_by_customer else '')

    def _covers(self, key: tuple[int, str], request: SlotRequest) -> bool:
        """Return True if a call waits at least as long as a denied one."""
        return key[0] < request.rank or key == self._build_key(request)


def _remove_expired(
    denials: dict[tuple[int, str], _Denial], now_ms: int
) -> None:
    for key, denial in list(denials.items()):
        if now_ms - denial.denied_ms >= DENIAL_LIFETIME_MS:
            del denials[key]
