"""Targets that have ended, whatever ran there."""

from collections.abc import Collection
import itertools

from sortedcontainers import SortedList

MAX_ENDED_LIVES = 2_048
"""Several times the 600 targets of the largest fleet."""

_End = tuple[int, str]


class EndedLives:
    """When targets of each service have ended, under any call.

    ``change_count`` rises with each change.
    """

    def __init__(self) -> None:
        self.change_count = 0
        self._ended_ms: dict[tuple[str, str], int] = {}
        self._by_service: dict[str, SortedList[_End]] = {}

    def record(self, service: str, life: str, ended_ms: int) -> None:
        """Record the end of a target; the earliest report of it counts.

        :param life: the target and its start.
        """
        known_ms = self._ended_ms.get((service, life))
        if known_ms is not None and known_ms <= ended_ms:
            return
        self.forget(service, life)
        self._ended_ms[service, life] = ended_ms
        ends = self._by_service.setdefault(service, SortedList())
        ends.add((ended_ms, life))
        self.change_count += 1
        if len(self._ended_ms) > MAX_ENDED_LIVES:
            self.forget(*next(iter(self._ended_ms)))

    def forget(self, service: str, life: str) -> None:
        """Forget a target that has not ended."""
        ended_ms = self._ended_ms.pop((service, life), None)
        if ended_ms is None:
            return
        ends = self._by_service[service]
        ends.remove((ended_ms, life))
        if not ends:
            del self._by_service[service]
        self.change_count += 1

    def count_others(
        self, service: str, lives: Collection[str], from_ms: int, to_ms: int
    ) -> int:
        """Return the number of other targets that ended in a period.

        :param lives: targets that don't count.
        :param from_ms: begin of the period.
        :param to_ms: its end, which belongs to it.
        """
        ends = self._by_service.get(service)
        if ends is None:
            return 0
        # A text that is empty sorts before all others.
        window = itertools.takewhile(
            lambda end: end[0] <= to_ms, ends.irange(minimum=(from_ms, ''))
        )
        return sum(life not in lives for _, life in window)
