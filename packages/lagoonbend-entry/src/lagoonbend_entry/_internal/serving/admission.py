"""Lets greenlets wait for a target."""

from lagoonbend.exceptions import LagoonbendError
from lagoonbend.models import Call
from lagoonbend.queueing import AdmissionControl
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.serving.waiting_call import WaitingCall


class Admission:
    """Blocks the greenlet of a call until its turn comes.

    :param control: decides whose turn it is.
    """

    def __init__(self, control: AdmissionControl) -> None:
        self._control = control
        self._running: dict[Assignment, WaitingCall] = {}

    def admit(self, call: Call, work: WorkEstimate) -> Assignment:
        """Wait for a target; count the work there.

        :raises RefusedError: if the call has to be given up.
        :raises CallerGoneError: if the caller left.
        """
        waiting = WaitingCall(call, work)
        waiter = self._control.submit(waiting)
        try:
            assignment = waiting.wait()
        except LagoonbendError:
            if waiter is not None:
                self._control.withdraw(waiter)
            waiting.end()
            late = waiting.take_turn()
            if late is not None:
                self._control.release(late)
            raise
        self._running[assignment] = waiting
        return assignment

    def release(self, assignment: Assignment) -> None:
        """Count the work at a target as over and let others run."""
        waiting = self._running.pop(assignment, None)
        if waiting is not None:
            waiting.end()
        self._control.release(assignment)
