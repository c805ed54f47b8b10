"""Structured logs."""

import eliot
import gevent
import gevent.event

from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.log_writer import LogWriter

STANDARD_OUTPUT = 1
FLUSH_S = 0.1
"""Time that a line may wait to be written with others."""


def open_event_log(instance: str) -> LogWriter:
    """Write log events as JSON lines to standard output."""
    has_lines = gevent.event.Event()
    writer = LogWriter(STANDARD_OUTPUT, has_lines.set)
    eliot.add_destinations(writer)
    eliot.add_global_fields(instance=instance)
    gevent.spawn(_run_flushes, writer, has_lines)
    return writer


def log_event(event: Event, **fields: object) -> None:
    """Write one event; ``fields`` must hold no secrets."""
    eliot.log_message(
        message_type=event.number,
        severity=event.severity,
        meaning=event.meaning,
        **fields,
    )


def _run_flushes(writer: LogWriter, has_lines: gevent.event.Event) -> None:
    """Write what waits; an idle process isn't woken for it."""
    while True:
        has_lines.wait()
        has_lines.clear()
        while not writer.is_empty:
            gevent.sleep(FLUSH_S)
            dropped = writer.take_dropped()
            if dropped:
                log_event(Event.LOG_LINES_DROPPED, lines=dropped)
            writer.flush()
