"""Structured logs."""

import sys

import eliot

from lagoonbend_entry._internal.utils.event import Event


def open_event_log(instance: str) -> None:
    """Write log events as JSON lines to standard error."""
    eliot.to_file(sys.stderr)
    eliot.add_global_fields(instance=instance)


def log_event(event: Event, **fields: object) -> None:
    """Write one event; ``fields`` must hold no secrets."""
    eliot.log_message(
        message_type=event.number,
        severity=event.severity,
        meaning=event.meaning,
        **fields,
    )
