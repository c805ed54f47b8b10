"""What follows the end of an attempt."""

import enum


class NextStep(enum.Enum):
    """Decisions on a call after an attempt."""

    RELAY = 'relay'
    RETRY = 'retry'
    REFUSE_NOT_RUN = 'refuse_not_run'
    FAIL_MAY_HAVE_RUN = 'fail_may_have_run'
    BREAK_STREAM = 'break_stream'
