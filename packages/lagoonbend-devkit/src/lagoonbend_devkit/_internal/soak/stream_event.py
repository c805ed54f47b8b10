"""An event of a stream, as its caller received it."""

import re
from typing import NamedTuple

EVENT_PATTERN = re.compile(rb'id: (\d+)\ndata: piece \d+ of (\S+)\n\n')


class StreamEvent(NamedTuple):
    """An event that a target wrote.

    :param number: number of the event in its stream.
    :param version: version of the target that wrote it.
    """

    number: int
    version: str


def parse_events(body: bytes) -> list[StreamEvent]:
    """Return the whole events of a body; one that was cut off is left out."""
    return [
        StreamEvent(int(match[1]), match[2].decode())
        for match in EVENT_PATTERN.finditer(body)
    ]
