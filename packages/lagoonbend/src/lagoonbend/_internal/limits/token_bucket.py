"""A token bucket whose rate may change."""

MILLISECONDS_PER_SECOND = 1000


class TokenBucket:
    """Admits requests at a rate, with a burst.

    :param now_ms: time of creation.
    :param burst: maximum number of requests at once; the bucket starts full.
    """

    def __init__(self, now_ms: int, burst: float) -> None:
        self._credit = burst
        self.is_half_empty = False
        self._refilled_ms = now_ms

    def take(self, now_ms: int, rate_per_s: float, burst: float) -> int:
        """Take one request; return 0, or the milliseconds until the next.

        :param rate_per_s: rate in force since the last call.
        :param burst: maximum level.
        """
        span_s = (now_ms - self._refilled_ms) / MILLISECONDS_PER_SECOND
        self._refilled_ms = now_ms
        self._credit = min(self._credit + span_s * rate_per_s, burst)
        is_passed = self._credit >= 1
        if is_passed:
            self._credit -= 1
        self.is_half_empty = self._credit <= burst / 2
        if is_passed:
            return 0
        missing_s = (1 - self._credit) / max(rate_per_s, 0.001)
        return max(1, int(missing_s * MILLISECONDS_PER_SECOND))
