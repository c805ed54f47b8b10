"""What callers saw during a soak."""

from typing import NamedTuple


class SoakCall(NamedTuple):
    """A request and its answer.

    :param attempt: identity of the attempt, unique in a soak.
    :param instance: number of the instance that it was sent to.
    :param route: name of the route.
    :param body: body that was sent.
    :param fault: fault that a target was asked for; empty for none.
    :param status: status of a whole answer; 0 if none came.
    :param answer: body of the answer, or what came of it.
    :param is_signed: True if the answer bears a target's signature.
    :param sent_s: when it was sent, on the monotonic clock.
    :param took_s: time to the end of the answer.
    :param stood_s: time of it during which the instance was paused.
    """

    attempt: str
    instance: int
    route: str
    body: bytes
    fault: str
    status: int
    answer: bytes
    is_signed: bool
    sent_s: float
    took_s: float
    stood_s: float = 0.0


class Standstill(NamedTuple):
    """A time during which an instance was paused.

    :param instance: number of the instance.
    :param from_s: begin, on the clock of the soak.
    :param to_s: end.
    """

    instance: int
    from_s: float
    to_s: float

    def find_overlap_s(self, from_s: float, to_s: float) -> float:
        """Return how much of a span of time it takes."""
        return max(0.0, min(to_s, self.to_s) - max(from_s, self.from_s))
