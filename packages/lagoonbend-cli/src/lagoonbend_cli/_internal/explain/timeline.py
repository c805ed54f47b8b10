"""Chooses the log lines that explain a request."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend_cli._internal.explain.log_line import LogLine

AROUND_S = 3.0
"""Time before and after a request in which changes of belief matter."""
CALL_ENDED = 'LB0203'
SERVICE_LOAD = 'LB0605'
BELIEFS = (
    'LB0002',
    'LB0009',
    'LB0500',
    'LB0501',
    'LB0507',
    'LB0508',
    'LB0509',
    'LB0601',
    'LB0603',
    'LB0604',
)
MILLISECONDS_PER_SECOND = 1000


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in lines of text."""
    for text in texts:
        line = LogLine.parse(text)
        if line is not None:
            yield line


def explain_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and those around it, in order.

    Around it are changes of belief at the instances that carried it, and
    the state of its service at whichever instance gave the places.
    """
    every = sorted(lines, key=_find_time)
    own = [line for line in every if line.fields.get('request') == request]
    if not own:
        return []
    instances = {line.instance for line in own}
    services = {
        line.fields['service'] for line in own if 'service' in line.fields
    }
    longest_ms = max(line.fields.get('total_ms', 0) for line in own)
    start_s = own[0].time_s - longest_ms / MILLISECONDS_PER_SECOND - AROUND_S
    end_s = own[-1].time_s + AROUND_S
    return [
        line
        for line in every
        if line in own
        or (
            start_s <= line.time_s <= end_s
            and _is_related(line, instances, services)
        )
    ]


def _find_time(line: LogLine) -> float:
    return line.time_s


def _is_related(
    line: LogLine, instances: set[str], services: set[str]
) -> bool:
    if line.number == SERVICE_LOAD:
        return line.fields.get('service') in services
    return line.number in BELIEFS and line.instance in instances
