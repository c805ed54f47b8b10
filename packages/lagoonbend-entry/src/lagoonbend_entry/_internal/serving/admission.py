"""Blocks greenlets until their calls are assigned to a target."""

from lagoonbend.exceptions import LagoonbendError
from lagoonbend.models import Call
from lagoonbend.queueing import AdmissionControl
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.serving.waiting_call import WaitingCall


class BlockingAdmission:
    """Blocks the greenlet of a call until the call is assigned to a target.

    :param control: decides which waiting call is assigned next.
    """

    def __init__(self, control: AdmissionControl) -> None:
        self._control = control
        self._running: dict[Assignment, WaitingCall] = {}

    def admit(self, call: Call, work: WorkEstimate) -> Assignment:
        """Wait until the call is assigned to a target.

        The work counts towards the target's load until ``release``.

        :raises RefusedError: if the call is refused while it waits.
        :raises CallerGoneError: if the caller disconnects while it waits.
        """
        waiting_call = WaitingCall(call, work)
        waiter = self._control.submit(waiting_call)
        try:
            assignment = waiting_call.wait()
        except LagoonbendError:
            if waiter is not None:
                self._control.withdraw(waiter)
            waiting_call.end()
            unused_assignment = waiting_call.get_assignment()
            if unused_assignment is not None:
                self._control.release(unused_assignment)
            raise
        self._running[assignment] = waiting_call
        return assignment

    def release(self, assignment: Assignment) -> None:
        """Remove ended work from a target's load; assign waiting calls."""
        waiting_call = self._running.pop(assignment, None)
        if waiting_call is not None:
            waiting_call.end()
        self._control.release(assignment)
