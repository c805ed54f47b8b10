"""The answer of a target, recorded for repeats of the request."""

from typing import NamedTuple


class RecordedAnswer(NamedTuple):
    """A complete answer, returned to repeats of the same request.

    :param status: HTTP status code of the target.
    :param content_type: media type of the body.
    :param body: whole body in bytes.
    """

    status: int
    content_type: str
    body: bytes
