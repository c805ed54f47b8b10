"""How a call continues after an attempt."""

import enum


class NextStep(enum.Enum):
    """Ways to continue a call after an attempt.

    ``RELAY``: send the target's answer to the caller. ``RETRY``: try another
    target. ``REFUSE_NOT_RUN``: refuse the call; it did not run.
    ``FAIL_MAY_HAVE_RUN``: report an error; the call may have run.
    ``BREAK_STREAM``: close a stream that has begun, without its end.
    """

    RELAY = 'relay'
    RETRY = 'retry'
    REFUSE_NOT_RUN = 'refuse_not_run'
    FAIL_MAY_HAVE_RUN = 'fail_may_have_run'
    BREAK_STREAM = 'break_stream'
