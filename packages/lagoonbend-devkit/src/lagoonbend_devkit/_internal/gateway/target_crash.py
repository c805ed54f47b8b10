"""A simulated target that ended under a prompt."""

from typing import NamedTuple


class TargetCrash(NamedTuple):
    """The end of a target that began an answer to a prompt.

    :param target: name of the target.
    :param block: block of the prompt that made it end.
    :param at_s: time of the end, on the monotonic clock.
    """

    target: str
    block: str
    at_s: float
