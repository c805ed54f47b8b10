"""How a call ended without a whole answer, as its caller saw it."""

import enum


class CallFailure(enum.Enum):
    """Ways in which a call ends without a whole answer.

    ``NOT_CONNECTED``: the connection was refused or not accepted in time.
    ``CLOSED``: the connection ended before the first byte of the answer.
    ``CUT``: the connection ended, or bytes that are no HTTP answer came,
    inside the answer. ``TIMED_OUT``: the caller gave up. ``HUNG_UP``: the
    caller ended the connection inside a stream.
    """

    NONE = ''
    NOT_CONNECTED = 'not connected'
    CLOSED = 'closed'
    CUT = 'cut'
    TIMED_OUT = 'timed out'
    HUNG_UP = 'hung up'
