"""A call as admission control needs it."""

from typing import Protocol

from lagoonbend._internal.exceptions import RefusedError
from lagoonbend._internal.models.call import Call
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.work_estimate import WorkEstimate


class QueuedCall(Protocol):
    """A call that waits for a target; none of its methods may block."""

    call: Call
    work: WorkEstimate

    def grant(self, assignment: Assignment) -> None:
        """Run the call at the assigned target."""

    def refuse(self, error: RefusedError) -> None:
        """Fail the call while it waits."""

    def preempt(self, error: RefusedError) -> None:
        """Fail the call while it runs."""
