"""Dispatches calls to targets."""

from typing import NamedTuple

from lagoonbend.clock import Clock
from lagoonbend.exceptions import DispatchError
from lagoonbend.invariants import Invariants
from lagoonbend.models import Call
from lagoonbend.models import Verdict
from lagoonbend.routing import TargetState
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.network.targets import target_client
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.serving import refusals
from lagoonbend_entry._internal.serving.admission import Admission
from lagoonbend_entry._internal.serving.attempt import Attempt
from lagoonbend_entry._internal.settings import serving_settings
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

CONNECT_TRIES = 3
AVOID_MS = 1_000
BYTES_PER_TOKEN = 4
OUTPUT_TOKENS = 64


class Dispatched(NamedTuple):
    """A dispatch whose answer has begun.

    :param state: target that answers.
    :param response: its answer.
    """

    state: TargetState
    response: target_response.TargetResponse


class Dispatcher:
    """Writes each call to one target, at most once.

    A connection that fails before the request is written is tried anew at
    another target. Whatever fails later is not repeated.

    :param clock: clock of the instance.
    :param admission: admits calls to targets.
    :param settings: timeouts.
    :param invariants: checks that must always hold.
    :param metrics: counters.
    """

    def __init__(
        self,
        clock: Clock,
        admission: Admission,
        settings: serving_settings.ServingSettings,
        invariants: Invariants,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._settings = settings
        self._invariants = invariants
        self._metrics = metrics

    def dispatch(self, attempt: Attempt, work: WorkEstimate) -> Dispatched:
        """Return the begun answer of a target.

        The caller of this method leaves the target when the answer ends.

        :raises RefusedError: if the call is given up.
        """
        for _ in range(CONNECT_TRIES):
            state = self._admission.admit(attempt.call, work)
            try:
                response = self._try_target(attempt, state)
            except DispatchError as error:
                self._note_failure(attempt, state, error)
                self._admission.leave(state, work)
                if error.verdict is not Verdict.NOT_RUN:
                    raise refusals.refuse_failed(
                        'The target gave no answer.', error.verdict
                    ) from error
            except BaseException:
                self._admission.leave(state, work)
                raise
            else:
                return Dispatched(state, response)
        raise refusals.refuse_failed(
            'No target could be connected to.', Verdict.NOT_RUN
        )

    def _try_target(
        self, attempt: Attempt, state: TargetState
    ) -> target_response.TargetResponse:
        connection = target_client.TargetConnection(
            state.target,
            connect_timeout_ms=self._settings.connect_timeout_ms,
            silence_timeout_ms=self._settings.target_timeout_ms,
        )
        if self._clock.now_ms() >= attempt.call.deadline_ms:
            connection.abort()
            raise refusals.refuse_late()
        attempt.write(state.target.target)
        self._check_single(attempt)
        self._metrics.dispatches.inc({'target': state.target.target})
        response = connection.send(attempt.call, attempt.dispatch)
        self._check_own(attempt, response)
        return response

    def _check_single(self, attempt: Attempt) -> None:
        self._invariants.check(
            attempt.dispatches == 1,
            'dispatched_at_most_once',
            attempt.dispatch,
        )

    def _check_own(
        self, attempt: Attempt, response: target_response.TargetResponse
    ) -> None:
        echo = response.get_header(target_client.ATTEMPT_HEADER)
        if echo in ('', attempt.dispatch):
            return
        response.abort()
        raise DispatchError(
            f'answer belongs to attempt {echo}',
            verdict=Verdict.MAY_HAVE_RUN,
            context=f'attempt {attempt.dispatch}',
        )

    def _note_failure(
        self, attempt: Attempt, state: TargetState, error: DispatchError
    ) -> None:
        state.avoid_until_ms = self._clock.now_ms() + AVOID_MS
        log_event(
            Event.DISPATCH_FAILED,
            attempt=attempt.call.attempt,
            target=state.target.target,
            verdict=error.verdict.value,
            reason=error.message,
        )


def estimate_work(call: Call) -> WorkEstimate:
    """Return the expected work of a call from the size of its body."""
    return WorkEstimate(len(call.body) // BYTES_PER_TOKEN, OUTPUT_TOKENS)
