"""The answer that a caller gets."""

from collections.abc import Iterator
from typing import NamedTuple


class Served(NamedTuple):
    """An answer, whole or as a stream.

    :param status: HTTP status code.
    :param content_type: media type.
    :param body: whole body, if ``stream`` is None.
    :param stream: chunks as they come.
    :param replayed: True if an earlier attempt gave the answer.
    """

    status: int
    content_type: str
    body: bytes = b''
    stream: Iterator[bytes] | None = None
    replayed: bool = False
