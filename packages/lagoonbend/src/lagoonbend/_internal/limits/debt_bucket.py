"""A token bucket whose level may fall below zero."""

MILLISECONDS_PER_SECOND = 1000


class DebtBucket:
    """Lets a call pass while the level is above zero, whatever its cost.

    A call that costs more than the whole burst passes once the bucket has
    filled, and those after it wait until the debt is paid.

    :param now_ms: time of creation.
    :param level: units at the start.
    """

    def __init__(self, now_ms: int, level: float) -> None:
        self._level = level
        self._filled_ms = now_ms

    def refill(self, now_ms: int, rate_per_s: float, burst: float) -> None:
        """Add what the rate gave since the last call, up to the burst."""
        span_s = (now_ms - self._filled_ms) / MILLISECONDS_PER_SECOND
        self._filled_ms = now_ms
        self._level = min(self._level + span_s * rate_per_s, burst)

    def find_wait_ms(self, rate_per_s: float, reserve: float = 0.0) -> int:
        """Return 0 if a call may pass, or the milliseconds until then.

        :param reserve: level that the call must leave untouched.
        """
        if self._level > reserve:
            return 0
        missing_s = (1 + reserve - self._level) / max(rate_per_s, 0.001)
        return max(1, int(missing_s * MILLISECONDS_PER_SECOND))

    def spend(self, units: float) -> None:
        """Take units, into debt if need be."""
        self._level -= units
