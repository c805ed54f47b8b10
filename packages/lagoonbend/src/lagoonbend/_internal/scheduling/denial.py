"""Why a call gets no place."""

import enum


class Denial(enum.Enum):
    """Stable reasons; the values travel between instances."""

    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    NO_TIME_LEFT = 'no_time_left'
    NO_TARGET = 'no_target'
