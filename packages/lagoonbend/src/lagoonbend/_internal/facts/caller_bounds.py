"""Limits on what a caller may send."""

from typing import NamedTuple


class CallerBounds(NamedTuple):
    """Sizes and timeouts of a caller's connection.

    :param header_bytes: maximum size of a request's head.
    :param body_bytes: maximum size of a body.
    :param header_timeout_ms: maximum time for a head to arrive.
    :param idle_timeout_ms: maximum time between two requests.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int
