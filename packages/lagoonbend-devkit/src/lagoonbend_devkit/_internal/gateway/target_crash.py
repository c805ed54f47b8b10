"""A simulated target that ended under a request."""

from typing import NamedTuple


class TargetCrash(NamedTuple):
    """The end of a target that ran a request.

    :param target: name of the target.
    :param cause: block of the prompt, or path, that made it end.
    :param at_s: time of the end, on the monotonic clock.
    """

    target: str
    cause: str
    at_s: float
