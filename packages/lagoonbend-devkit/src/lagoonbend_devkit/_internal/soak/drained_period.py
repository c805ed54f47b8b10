"""A period during which a target was registered as draining."""

from typing import NamedTuple


class DrainedPeriod(NamedTuple):
    """A period during which a target was registered as draining.

    Or during which the store had lost its registration as ready.

    :param target: name of the target.
    :param start_s: start, on the monotonic clock.
    :param end_s: end, on the monotonic clock.
    :param begins_life: True if the target came back as another life then.
    """

    target: str
    start_s: float
    end_s: float
    begins_life: bool = False
