"""Generators that relay server-sent events."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Refusal
from lagoonbend_entry._internal.models.problem import write_problem

END_MARKER = b'data: [DONE]'
BLANK_LINES = (b'\n', b'\r\n')


class IncompleteStreamError(Exception):
    """An answer ended early; breaks the connection to the caller.

    Without it, the caller could mistake a truncated answer for a complete
    one.
    """


def split_events(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Yield each event, including the blank line that ends it."""
    event = bytearray()
    for line in lines:
        event += line
        if line in BLANK_LINES:
            yield bytes(event)
            event.clear()


def is_end_marker(event: bytes) -> bool:
    """Return True for the event that marks the end of an answer."""
    return event.strip() == END_MARKER


def relay_until_end(
    events: Iterable[bytes], refusal: Refusal
) -> Iterator[bytes]:
    """Yield events up to and including the end marker.

    If the stream ends without the marker, yield an error event with
    ``refusal``.

    :raises IncompleteStreamError: after the error event.
    """
    try:
        for event in events:
            yield event
            if is_end_marker(event):
                return
    except DispatchError:
        pass
    yield write_error_event(refusal)
    raise IncompleteStreamError(refusal.detail)


def write_error_event(refusal: Refusal) -> bytes:
    """Return an error event with the problem document of a refusal."""
    problem = msgspec.json.encode(write_problem(refusal))
    return b'event: error\ndata: ' + problem + b'\n\n'
