"""Permitted deviation from the customers' limits."""

from typing import NamedTuple


class LimitTolerance(NamedTuple):
    """Excess over a limit that operators tolerate in a sliding window.

    :param overshoot: excess as a share of the limit.
    :param slack_units: units tolerated on top of it.
    :param window_s: length of the window in seconds.
    """

    overshoot: float = 0.0
    slack_units: float = 0.0
    window_s: float = 1.0
