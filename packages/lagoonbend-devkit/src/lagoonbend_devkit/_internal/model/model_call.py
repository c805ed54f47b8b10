"""A simulated call."""

from collections.abc import Callable

from lagoonbend.clock import Clock
from lagoonbend.exceptions import RefusedError
from lagoonbend.models import Call
from lagoonbend.queueing import AdmissionControl
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_devkit._internal.model.tier_counts import TierCounts
from lagoonbend_devkit._internal.standins.engine_core import EngineJob


class ModelCall:
    """A call that is queued by real admission control and run by a model.

    :param call: the call.
    :param work: the tokens that it really needs.
    :param clock: clock of the simulation.
    :param admission_control: admission control of its instance.
    :param start_job: starts a job at the target of a given name.
    :param tier_counts: counts of its tier, updated when the call ends.
    """

    def __init__(
        self,
        call: Call,
        work: WorkEstimate,
        clock: Clock,
        admission_control: AdmissionControl,
        start_job: Callable[[str, EngineJob], None],
        tier_counts: TierCounts,
    ) -> None:
        self.call = call
        self.work = work
        self._clock = clock
        self._admission_control = admission_control
        self._start_job = start_job
        self._tier_counts = tier_counts
        self._assignment: Assignment | None = None
        self._job = EngineJob(
            work.prompt_tokens,
            work.output_tokens,
            work.prefix,
            work.prefix_tokens,
            self._handle_token,
        )

    def grant(self, assignment: Assignment) -> None:
        """Start the job at the assigned target."""
        self._assignment = assignment
        self._start_job(assignment.state.target.target, self._job)

    def refuse(self, error: RefusedError) -> None:
        """Count the call as refused."""
        self._tier_counts.refused += 1

    def preempt(self, error: RefusedError) -> None:
        """Cancel the running job and count the call as refused."""
        self._job.cancelled = True
        self._tier_counts.refused += 1

    def _handle_token(self, token: int | None) -> None:
        assignment = self._assignment
        if assignment is None or self._job.cancelled:
            return
        now_ms = self._clock.now_ms()
        if token is not None:
            assignment.record_first_token(now_ms)
            return
        assignment.record_end(self.work.output_tokens, now_ms)
        if now_ms <= self.call.deadline_ms:
            self._tier_counts.in_time += 1
        else:
            self._tier_counts.late += 1
        self._admission_control.release(assignment)
