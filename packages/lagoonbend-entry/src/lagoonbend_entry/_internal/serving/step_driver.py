"""Carries out the steps of attempts."""

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
from lagoonbend_entry._internal.serving.admission import Admission
from lagoonbend_entry._internal.serving.claim_courier import ClaimCourier
from lagoonbend_entry._internal.settings import serving_settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

AVOID_MS = 1_000

Handler = Callable[['StepDriver', 'Drive', Any], Any]
HandlerMethod = TypeVar('HandlerMethod', bound=Callable[..., Any])
HANDLERS: dict[type, Handler] = {}


class Drive(NamedTuple):
    """An attempt with its estimated work.

    :param call_attempt: the attempt.
    :param work: tokens that it is expected to cost.
    """

    call_attempt: CallAttempt
    work: WorkEstimate


def handles(step: type) -> Callable[[HandlerMethod], HandlerMethod]:
    """Register a method as the handler of a kind of step."""

    def decorate(method: HandlerMethod) -> HandlerMethod:
        HANDLERS[step] = method
        return method

    return decorate


class StepDriver:
    """Drives attempts with real connections.

    :param clock: clock of the instance.
    :param courier: carries claims to holders.
    :param admission: admits calls to targets.
    :param settings: timeouts.
    :param metrics: counters.
    """

    def __init__(
        self,
        clock: Clock,
        courier: ClaimCourier,
        admission: Admission,
        settings: serving_settings.ServingSettings,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._courier = courier
        self._admission = admission
        self._settings = settings
        self._metrics = metrics

    def drive(self, drive: Drive) -> AttemptResult:
        """Carry out all steps of an attempt; return its outcome.

        :raises RefusedError: if the call is refused.
        """
        steps = drive.call_attempt.run()
        try:
            step: Step = next(steps)
            while True:
                step = self._advance(drive, steps, step)
        except StopIteration as end:
            outcome: AttemptResult = end.value
            return outcome

    def _advance(self, drive: Drive, steps: Any, step: Step) -> Step:
        try:
            result = HANDLERS[type(step)](self, drive, step)
        except LagoonbendError as error:
            following: Step = steps.throw(error)
        else:
            following = steps.send(result)
        return following

    @handles(FetchNonce)
    def _fetch_nonce(self, drive: Drive, step: FetchNonce) -> str:
        return self._courier.fetch_nonce(step.holder)

    @handles(SendClaim)
    def _send_claim(self, drive: Drive, step: SendClaim) -> ClaimReply:
        return self._courier.send_claim(step.holder, step.request)

    @handles(ReleaseClaim)
    def _release_claim(self, drive: Drive, step: ReleaseClaim) -> None:
        self._courier.release(step.permit)

    @handles(Admit)
    def _admit(self, drive: Drive, step: Admit) -> Assignment:
        return self._admission.admit(drive.call_attempt.call, drive.work)

    @handles(Connect)
    def _connect(
        self, drive: Drive, step: Connect
    ) -> target_client.TargetConnection:
        try:
            return target_client.TargetConnection(
                step.assignment.state.target,
                connect_timeout_ms=self._settings.connect_timeout_ms,
                silence_timeout_ms=self._settings.target_timeout_ms,
            )
        except DispatchError as error:
            attempt = drive.call_attempt.call.attempt
            _note_failure(attempt, step.assignment.state.target.target, error)
            raise

    @handles(CloseConnection)
    def _abandon(self, drive: Drive, step: CloseConnection) -> None:
        if isinstance(step.connection, target_client.TargetConnection):
            step.connection.abort()

    @handles(SendRequest)
    def _write(
        self, drive: Drive, step: SendRequest
    ) -> target_response.TargetResponse:
        if not isinstance(step.connection, target_client.TargetConnection):
            raise TypeError(step)
        self._metrics.dispatches.inc({'target': drive.call_attempt.target})
        try:
            call = drive.call_attempt.call
            slack_ms = max(1, call.deadline_ms - self._clock.now_ms())
            response = step.connection.send(
                call, step.dispatch_id, head_timeout_ms=slack_ms
            )
            check_own(response, step.dispatch_id)
        except DispatchError as error:
            _note_failure(step.dispatch_id, drive.call_attempt.target, error)
            raise
        return response

    @handles(ReleaseTarget)
    def _leave(self, drive: Drive, step: ReleaseTarget) -> None:
        if step.failed:
            step.assignment.state.avoid_until_ms = (
                self._clock.now_ms() + AVOID_MS
            )
        self._admission.release(step.assignment)


def _note_failure(attempt: str, target: str, error: DispatchError) -> None:
    log_event(
        Event.DISPATCH_FAILED,
        attempt=attempt,
        target=target,
        verdict=error.verdict.value,
        reason=error.message,
    )


def check_own(
    response: target_response.TargetResponse, dispatch_id: str
) -> None:
    """Check that an answer belongs to a dispatch.

    :raises DispatchError: if the target names another one.
    """
    echo = response.get_header(target_client.ATTEMPT_HEADER)
    if echo in ('', dispatch_id):
        return
    response.abort()
    raise DispatchError(
        f'answer belongs to attempt {echo}',
        verdict=Verdict.MAY_HAVE_RUN,
        context=f'attempt {dispatch_id}',
    )
