"""Pauses in which this instance sends targets no requests."""

import random

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.gateway.target_closure import TargetClosure
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

MAX_PAUSES = 4_096
"""Pauses kept at most, the oldest of which are dropped; several times the 600
targets of the largest fleet."""
CLOCK_RESOLUTION_MS = 1
SPREAD_SHARE = 0.25
MIN_SPREAD_MS = 200
"""Share of the time left, and its minimum, over which refused callers are
spread; otherwise all would return in the moment in which a pause ends."""
LOG_INTERVAL_MS = 10_000
"""Minimum time between two log lines on values that are not used."""


class TargetPauses:
    """Keeps which targets have asked this instance for a pause, and its end.

    That holds for one life of a target. A later answer may lengthen a pause,
    never shorten it.

    :param clock: clock of the instance.
    :param random_source: spreads the returns of refused callers.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self._clock = clock
        self._random_source = random_source
        self._closures: dict[str, TargetClosure] = {}
        self._unused_count = 0
        self._unused_logged_ms: int | None = None

    def __len__(self) -> int:
        return len(self._closures)

    def record(self, target: ListedTarget, pause_ms: int) -> bool:
        """Record that a target asks for a pause; return True if one begins.

        :param target: target as listed when the request was sent.
        """
        now_ms = self._clock.now_ms()
        end_ms = now_ms + pause_ms + CLOCK_RESOLUTION_MS
        known = self._closures.get(target.target)
        left_ms = self.find_left_ms(target)
        if known is not None and left_ms:
            self._closures[target.target] = known._replace(
                end_ms=max(now_ms + left_ms, end_ms)
            )
            return False
        self.drop_ended()
        self._closures.pop(target.target, None)
        self._closures[target.target] = TargetClosure(target, end_ms)
        if len(self._closures) > MAX_PAUSES:
            del self._closures[next(iter(self._closures))]
        log_event(
            Event.TARGET_PAUSED,
            target=target.target,
            service=target.service,
            address=f'{target.ip}:{target.port}',
            pause_ms=pause_ms,
            paused_targets=len(self._closures),
        )
        return True

    def record_unused_value(self, target: ListedTarget, value: str) -> None:
        """Log a value of ``Retry-After`` that is ignored or capped.

        :param value: text for the log.
        """
        now_ms = self._clock.now_ms()
        self._unused_count += 1
        logged_ms = self._unused_logged_ms
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        log_event(
            Event.PAUSE_NOT_USED,
            target=target.target,
            service=target.service,
            value=value,
            count=self._unused_count,
        )
        self._unused_count = 0
        self._unused_logged_ms = now_ms

    def find_left_ms(self, target: ListedTarget) -> int:
        """Return the time to the end of a target's pause; 0 if it has none."""
        closure = self._closures.get(target.target)
        if closure is None or not closure.covers(target):
            return 0
        return _compute_left_ms(closure, self._clock.now_ms())

    def spread_return_ms(self, left_ms: int) -> int:
        """Return the time after which a caller may return.

        :param left_ms: time to the end of the pause.
        """
        spread_ms = find_spread_ms(left_ms)
        return left_ms + int(self._random_source.uniform(0, spread_ms))

    def drop_ended(self) -> None:
        """Drop the pauses that have ended."""
        now_ms = self._clock.now_ms()
        self._closures = {
            name: closure
            for name, closure in self._closures.items()
            if _compute_left_ms(closure, now_ms)
        }


def find_spread_ms(left_ms: int) -> int:
    """Return the time over which callers return after a pause."""
    return int(max(MIN_SPREAD_MS, SPREAD_SHARE * left_ms))


def _compute_left_ms(closure: TargetClosure, now_ms: int) -> int:
    return max(0, (closure.end_ms or 0) - now_ms)
