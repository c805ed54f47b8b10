"""What waits in an admission control."""

from typing import Protocol

from lagoonbend._internal.exceptions import RefusedError
from lagoonbend._internal.models.call import Call
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.work_estimate import WorkEstimate


class QueuedCall(Protocol):
    """A call that wants a target; none of its methods blocks."""

    call: Call
    work: WorkEstimate

    def grant(self, assignment: Assignment) -> None:
        """Let the call run at a target."""

    def refuse(self, error: RefusedError) -> None:
        """Give the call up while it waits."""

    def preempt(self, error: RefusedError) -> None:
        """Give the call up while it runs."""
