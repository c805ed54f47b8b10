"""Structured logs."""

import eliot
import gevent

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.log_writer import LogWriter

STANDARD_OUTPUT = 1
FLUSH_S = 0.1
"""Time that a line may wait to be written with others."""


def open_event_log(instance: str) -> LogWriter:
    """Write log events as JSON lines to standard output."""
    writer = LogWriter(STANDARD_OUTPUT)
    eliot.add_destinations(writer)
    eliot.add_global_fields(instance=instance)
    gevent.spawn(_run_flushes, writer)
    return writer


def log_event(event: Event, **fields: object) -> None:
    """Write one event; ``fields`` must hold no secrets."""
    eliot.log_message(
        message_type=event.number,
        severity=event.severity,
        meaning=event.meaning,
        **fields,
    )


def _run_flushes(writer: LogWriter) -> None:
    while True:
        gevent.sleep(FLUSH_S)
        dropped = writer.take_dropped()
        if dropped:
            log_event(Event.LOG_LINES_DROPPED, lines=dropped)
        writer.flush()
