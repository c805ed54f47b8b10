"""A period during which a target named a limit."""

from typing import NamedTuple


class LimitedPeriod(NamedTuple):
    """A limit that a target named in its answers.

    :param target: name of the target.
    :param rate_per_s: requests a second that it took.
    :param start_s: start, on the monotonic clock.
    :param end_s: end, on the monotonic clock.
    """

    target: str
    rate_per_s: float
    start_s: float
    end_s: float
