"""Ownership of bare keys, the idempotency keys that callers choose."""

import enum

from lagoonbend._internal.claims.key_window import KeyWindow
from lagoonbend._internal.models.seat_plan import SeatPlan
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.rendezvous import choose_by_rendezvous


class Ownership(enum.Enum):
    """Whether this instance may accept a bare key, and if not, why.

    ``QUARANTINED``: this instance started, or a former owner of the key first
    confirmed that it no longer accepts it, too recently. ``UNCONFIRMED``: a
    former owner's confirmation is missing or too old.
    """

    OWNED = 'owned'
    NOT_OWNER = 'not_owner'
    QUARANTINED = 'quarantined'
    UNCONFIRMED = 'unconfirmed'


class KeyOwnership:
    """Decides whether this instance may accept a bare key.

    Each key is owned by one of the seats (peer addresses) of the current
    seat plan. These rules keep two processes from accepting the same key
    within the repeat window:

    - An instance accepts no key during its quarantine, which lasts for
      ``window.retention_ms`` plus ``confirm_ms`` after its start: an earlier
      process at its address may have accepted the key.
    - A key that another address owned in a former epoch is accepted only
      while that address confirms that it has left the epoch. The latest
      confirmation must answer a request sent less than ``confirm_ms`` ago,
      and the confirmations must go back without a gap for as long as a
      quarantine.
    - The epoch never decreases.

    :param address: peer address of this instance, as ``ip:port``.
    :param clock: clock of this instance.
    :param window: how long callers may repeat a key, and how long it is kept.
    :param confirm_ms: maximum age of the confirmation of a former owner.
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
        """Epoch of the current plan; 0 before any plan."""
        return self._plan.epoch if self._plan else 0

    @property
    def quarantined_until_ms(self) -> int:
        """When the quarantine that follows the start ends."""
        return self._started_ms + self._quarantine_ms

    def apply(self, plan: SeatPlan) -> None:
        """Replace the current plan if the epoch of ``plan`` is newer."""
        if plan.epoch <= self.epoch:
            return
        self._plan = plan
        self._confirmed_since_ms.clear()
        self._confirmed_last_ms.clear()

    def record_epoch(self, address: str, epoch: int, asked_ms: int) -> None:
        """Record the epoch reported by the process at ``address``.

        :param epoch: epoch of the plan that it uses.
        :param asked_ms: when it was asked, on this instance's clock. The
            time of the answer proves nothing, as the answer may have been
            delayed for any time.
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
        """Return the addresses whose confirmation this instance needs."""
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
