"""Reads the log lines of a request from the log of an instance."""

from collections.abc import Iterable
import pathlib

import msgspec

SHOWN_FIELDS = (
    'target',
    'end',
    'detail',
    'has_budget',
    'next',
    'cause',
    'software',
    'bound_to',
    'left_ms',
    'outcome',
    'targets',
    'last_event',
    'total_ms',
    'reason',
)


def summarize_requests(
    path: pathlib.Path, attempts: Iterable[str]
) -> dict[str, str]:
    """Return the main fields of all log lines of each request.

    :param path: log file of the instance.
    :param attempts: identifiers of the requests.
    """
    summaries: dict[str, str] = dict.fromkeys(attempts, '')
    for line in path.read_bytes().splitlines():
        try:
            fields = msgspec.json.decode(line, type=dict[str, object])
        except msgspec.DecodeError:
            # A line that a kill cut off, or output of the interpreter.
            continue
        attempt = fields.get('request')
        if isinstance(attempt, str) and attempt in summaries:
            shown = [
                f'{name}={fields[name]}'
                for name in SHOWN_FIELDS
                if name in fields
            ]
            number = fields.get('message_type')
            summaries[attempt] += f' [{number} {" ".join(shown)}]'
    return summaries
