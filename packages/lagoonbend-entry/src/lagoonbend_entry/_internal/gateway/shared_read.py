"""A read of the store that several callers need at the same time."""

from collections.abc import Callable

import gevent.lock

from lagoonbend.clock import Clock


class SharedRead:
    """Reads from the store for all who ask before a read begins.

    :param read: reads; returns False if the store gives no usable answer.
    :param clock: clock of the instance.
    """

    def __init__(self, read: Callable[[], bool], clock: Clock) -> None:
        self._read = read
        self._clock = clock
        self._lock = gevent.lock.BoundedSemaphore()
        self._read_ms = -1
        self._has_succeeded = False

    def run(self) -> bool:
        """Return the result of a read that begins after this call."""
        asked_ms = self._clock.now_ms()
        with self._lock:
            if self._read_ms < asked_ms:
                read_ms = self._clock.now_ms()
                self._has_succeeded = self._read()
                self._read_ms = read_ms
            return self._has_succeeded
