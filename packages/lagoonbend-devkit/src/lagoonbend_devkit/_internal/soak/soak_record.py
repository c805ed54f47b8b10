"""What callers saw during a soak."""

from typing import NamedTuple


class SoakCall(NamedTuple):
    """A request and its answer.

    :param attempt: identity of the attempt, unique in a soak.
    :param route: name of the route.
    :param body: body that was sent.
    :param fault: fault that a target was asked for; empty for none.
    :param status: status of a whole answer; 0 if none came.
    :param answer: body of the answer, or what came of it.
    :param is_signed: True if the answer bears a target's signature.
    :param sent_s: time since the start of the soak.
    :param took_s: time to the end of the answer.
    """

    attempt: str
    route: str
    body: bytes
    fault: str
    status: int
    answer: bytes
    is_signed: bool
    sent_s: float
    took_s: float
