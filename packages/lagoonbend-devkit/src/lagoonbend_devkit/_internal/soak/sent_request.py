"""A request on its way to a target."""

from typing import NamedTuple


class SentRequest(NamedTuple):
    """A request that a proxy has received from an instance.

    :param attempt: identifier of the caller's attempt.
    :param at_s: time on the monotonic clock.
    """

    attempt: str
    at_s: float
