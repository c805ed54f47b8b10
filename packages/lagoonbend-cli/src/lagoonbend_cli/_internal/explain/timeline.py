"""Selection of the log lines that explain a request."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend_cli._internal.explain.log_line import LogLine

CONTEXT_S = 3.0
"""Time before and after a request within which context lines are shown."""
CALL_ENDED = 'LB0203'
SERVICE_LOAD = 'LB0605'
"""Event in which the decider of a service logs its state."""
STATE_CHANGE_EVENTS = (
    'LB0002',  # the instance drains
    'LB0009',  # its readiness changed
    'LB0211',  # a target has ended
    'LB0214',  # a target names, changes or ends a limit
    'LB0500',  # the platform does not answer
    'LB0501',  # the platform answers again
    'LB0507',  # published items changed
    'LB0508',  # new configuration in force
    'LB0509',  # configuration rejected
    'LB0601',  # link to a peer lost
    'LB0603',  # another decider
    'LB0604',  # a decider does not answer
)
"""Events that change an instance's readiness, or its view of the platform, the
configuration, its peers and the deciders."""
PROMPT_EVENTS = (
    'LB0212',  # a block is blocked
    'LB0213',  # it is cleared
)
"""Events that hold on: shown however long before the request they were."""
MILLISECONDS_PER_SECOND = 1000


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in lines of text; skip lines without one."""
    for text in texts:
        line = LogLine.parse(text)
        if line is not None:
            yield line


def explain_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and its context, in order of time.

    The context is the state changes at the instances that handled the
    request, the blocks of prompts that they had blocked for its service, and
    the load of its service as logged by the decider, the instance that grants
    slots at the service's targets.
    """
    all_lines = sorted(lines, key=_get_time_s)
    request_lines = [
        line for line in all_lines if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    handling_instances = {line.instance for line in request_lines}
    services = {
        line.fields['service']
        for line in request_lines
        if 'service' in line.fields
    }
    max_total_ms = max(
        line.fields.get('total_ms', 0) for line in request_lines
    )
    start_s = (
        request_lines[0].time_s
        - max_total_ms / MILLISECONDS_PER_SECOND
        - CONTEXT_S
    )
    end_s = request_lines[-1].time_s + CONTEXT_S
    return [
        line
        for line in all_lines
        if line in request_lines
        or (
            line.time_s <= end_s
            and line.number in PROMPT_EVENTS
            and line.instance in handling_instances
            and line.fields.get('service') in services
        )
        or (
            start_s <= line.time_s <= end_s
            and _is_context(line, handling_instances, services)
        )
    ]


def _get_time_s(line: LogLine) -> float:
    return line.time_s


def _is_context(
    line: LogLine, handling_instances: set[str], services: set[str]
) -> bool:
    if line.number == SERVICE_LOAD:
        return line.fields.get('service') in services
    return (
        line.number in STATE_CHANGE_EVENTS
        and line.instance in handling_instances
    )
