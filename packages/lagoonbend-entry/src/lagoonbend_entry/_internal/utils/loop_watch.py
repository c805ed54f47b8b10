"""Tells when the event loop stood still."""

from collections.abc import Callable
import time

import gevent

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

INTERVAL_S = 0.25
"""Time between two measurements."""
MIN_LOGGED_S = 0.25
"""A check of readiness or a heartbeat that is as late is missed."""
MILLISECONDS_PER_SECOND = 1000


class LoopWatch:
    """Measures how late the event loop lets a greenlet run.

    :param observe: called with the delay in seconds each time.
    """

    def __init__(self, observe: Callable[[float], None]) -> None:
        self._observe = observe

    def run(self) -> None:
        """Measure once.

        The processor time of the process meanwhile tells a loop that was held
        by a greenlet from a process that didn't run.
        """
        started_s = time.monotonic()
        started_cpu_s = time.process_time()
        gevent.sleep(INTERVAL_S)
        held_s = max(0.0, time.monotonic() - started_s - INTERVAL_S)
        self._observe(held_s)
        if held_s >= MIN_LOGGED_S:
            cpu_s = time.process_time() - started_cpu_s
            log_event(
                Event.LOOP_HELD,
                held_ms=round(held_s * MILLISECONDS_PER_SECOND),
                cpu_ms=round(cpu_s * MILLISECONDS_PER_SECOND),
            )
