"""A period during which a target was cold."""

from typing import NamedTuple


class ColdPeriod(NamedTuple):
    """A target that was registered as cold.

    :param target: name of the target.
    :param rate_per_s: requests a second that it takes while it is cold.
    :param start_s: time after the registration, on the monotonic clock.
    :param end_s: time from which it is warm, on the monotonic clock.
    """

    target: str
    rate_per_s: float
    start_s: float
    end_s: float
