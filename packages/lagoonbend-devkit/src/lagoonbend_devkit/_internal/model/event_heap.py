"""Event queue of a discrete-event simulation."""

from collections.abc import Callable
import heapq

from lagoonbend.clock import PausedClock


class EventHeap:
    """Runs callbacks in order of time on a simulated clock.

    Callbacks due at the same time run in the order they were added.

    :param clock: clock that is advanced to the time of each event.
    """

    def __init__(self, clock: PausedClock) -> None:
        self._clock = clock
        self._last_number = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []

    def call_after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``delay_ms`` milliseconds."""
        self._last_number += 1
        at_ms = self._clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, self._last_number, callback))

    def run_until(self, end_ms: int) -> None:
        """Run all events up to ``end_ms`` and advance the clock to it."""
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, callback = heapq.heappop(self._events)
            self._clock.advance(at_ms - self._clock.now_ms())
            callback()
        self._clock.advance(end_ms - self._clock.now_ms())
