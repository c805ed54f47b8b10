"""A period in which an instance was cut off from all targets."""

from typing import NamedTuple


class CutPeriod(NamedTuple):
    """A cut of the links of one instance.

    :param instance: number of the instance.
    :param start_s: begin, on the monotonic clock.
    :param end_s: end, on the monotonic clock.
    """

    instance: int
    start_s: float
    end_s: float
