"""What was done to an instance, or observed of its process."""

import enum
from typing import NamedTuple


class InstanceEventKind(enum.Enum):
    """Kinds of events of an instance."""

    KILLED = 'SIGKILL'
    STOPPED = 'SIGTERM'
    RELOADED = 'SIGHUP'
    LISTENING = 'listening'


class InstanceEvent(NamedTuple):
    """An event of an instance.

    :param instance: number of the instance.
    :param kind: kind of the event.
    :param at_s: time on the monotonic clock.
    """

    instance: int
    kind: InstanceEventKind
    at_s: float
