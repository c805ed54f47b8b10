"""Reasons for denying a slot."""

import enum


class Denial(enum.Enum):
    """Why a call is denied a slot; the values are sent between instances.

    ``TARGETS_PAUSED`` and the blocked ones are never sent: an instance
    denies the call itself.
    """

    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    NO_TIME_LEFT = 'no_time_left'
    NO_TARGET = 'no_target'
    TARGETS_PAUSED = 'targets_paused'
    PROMPT_BLOCKED = 'prompt_blocked'
    REQUEST_BLOCKED = 'request_blocked'
