"""Notices that the process stood still."""

from lagoonbend._internal.utils.clock import Clock


class PauseDetector:
    """Tells which bytes may have arrived during a pause.

    A request that was read from a connection older than the last wake-up
    has no known age: it may have waited in the socket while the process
    stood still.

    :param clock: clock of this instance.
    :param pause_ms: gap between two observations that counts as a pause.
    :param settle_ms: time after a wake-up in which connections that waited
        in the listen queue are still being accepted.
    """

    def __init__(self, clock: Clock, *, pause_ms: int, settle_ms: int) -> None:
        self._clock = clock
        self._pause_ms = pause_ms
        self._settle_ms = settle_ms
        self._observed_ms = clock.now_ms()
        self._woke_ms: int | None = None
        self.pauses = 0

    def observe(self) -> int | None:
        """Note that the process runs; call often.

        :returns: length of the pause that just ended, or None.
        """
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._observed_ms
        self._observed_ms = now_ms
        if gap_ms <= self._pause_ms:
            return None
        self._woke_ms = now_ms
        self.pauses += 1
        return gap_ms

    def is_age_known(self, connected_ms: int) -> bool:
        """Return False for a connection that was open during a pause."""
        self.observe()
        if self._woke_ms is None:
            return True
        return connected_ms > self._woke_ms + self._settle_ms
