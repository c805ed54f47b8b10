"""Clocks that count milliseconds."""

import time
from typing import Protocol

NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """A monotonic clock."""

    def now_ms(self) -> int:
        """Return milliseconds since a fixed but arbitrary point in time."""


class RuntimeClock:
    """The system's monotonic clock that also advances in suspend."""

    def now_ms(self) -> int:
        """Return milliseconds since the system was booted."""
        now_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return now_ns // NANOSECONDS_PER_MILLISECOND


class PausedClock:
    """A clock that is advanced by hand only, for tests and simulations.

    :param start_ms: first reading.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current reading."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward by ``by_ms`` milliseconds."""
        if by_ms < 0:
            raise ValueError(f'cannot advance a clock by {by_ms} ms')
        self._now_ms += by_ms
