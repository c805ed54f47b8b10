"""How exactly limits must be kept over all instances."""

from typing import NamedTuple


class LimitTolerance(NamedTuple):
    """What operators tolerate beyond a limit in a sliding window.

    :param overshoot: part of the limit.
    :param slack_units: units on top of it.
    :param window_s: length of the window in seconds.
    """

    overshoot: float = 0.0
    slack_units: float = 0.0
    window_s: float = 1.0
