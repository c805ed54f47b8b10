"""A call that waits for a target."""

import gevent.event

from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.utils.interrupt import Interrupt


class WaitingCall:
    """A call with the greenlet that serves it.

    :param call: the call.
    :param work: its estimated work.
    """

    def __init__(self, call: Call, work: WorkEstimate) -> None:
        self.call = call
        self.work = work
        self._interrupt = Interrupt()
        self._turn: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def grant(self, assignment: Assignment) -> None:
        """Let the call run at a target."""
        self._turn.set(assignment)

    def refuse(self, error: RefusedError) -> None:
        """Let the call fail while it waits."""
        self._turn.set_exception(error)

    def preempt(self, error: RefusedError) -> None:
        """Let the call fail while it runs."""
        self._interrupt.throw(error)

    def end(self) -> None:
        """Note that the call runs no more."""
        self._interrupt.is_over = True

    def wait(self) -> Assignment:
        """Wait for the turn.

        :raises RefusedError: if the call was refused meanwhile.
        """
        assignment: Assignment = self._turn.get()
        return assignment

    def take_turn(self) -> Assignment | None:
        """Return the turn if it has come, else None."""
        value = self._turn.value
        return value if isinstance(value, Assignment) else None
