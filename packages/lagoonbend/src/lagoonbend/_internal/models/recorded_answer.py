"""The answer of a target, kept for repeats."""

from typing import NamedTuple


class RecordedAnswer(NamedTuple):
    """A complete answer that a repeat of the request is given.

    :param status: HTTP status code of the target.
    :param content_type: media type of the body.
    :param body: whole body in bytes.
    """

    status: int
    content_type: str
    body: bytes
