"""A token bucket whose level may become negative."""

MILLISECONDS_PER_SECOND = 1000


class DebtBucket:
    """Admits a call while the level is above zero, whatever its cost.

    A call that costs more than the whole burst is admitted once the bucket has
    filled; the calls after it wait until the debt is paid.

    :param now_ms: time of creation.
    :param level: initial level in units.
    """

    def __init__(self, now_ms: int, level: float) -> None:
        self._level = level
        self._refilled_ms = now_ms

    @property
    def level(self) -> float:
        """Units in the bucket; below zero while there is a debt."""
        return self._level

    def refill(self, now_ms: int, rate_per_s: float, burst: float) -> None:
        """Add the units since the last call, up to the burst."""
        span_s = (now_ms - self._refilled_ms) / MILLISECONDS_PER_SECOND
        self._refilled_ms = now_ms
        self._level = min(self._level + span_s * rate_per_s, burst)

    def find_wait_ms(self, rate_per_s: float, reserve: float = 0.0) -> int:
        """Return 0 if a call is admitted, or the milliseconds until then.

        :param reserve: level that the call must leave in the bucket.
        """
        if self._level > reserve:
            return 0
        missing_s = (1 + reserve - self._level) / max(rate_per_s, 0.001)
        return max(1, int(missing_s * MILLISECONDS_PER_SECOND))

    def spend(self, units: float) -> None:
        """Take units, even if the level becomes negative."""
        self._level -= units
