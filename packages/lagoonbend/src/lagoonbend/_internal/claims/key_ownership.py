"""Ownership of bare keys."""

import enum

from lagoonbend._internal.claims.key_window import KeyWindow
from lagoonbend._internal.models.seat_plan import SeatPlan
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.rendezvous import choose_by_rendezvous


class Ownership(enum.Enum):
    """Whether this instance may accept a bare key now."""

    OWNED = 'owned'
    NOT_OWNER = 'not_owner'
    QUARANTINED = 'quarantined'
    UNCONFIRMED = 'unconfirmed'


class KeyOwnership:
    """Decides whether this instance may accept a bare key.

    These rules keep two processes from accepting the same key within the
    repeat window:

    - An instance that started less than ``quarantine_ms`` ago accepts none:
      the process that held its address before may have accepted them.
    - A key that another address owned in a former epoch is accepted only
      while that address says, in answer to a question asked less than
      ``confirm_ms`` ago, that it has left the epoch, and has said so for
      ``quarantine_ms`` without a gap.
    - The epoch never goes back.

    :param address: peer address of this instance, as ``ip:port``.
    :param clock: clock of this instance.
    :param window: how long keys are repeated and remembered.
    :param confirm_ms: greatest age of the word of a former owner.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        *,
        window: KeyWindow,
        confirm_ms: int,
    ) -> None:
        self._address = address
        self._clock = clock
        self._confirm_ms = confirm_ms
        self._quarantine_ms = window.retention_ms + confirm_ms
        self._started_ms = clock.now_ms()
        self._plan: SeatPlan | None = None
        self._confirmed_since_ms: dict[str, int] = {}
        self._confirmed_last_ms: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """Epoch in force; 0 before any plan."""
        return self._plan.epoch if self._plan else 0

    @property
    def quarantined_until_ms(self) -> int:
        """When the quarantine after the start ends."""
        return self._started_ms + self._quarantine_ms

    def apply(self, plan: SeatPlan) -> None:
        """Put a plan into force unless its epoch is not newer."""
        if plan.epoch <= self.epoch:
            return
        self._plan = plan
        self._confirmed_since_ms.clear()
        self._confirmed_last_ms.clear()

    def record_epoch(self, address: str, epoch: int, asked_ms: int) -> None:
        """Note the answer of the process at ``address``.

        :param epoch: epoch that it is in.
        :param asked_ms: when it was asked, on this instance's clock; the
            answer itself may have been on its way for any time.
        """
        if epoch < self.epoch:
            self._confirmed_since_ms.pop(address, None)
            self._confirmed_last_ms.pop(address, None)
            return
        if not self._is_confirmed(address, asked_ms):
            self._confirmed_since_ms[address] = asked_ms
        self._confirmed_last_ms[address] = asked_ms

    def find_owner(self, key: str) -> str | None:
        """Return the address that owns ``key``; None without a plan."""
        if self._plan is None:
            return None
        return choose_by_rendezvous(self._plan.seats, key)

    def list_former_owners(self) -> set[str]:
        """Return the addresses whose word this instance needs."""
        if self._plan is None or self._address not in self._plan.seats:
            return set()
        former = {a for seats in self._plan.former for a in seats}
        return former - {self._address}

    def check_ownership(self, key: str) -> Ownership:
        """Return whether this instance may accept ``key`` now."""
        if self._plan is None or self.find_owner(key) != self._address:
            return Ownership.NOT_OWNER
        now_ms = self._clock.now_ms()
        if now_ms < self.quarantined_until_ms:
            return Ownership.QUARANTINED
        for seats in self._plan.former:
            former = choose_by_rendezvous(seats, key)
            if former is None or former == self._address:
                continue
            if not self._is_confirmed(former, now_ms):
                return Ownership.UNCONFIRMED
            since_ms = self._confirmed_since_ms[former]
            if now_ms < since_ms + self._quarantine_ms:
                return Ownership.QUARANTINED
        return Ownership.OWNED

    def _is_confirmed(self, address: str, now_ms: int) -> bool:
        last_ms = self._confirmed_last_ms.get(address)
        return last_ms is not None and now_ms - last_ms < self._confirm_ms
