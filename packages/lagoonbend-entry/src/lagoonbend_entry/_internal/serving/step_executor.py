"""Executes the steps of attempts."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from lagoonbend.attempts import Admit
from lagoonbend.attempts import AttemptResult
from lagoonbend.attempts import CallAttempt
from lagoonbend.attempts import CloseConnection
from lagoonbend.attempts import Connect
from lagoonbend.attempts import FetchNonce
from lagoonbend.attempts import ReleaseClaim
from lagoonbend.attempts import ReleaseTarget
from lagoonbend.attempts import SendClaim
from lagoonbend.attempts import SendRequest
from lagoonbend.attempts import Step
from lagoonbend.clock import Clock
from lagoonbend.exceptions import DispatchError
from lagoonbend.exceptions import LagoonbendError
from lagoonbend.models import ClaimReply
from lagoonbend.models import Verdict
from lagoonbend.routing import Assignment
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.network.targets import target_client
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.serving.admission import BlockingAdmission
from lagoonbend_entry._internal.serving.claim_client import ClaimClient
from lagoonbend_entry._internal.settings import serving_settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

AVOID_FAILED_TARGET_MS = 1_000
"""How long a target is avoided after a failed dispatch."""

StepHandler = Callable[['StepExecutor', 'AttemptJob', Any], Any]
HandlerMethod = TypeVar('HandlerMethod', bound=Callable[..., Any])
STEP_HANDLERS: dict[type, StepHandler] = {}


class AttemptJob(NamedTuple):
    """An attempt to be executed, with its estimated work.

    :param call_attempt: the attempt.
    :param work: estimated tokens.
    """

    call_attempt: CallAttempt
    work: WorkEstimate


def handles_step(step: type) -> Callable[[HandlerMethod], HandlerMethod]:
    """Register a method as the handler of a type of step."""

    def decorate(method: HandlerMethod) -> HandlerMethod:
        STEP_HANDLERS[step] = method
        return method

    return decorate


class StepExecutor:
    """Executes the steps of attempts over network connections.

    A ``CallAttempt`` decides on the steps and does no I/O itself.

    :param clock: clock of the instance.
    :param claim_client: sends claims to the holders of keys.
    :param admission: assigns calls to targets.
    :param settings: timeouts of connections to targets.
    :param metrics: metrics of the instance.
    """

    def __init__(
        self,
        clock: Clock,
        claim_client: ClaimClient,
        admission: BlockingAdmission,
        settings: serving_settings.ServingSettings,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._claim_client = claim_client
        self._admission = admission
        self._settings = settings
        self._metrics = metrics

    def run(self, job: AttemptJob) -> AttemptResult:
        """Execute all steps of an attempt and return its result.

        :raises RefusedError: if the call is refused.
        """
        steps = job.call_attempt.run()
        try:
            step: Step = next(steps)
            while True:
                step = self._advance(job, steps, step)
        except StopIteration as end:
            attempt_result: AttemptResult = end.value
            return attempt_result

    def _advance(self, job: AttemptJob, steps: Any, step: Step) -> Step:
        try:
            result = STEP_HANDLERS[type(step)](self, job, step)
        except LagoonbendError as error:
            next_step: Step = steps.throw(error)
        else:
            next_step = steps.send(result)
        return next_step

    @handles_step(FetchNonce)
    def _fetch_nonce(self, job: AttemptJob, step: FetchNonce) -> str:
        return self._claim_client.fetch_nonce(step.holder)

    @handles_step(SendClaim)
    def _send_claim(self, job: AttemptJob, step: SendClaim) -> ClaimReply:
        return self._claim_client.send_claim(step.holder, step.request)

    @handles_step(ReleaseClaim)
    def _release_claim(self, job: AttemptJob, step: ReleaseClaim) -> None:
        self._claim_client.release(step.permit)

    @handles_step(Admit)
    def _admit(self, job: AttemptJob, step: Admit) -> Assignment:
        return self._admission.admit(job.call_attempt.call, job.work)

    @handles_step(Connect)
    def _connect(
        self, job: AttemptJob, step: Connect
    ) -> target_client.TargetConnection:
        try:
            return target_client.TargetConnection(
                step.assignment.state.target,
                connect_timeout_ms=self._settings.connect_timeout_ms,
                silence_timeout_ms=self._settings.target_timeout_ms,
            )
        except DispatchError as error:
            attempt = job.call_attempt.call.attempt
            _log_failure(attempt, step.assignment.state.target.target, error)
            raise

    @handles_step(CloseConnection)
    def _close_connection(
        self, job: AttemptJob, step: CloseConnection
    ) -> None:
        if isinstance(step.connection, target_client.TargetConnection):
            step.connection.abort()

    @handles_step(SendRequest)
    def _send_request(
        self, job: AttemptJob, step: SendRequest
    ) -> target_response.TargetResponse:
        if not isinstance(step.connection, target_client.TargetConnection):
            raise TypeError(step)
        self._metrics.dispatches.inc({'target': job.call_attempt.target})
        try:
            call = job.call_attempt.call
            remaining_ms = max(1, call.deadline_ms - self._clock.now_ms())
            response = step.connection.send(
                call, step.dispatch_id, head_timeout_ms=remaining_ms
            )
            check_attempt_matches(response, step.dispatch_id)
        except DispatchError as error:
            _log_failure(step.dispatch_id, job.call_attempt.target, error)
            raise
        return response

    @handles_step(ReleaseTarget)
    def _release_target(self, job: AttemptJob, step: ReleaseTarget) -> None:
        if step.failed:
            step.assignment.state.avoid_until_ms = (
                self._clock.now_ms() + AVOID_FAILED_TARGET_MS
            )
        self._admission.release(step.assignment)


def _log_failure(attempt: str, target: str, error: DispatchError) -> None:
    log_event(
        Event.DISPATCH_FAILED,
        attempt=attempt,
        target=target,
        verdict=error.verdict.value,
        reason=error.message,
    )


def check_attempt_matches(
    response: target_response.TargetResponse, dispatch_id: str
) -> None:
    """Check that an answer belongs to a dispatch.

    A target may name the attempt that it answers in a header.

    :raises DispatchError: if the header names another dispatch.
    """
    answered_attempt = response.get_header(target_client.ATTEMPT_HEADER)
    if answered_attempt in ('', dispatch_id):
        return
    response.abort()
    raise DispatchError(
        f'answer belongs to attempt {answered_attempt}',
        verdict=Verdict.MAY_HAVE_RUN,
        context=f'attempt {dispatch_id}',
    )
