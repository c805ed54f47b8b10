"""Loops that outlive an unexpected error."""

from collections.abc import Callable
import traceback

import gevent

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

PAUSE_S = 0.2
"""Pause after an unexpected error, so that one that stays costs little."""
GREATEST_TRACE = 1_000
"""Characters of a trace that a log line holds."""


def run_guarded(name: str, step: Callable[[], None]) -> None:
    """Call ``step`` again and again; log what it raises and go on.

    :param name: name of the loop, for the logs.
    """
    while True:
        try:
            step()
        except Exception as error:
            log_failure(name, error)
            gevent.sleep(PAUSE_S)


def log_failure(where: str, error: Exception) -> None:
    """Log an unexpected error with the end of its trace."""
    trace = ''.join(traceback.format_exception(error))
    log_event(
        Event.HANDLER_FAILED,
        where=where,
        reason=repr(error),
        trace=trace[-GREATEST_TRACE:],
    )
