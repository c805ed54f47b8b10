"""Loops that continue after an unexpected error."""

from collections.abc import Callable
import traceback

import gevent

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

RETRY_DELAY_S = 0.2
"""Delay after an unexpected error, so that a persistent one costs little."""
MAX_TRACE_CHARACTERS = 1_000
"""Length of the end of a traceback that is logged."""


def run_guarded(name: str, step: Callable[[], None]) -> None:
    """Call ``step`` forever; log any exception that it raises and continue.

    :param name: name of the loop, for logs.
    """
    while True:
        try:
            step()
        except Exception as error:
            log_failure(name, error)
            gevent.sleep(RETRY_DELAY_S)


def log_failure(where: str, error: Exception) -> None:
    """Log an unexpected error with the end of its traceback."""
    trace = ''.join(traceback.format_exception(error))
    log_event(
        Event.HANDLER_FAILED,
        where=where,
        reason=repr(error),
        trace=trace[-MAX_TRACE_CHARACTERS:],
    )
