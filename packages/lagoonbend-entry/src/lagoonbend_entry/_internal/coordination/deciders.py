"""Finds the decider of each pool, which is the instance that schedules it."""

from collections.abc import Callable
from collections.abc import Iterable

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.coordination.fleet import Fleet

HINT_LIFETIME_MS = 1_500
"""Time for which a decider named by another instance is taken into account."""


class Deciders:
    """Looks up deciders, and reports changes.

    The decider of a pool is the one instance that queues the calls of the pool
    and grants the slots of its targets. The others send it their requests.

    :param fleet: membership.
    :param clock: clock of the instance.
    :param decides: returns True if this instance is the decider of a pool.
    :param on_change: called with the pool, its previous decider and the new
        one.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        decides: Callable[[str], bool],
        on_change: Callable[[str, str, str], None],
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._clock = clock
        self._decides = decides
        self._on_change = on_change
        self._last_deciders: dict[str, str] = {}
        self._cached_deciders: dict[str, str] = {}
        self._hints: dict[str, tuple[str, int]] = {}

    def find(self, pool: str) -> str:
        """Return the decider of a pool; cached until ``invalidate``."""
        decider = self._cached_deciders.get(pool)
        if decider is None:
            decider = self._look_up(pool, self._find_hint(pool))
        return decider

    def find_without_hint(self, pool: str) -> str:
        """Return the decider of a pool without regard to hints.

        Two instances that each follow a hint to the other would never decide.
        """
        return self._look_up(pool, '')

    def peek(self, pool: str) -> str:
        """Return what ``find`` would, without recording or reporting it."""
        return self._fleet.find_decider(
            pool,
            decides=self._decides(pool),
            is_leaving=self.is_leaving,
            hint=self._find_hint(pool),
        )

    def get_last(self, pool: str) -> str:
        """Return the decider found at the last lookup; '' before the first."""
        return self._last_deciders.get(pool, '')

    def list_last(self) -> set[str]:
        """Return all deciders found at the last lookups."""
        return set(self._last_deciders.values())

    def list_pinged(self, pools: Iterable[str]) -> set[str]:
        """Return the instances that are pinged as deciders.

        A decider needs the heartbeats of all others, also those of pools that
        it doesn't use itself: they carry what customers have used of their
        limits.

        :param pools: all pools.
        """
        pinged = self.list_last()
        all_pools = list(pools)
        if any(self._decides(pool) for pool in all_pools):
            pinged.update(
                self._fleet.find_decider(
                    pool,
                    decides=self._decides(pool),
                    is_leaving=self.is_leaving,
                )
                for pool in all_pools
            )
        return pinged

    def list_pools(self, decider: str) -> list[str]:
        """Return the pools that an instance decides for."""
        return [
            pool
            for pool, last_decider in self._last_deciders.items()
            if last_decider == decider
        ]

    def record_hint(self, pool: str, decider: str) -> None:
        """Record the decider that another instance has named."""
        self._hints[pool] = (decider, self._clock.now_ms() + HINT_LIFETIME_MS)
        self._cached_deciders.pop(pool, None)

    def invalidate(self) -> None:
        """Clear the cache, so that each decider is looked up again."""
        self._cached_deciders.clear()

    def _find_hint(self, pool: str) -> str:
        hint, until_ms = self._hints.get(pool, ('', 0))
        return hint if self._clock.now_ms() < until_ms else ''

    def _look_up(self, pool: str, hint: str) -> str:
        decider = self._fleet.find_decider(
            pool,
            decides=self._decides(pool),
            is_leaving=self.is_leaving,
            hint=hint,
        )
        self._cached_deciders[pool] = decider
        previous = self._last_deciders.get(pool, '')
        if decider != previous:
            self._last_deciders[pool] = decider
            self._on_change(pool, previous, decider)
        return decider
