"""Observations during a soak."""

from typing import NamedTuple

from lagoonbend_devkit._internal.soak.call_failure import CallFailure


class SoakCall(NamedTuple):
    """A request of a caller, and its answer.

    :param attempt: identifier of the attempt, unique in a soak.
    :param instance: number of the instance that it was sent to.
    :param route: name of the route.
    :param body: body that was sent.
    :param fault: fault that the target was to inject; empty for none.
    :param status: status of a whole answer; 0 if none came.
    :param answer: body of the answer, or the part that was received.
    :param is_signed: True if the answer has the ``Server-Stamp`` of a target.
    :param sent_s: time of sending, on the monotonic clock.
    :param duration_s: time from sending to the end of the answer.
    :param paused_s: part of that time during which the instance was paused.
    :param failure: how it ended without a whole answer.
    :param is_connection_reused: True if the connection had carried an
        earlier request.
    :param connection_age_s: time from the opening of the connection to the
        sending.
    :param queued_s: part of ``duration_s`` before the end of the answer to an
        earlier request on the connection.
    :param is_behind_close: True if that answer announced the close of the
        connection, or was not whole.
    :param resumes: attempt that began the stream that this one takes up;
        empty for a new request.
    :param last_event: number of the last event that was received of it.
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
    duration_s: float
    paused_s: float = 0.0
    failure: CallFailure = CallFailure.NONE
    is_connection_reused: bool = False
    connection_age_s: float = 0.0
    queued_s: float = 0.0
    is_behind_close: bool = False
    resumes: str = ''
    last_event: int = 0

    @property
    def end_s(self) -> float:
        """Time of the end of the answer, on the monotonic clock."""
        return self.sent_s + self.duration_s


class PausedPeriod(NamedTuple):
    """A period during which an instance was paused.

    :param instance: number of the instance.
    :param start_s: start, on the monotonic clock.
    :param end_s: end, on the monotonic clock.
    """

    instance: int
    start_s: float
    end_s: float

    def compute_overlap_s(self, start_s: float, end_s: float) -> float:
        """Return the length of the overlap with another period."""
        return max(0.0, min(end_s, self.end_s) - max(start_s, self.start_s))
