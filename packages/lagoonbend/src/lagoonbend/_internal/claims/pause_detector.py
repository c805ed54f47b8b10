"""Detects that the process was suspended for a while."""

from lagoonbend._internal.utils.clock import Clock


class PauseDetector:
    """Tells which requests may have arrived while the process was paused.

    The age of a request is unknown if its connection was opened before the
    process last resumed: the request may have waited in the socket's buffer
    while the process was not running.

    :param clock: clock of this instance.
    :param pause_ms: gap between two observations that counts as a pause.
    :param settle_ms: time after a resume during which connections that
        waited in the listen queue are still being accepted.
    """

    def __init__(self, clock: Clock, *, pause_ms: int, settle_ms: int) -> None:
        self._clock = clock
        self._pause_ms = pause_ms
        self._settle_ms = settle_ms
        self._observed_ms = clock.now_ms()
        self._resumed_ms: int | None = None
        self.pauses = 0

    def observe(self) -> int | None:
        """Record that the process is running; must be called often.

        :returns: length of the pause that just ended, or None.
        """
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._observed_ms
        self._observed_ms = now_ms
        if gap_ms <= self._pause_ms:
            return None
        self._resumed_ms = now_ms
        self.pauses += 1
        return gap_ms

    def is_age_known(self, connected_ms: int) -> bool:
        """Return False if the connection may have waited during a pause."""
        self.observe()
        if self._resumed_ms is None:
            return True
        return connected_ms > self._resumed_ms + self._settle_ms
