"""Splits the body of an event stream into events."""

from collections.abc import Iterable
from collections.abc import Iterator
import re

from lagoonbend_entry._internal.gateway.target_error import BadAnswerError

EVENT_END = b'\n\n'
EVENT_END_CRLF = b'\r\n\r\n'
BLANK_LINES = re.compile(rb'[\r\n]*')
MAX_EVENT_BYTES = 524_288
"""Limit on an event, which is kept until it is complete. The platform's pages
set none; 50 events at once must fit into the 128 MB of an instance."""


def split_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield complete events, each with the blank line that ends it.

    Blank lines between two events belong to the second one. What is left at
    the end of the body is yielded last: an incomplete event, or blank lines.

    :raises BadAnswerError: if an event has more than ``MAX_EVENT_BYTES``.
    """
    rest = bytearray()
    # Where the next event begins in ``rest``, behind blank lines.
    begin = 0
    for chunk in chunks:
        # The end of an event may begin in an earlier chunk.
        searched = max(0, len(rest) - len(EVENT_END_CRLF) + 1)
        rest += chunk
        start = 0
        while True:
            begin = _skip_blank_lines(rest, begin)
            end = _find_end(rest, max(begin, searched))
            if end < 0:
                break
            _check_size(end - start)
            yield bytes(rest[start:end])
            start = begin = end
        del rest[:start]
        begin -= start
        _check_size(len(rest))
    if rest:
        yield bytes(rest)


def is_complete_event(event: bytes) -> bool:
    """Return True if an event ends with a blank line, or is nothing else."""
    is_blank = not event.strip(b'\r\n')
    return is_blank or event.endswith((EVENT_END, EVENT_END_CRLF))


def _skip_blank_lines(data: bytearray, start: int) -> int:
    match = BLANK_LINES.match(data, start)
    return match.end() if match else start


def _check_size(size_bytes: int) -> None:
    if size_bytes > MAX_EVENT_BYTES:
        raise BadAnswerError('event too large')


def _find_end(data: bytearray, start: int) -> int:
    """Return the end of the first blank line from an offset, or -1."""
    plain = data.find(EVENT_END, start)
    end = plain + len(EVENT_END) if plain >= 0 else -1
    crlf = data.find(EVENT_END_CRLF, start, end if end >= 0 else len(data))
    return crlf + len(EVENT_END_CRLF) if crlf >= 0 else end
