"""How a call continues after an attempt."""

import enum


class NextStep(enum.Enum):
    """Ways to continue a call after an attempt."""

    RELAY = 'relay'
    RETRY = 'retry'
    REFUSE_NOT_RUN = 'refuse_not_run'
    FAIL_MAY_HAVE_RUN = 'fail_may_have_run'
    BREAK_STREAM = 'break_stream'
