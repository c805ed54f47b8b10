"""Steps of a call at which a disturbance strikes."""

import enum


class Step(enum.Enum):
    """A column of the table."""

    BODY_PENDING = 'head read, body pending'
    WAITING = 'waiting for a slot'
    SENT = 'request sent, no head yet'
    HEAD = 'head received'
    MIDDLE = 'in the middle of the answer'
    LAST = 'last bytes read, end pending'
    NEXT = 'between two requests'
    PIPELINED = 'second request read ahead'

    @property
    def has_second_request(self) -> bool:
        """True if the caller sends a second request on the connection."""
        return self in (Step.NEXT, Step.PIPELINED)


class Point(enum.Enum):
    """A point in the work of a target on a call, in order."""

    REQUEST = 0
    HEAD = 1
    MIDDLE = 2
    LAST = 3
