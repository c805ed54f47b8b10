"""A call that waits for a target."""

import gevent.event

from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.routing import TargetState
from lagoonbend.routing import WorkEstimate


class WaitingCall:
    """A call with the greenlet that waits for its turn.

    :param call: the call.
    :param work: its estimated work.
    """

    def __init__(self, call: Call, work: WorkEstimate) -> None:
        self.call = call
        self.work = work
        self._turn: gevent.event.AsyncResult = gevent.event.AsyncResult()

    def give(self, state: TargetState) -> None:
        """Let the call run at a target."""
        self._turn.set(state)

    def refuse(self, error: RefusedError) -> None:
        """Let the call fail."""
        self._turn.set_exception(error)

    def wait(self, timeout_s: float) -> TargetState | None:
        """Wait for the turn; None if it did not come in time.

        :raises RefusedError: if the call was refused meanwhile.
        """
        try:
            state: TargetState = self._turn.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        return state

    def take_turn(self) -> TargetState | None:
        """Return the target if the turn has come, else None."""
        value = self._turn.value
        return value if isinstance(value, TargetState) else None
