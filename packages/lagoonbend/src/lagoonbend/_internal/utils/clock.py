"""Clocks that count milliseconds."""

import time
from typing import Protocol

NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """A clock that never goes back."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start."""


class RuntimeClock:
    """The machine's clock, which also counts while the machine sleeps."""

    def now_ms(self) -> int:
        """Return milliseconds since the machine started."""
        now_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return now_ns // NANOSECONDS_PER_MILLISECOND


class PausedClock:
    """A clock that stands still until it is advanced.

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
            raise ValueError(f'a clock never goes back, asked for {by_ms} ms')
        self._now_ms += by_ms
