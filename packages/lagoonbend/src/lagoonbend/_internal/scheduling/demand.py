"""Estimates how many slots the calls of each rank occupy."""

import math

ARRIVAL_DECAY_MS = 1_000.0
"""Time constant of the exponential decay of the arrival count. It is
shorter than the shortest load burst in the users' traffic, and long enough
to cover about ten arrivals of a rank."""
INITIAL_HOLD_MS = 500.0
"""Estimated hold time of a slot until a call of the same rank has ended."""
LEARNING_RATE = 0.05
"""Weight of the newest call in the moving averages of a rank."""
MIN_AVAILABLE_SHARE = 0.05
"""Minimum share of the slots that a rank can count on, however many calls
of more urgent ranks arrive: some of those end early or are withdrawn."""


class Demand:
    """Arrivals, hold time and time to first byte of the calls of each rank.

    The times are exponentially weighted moving averages.
    """

    def __init__(self) -> None:
        self._arrivals: dict[int, tuple[float, int]] = {}
        self._hold_ms: dict[int, float] = {}
        self._first_byte_ms: dict[int, float] = {}

    def record_arrival(self, rank: int, now_ms: int) -> None:
        """Record a call that obtains a slot or starts to wait for one."""
        self._arrivals[rank] = (
            self._estimate_arrivals(rank, now_ms) + 1.0,
            now_ms,
        )

    def record_hold_time(self, rank: int, held_ms: int) -> None:
        """Record how long a call that was answered has held its slot."""
        before_ms = self.get_hold_ms(rank)
        change_ms = LEARNING_RATE * (held_ms - before_ms)
        self._hold_ms[rank] = before_ms + change_ms

    def record_first_byte(self, rank: int, first_byte_ms: int) -> None:
        """Record the time from the grant of a slot to the first byte."""
        before_ms = self._first_byte_ms.get(rank, float(first_byte_ms))
        change_ms = LEARNING_RATE * (first_byte_ms - before_ms)
        self._first_byte_ms[rank] = before_ms + change_ms

    def get_first_byte_ms(self, rank: int) -> float:
        """Return the mean time to the first byte; 0 if none was recorded."""
        return self._first_byte_ms.get(rank, 0.0)

    def get_hold_ms(self, rank: int) -> float:
        """Return the mean time for which a call of a rank holds its slot."""
        return self._hold_ms.get(rank, INITIAL_HOLD_MS)

    def find_hold_ms(self, rank: int) -> float | None:
        """Return the same; None if no call of the rank has ended yet."""
        return self._hold_ms.get(rank)

    def estimate_available_slots(
        self, rank: int, slots: float, now_ms: int
    ) -> float:
        """Return the slots that more urgent ranks leave to a rank.

        :param slots: slots of the pool.
        """
        taken_slots = sum(
            self._estimate_arrivals(other_rank, now_ms)
            / ARRIVAL_DECAY_MS
            * self.get_hold_ms(other_rank)
            for other_rank in self._arrivals
            if other_rank < rank
        )
        return max(slots - taken_slots, MIN_AVAILABLE_SHARE * slots)

    def _estimate_arrivals(self, rank: int, now_ms: int) -> float:
        """Return the decayed number of arrivals, about that of a second."""
        count, at_ms = self._arrivals.get(rank, (0.0, now_ms))
        return count * math.exp((at_ms - now_ms) / ARRIVAL_DECAY_MS)
