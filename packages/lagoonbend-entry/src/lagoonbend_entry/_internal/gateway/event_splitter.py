"""Splits the body of an event stream into events."""

from collections.abc import Iterable
from collections.abc import Iterator

EVENT_END = b'\n\n'
EVENT_END_CRLF = b'\r\n\r\n'


def split_events(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield complete events, each with the blank line that ends it.

    An incomplete event at the end of the body is yielded last.
    """
    rest = b''
    for chunk in chunks:
        rest += chunk
        while True:
            end = _find_end(rest)
            if end < 0:
                break
            yield rest[:end]
            rest = rest[end:]
    if rest:
        yield rest


def is_complete_event(event: bytes) -> bool:
    """Return True if an event ends with a blank line."""
    return event.endswith((EVENT_END, EVENT_END_CRLF))


def _find_end(data: bytes) -> int:
    plain = data.find(EVENT_END)
    crlf = data.find(EVENT_END_CRLF)
    ends = [plain + len(EVENT_END)] if plain >= 0 else []
    if crlf >= 0:
        ends.append(crlf + len(EVENT_END_CRLF))
    return min(ends, default=-1)
