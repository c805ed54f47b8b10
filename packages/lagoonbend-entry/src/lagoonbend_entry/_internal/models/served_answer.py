"""Answer to a caller."""

from collections.abc import Iterator
from typing import NamedTuple


class ServedAnswer(NamedTuple):
    """A complete or streamed answer.

    :param status: HTTP status code.
    :param content_type: media type.
    :param body: complete body, if ``stream`` is None.
    :param stream: yields chunks of the body as they arrive.
    :param replayed: True if this is the recorded answer of an earlier
        attempt.
    """

    status: int
    content_type: str
    body: bytes = b''
    stream: Iterator[bytes] | None = None
    replayed: bool = False
