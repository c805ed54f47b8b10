"""How an attempt ended for its caller."""

from typing import NamedTuple

from lagoonbend._internal.models.permit import Permit
from lagoonbend._internal.models.recorded_answer import RecordedAnswer
from lagoonbend._internal.routing.assignment import Assignment


class Replayed(NamedTuple):
    """An earlier attempt with the same key gave the answer.

    :param answer: that answer.
    """

    answer: RecordedAnswer


class Dispatched(NamedTuple):
    """A target answers.

    Whoever drives the attempt reads the answer and leaves the target.

    :param assignment: the call at its target.
    :param response: the begun answer.
    :param permit: the claim, if the call has a key.
    """

    assignment: Assignment
    response: object
    permit: Permit | None


AttemptResult = Replayed | Dispatched
