"""Structured event log on standard output."""

import eliot
import gevent
import gevent.event

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.log_writer import LogWriter

STANDARD_OUTPUT = 1
FLUSH_DELAY_S = 0.1
"""Delay before a flush, which collects lines into one write."""


def open_event_log(instance: str) -> LogWriter:
    """Configure the event log to write JSON lines to standard output."""
    has_lines = gevent.event.Event()
    writer = LogWriter(STANDARD_OUTPUT, has_lines.set)
    eliot.add_destinations(writer)
    eliot.add_global_fields(instance=instance)
    gevent.spawn(_flush_lines, writer, has_lines)
    return writer


def log_event(event: Event, **fields: object) -> None:
    """Log an event; ``fields`` must not contain secrets."""
    eliot.log_message(
        message_type=event.number,
        severity=event.severity,
        meaning=event.meaning,
        **fields,
    )


def _flush_lines(writer: LogWriter, has_lines: gevent.event.Event) -> None:
    """Flush pending lines; waits without a timer while there are none."""
    while True:
        has_lines.wait()
        has_lines.clear()
        while not writer.is_empty:
            gevent.sleep(FLUSH_DELAY_S)
            dropped = writer.pop_dropped_count()
            if dropped:
                log_event(Event.LOG_LINES_DROPPED, lines=dropped)
            writer.flush()
