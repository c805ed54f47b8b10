"""What calls of each rank ask of the places of a service."""

import math

RATE_SPAN_MS = 1_000.0
"""Time in which the memory of an arrival fades to a third; shorter than the
shortest burst of the sheets, long enough for some ten arrivals of a rank."""
INITIAL_HOLD_MS = 500.0
"""Time that a call holds a place, before any of its rank was seen."""
LEARNING_RATE = 0.05
"""Part of the newest call in what is learned of a rank."""
LEAST_LEFT_SHARE = 0.05
"""Part of the places that a rank can count on, however many calls of more
urgent ranks arrive: some of those end early or are withdrawn."""


class Demand:
    """Arrivals and holding times by rank, learned from what happens."""

    def __init__(self) -> None:
        self._arrivals: dict[int, tuple[float, int]] = {}
        self._hold_ms: dict[int, float] = {}
        self._first_ms: dict[int, float] = {}

    def record_arrival(self, rank: int, now_ms: int) -> None:
        """Note a call that waits for a place or gets one."""
        self._arrivals[rank] = (self._fade(rank, now_ms) + 1.0, now_ms)

    def record_end(self, rank: int, held_ms: int) -> None:
        """Note how long a call that was answered has held its place."""
        before_ms = self.get_hold_ms(rank)
        change_ms = LEARNING_RATE * (held_ms - before_ms)
        self._hold_ms[rank] = before_ms + change_ms

    def note_first(self, rank: int, first_ms: int) -> None:
        """Note the time from a call's place to its first bytes."""
        before_ms = self._first_ms.get(rank, float(first_ms))
        change_ms = LEARNING_RATE * (first_ms - before_ms)
        self._first_ms[rank] = before_ms + change_ms

    def get_first_ms(self, rank: int) -> float:
        """Return the mean time to the first bytes; 0 if none was seen."""
        return self._first_ms.get(rank, 0.0)

    def get_hold_ms(self, rank: int) -> float:
        """Return the time for which a call of a rank holds its place."""
        return self._hold_ms.get(rank, INITIAL_HOLD_MS)

    def estimate_left(self, rank: int, places: float, now_ms: int) -> float:
        """Return the places that more urgent ranks leave to a rank.

        :param places: places of the service.
        """
        taken = sum(
            self._fade(other, now_ms) / RATE_SPAN_MS * self.get_hold_ms(other)
            for other in self._arrivals
            if other < rank
        )
        return max(places - taken, LEAST_LEFT_SHARE * places)

    def _fade(self, rank: int, now_ms: int) -> float:
        """Return the number of arrivals of about the last second."""
        count, at_ms = self._arrivals.get(rank, (0.0, now_ms))
        return count * math.exp((at_ms - now_ms) / RATE_SPAN_MS)
