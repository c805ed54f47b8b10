"""The results of an attempt that was not refused."""

from typing import NamedTuple

from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.recorded_answer import RecordedAnswer
from lagoonbend._internal.routing.assignment import Assignment


class Replayed(NamedTuple):
    """The answer was recorded for an earlier attempt with the same key.

    :param answer: the recorded answer.
    """

    answer: RecordedAnswer


class Dispatched(NamedTuple):
    """A target has begun to answer.

    The code that runs the attempt has to read the answer and to release the
    target.

    :param assignment: the assignment of the call to the target.
    :param response: the answer, of which only the head was read.
    :param permit: the granted claim, if the call has a key.
    """

    assignment: Assignment
    response: object
    permit: Permit | None


AttemptResult = Replayed | Dispatched
