"""Paces the calls to a target that has named a limit."""

BURST_S = 0.25
"""Time whose calls may be sent at once; at least one may."""
MILLISECONDS_PER_SECOND = 1000


class RequestRate:
    """Token bucket that starts empty, and whose rate may change.

    It starts empty since calls have just been sent to the target.

    :param now_ms: time at which the limit became known.
    """

    def __init__(self, now_ms: int) -> None:
        self._tokens = 0.0
        self._filled_ms = now_ms

    def find_wait_ms(self, now_ms: int, rate_per_s: float) -> int:
        """Return the time until a call may be sent; 0 if it may now.

        :param rate_per_s: rate in force since the last call of a method.
        """
        self._fill(now_ms, rate_per_s)
        if self._tokens >= 1:
            return 0
        missing_s = (1 - self._tokens) / rate_per_s
        return int(missing_s * MILLISECONDS_PER_SECOND) + 1

    def take(self, now_ms: int, rate_per_s: float) -> None:
        """Count a call that is sent."""
        self._fill(now_ms, rate_per_s)
        self._tokens -= 1

    def _fill(self, now_ms: int, rate_per_s: float) -> None:
        span_s = (now_ms - self._filled_ms) / MILLISECONDS_PER_SECOND
        self._filled_ms = now_ms
        burst = max(1.0, BURST_S * rate_per_s)
        self._tokens = min(self._tokens + span_s * rate_per_s, burst)
