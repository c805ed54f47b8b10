"""A call in the admission queue."""

import gevent.event

from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.utils.interrupt import Interrupt


class WaitingCall:
    """A queued or running call and the greenlet that serves it.

    Create it in the greenlet that serves the call.

    :param call: the call.
    :param work: estimated work of the call.
    """

    def __init__(self, call: Call, work: WorkEstimate) -> None:
        self.call = call
        self.work = work
        self._interrupt = Interrupt()
        self._assignment: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def grant(self, assignment: Assignment) -> None:
        """Assign the call to a target and wake its greenlet."""
        self._assignment.set(assignment)

    def refuse(self, error: RefusedError) -> None:
        """Fail the call while it waits in the queue."""
        self._assignment.set_exception(error)

    def preempt(self, error: RefusedError) -> None:
        """Fail the call while it runs: raise ``error`` in its greenlet."""
        self._interrupt.throw(error)

    def end(self) -> None:
        """Mark the call as ended; it can't be preempted any more."""
        self._interrupt.is_over = True

    def wait(self) -> Assignment:
        """Wait until the call is assigned to a target.

        :raises RefusedError: if the call is refused while it waits.
        """
        assignment: Assignment = self._assignment.get()
        return assignment

    def get_assignment(self) -> Assignment | None:
        """Return the assignment; None if there is none yet."""
        value = self._assignment.value
        return value if isinstance(value, Assignment) else None
