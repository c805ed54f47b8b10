"""Serves calls: runs the attempt and relays the answer."""

from collections.abc import Iterator

import xxhash

from lagoonbend.attempts import CallAttempt
from lagoonbend.attempts import Dispatched
from lagoonbend.attempts import refusals
from lagoonbend.attempts import Replayed
from lagoonbend.attempts import RetryBudget
from lagoonbend.claims import HolderDirectory
from lagoonbend.claims import TicketIssuer
from lagoonbend.clock import Clock
from lagoonbend.exceptions import DispatchError
from lagoonbend.exceptions import RefusedError
from lagoonbend.invariants import Invariants
from lagoonbend.models import Call
from lagoonbend.models import Permit
from lagoonbend.models import RecordedAnswer
from lagoonbend.models import Verdict
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.models.served_answer import ServedAnswer
from lagoonbend_entry._internal.network.targets import target_response
from lagoonbend_entry._internal.serving import event_stream
from lagoonbend_entry._internal.serving.admission import BlockingAdmission
from lagoonbend_entry._internal.serving.claim_client import ClaimClient
from lagoonbend_entry._internal.serving.step_executor import AttemptJob
from lagoonbend_entry._internal.serving.step_executor import StepExecutor
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

EVENT_STREAM = 'text/event-stream'
MAX_ANSWER_BYTES = 16_777_216
"""Maximum size of an answer that is not streamed."""
MAX_RECORDED_BYTES = 65_536
"""Maximum size of an answer that is recorded with its key and replayed to
later requests with that key."""
BYTES_PER_TOKEN = 4
"""Assumed bytes of a body per token of its prompt."""
PREFIX_BYTES = 2_048
"""Bytes at the start of a body that identify the prefix of its prompt in the
targets' caches."""
MILLISECONDS_PER_SECOND = 1000


class CallServer:
    """Runs the attempt of a call and relays the answer.

    :param clock: clock of the instance.
    :param directory: finds the holders of keys.
    :param claim_client: reports finished requests to the holders of keys.
    :param admission: assigns calls to targets.
    :param executor: executes the steps of attempts.
    :param ticket_issuer: issues tickets.
    :param invariants: records violated invariants.
    :param metrics: metrics of the instance.
    :param receipt_life_ms: maximum time from the receipt of a bare key to
        the arrival of its owner's nonce.
    """

    def __init__(
        self,
        clock: Clock,
        directory: HolderDirectory,
        claim_client: ClaimClient,
        admission: BlockingAdmission,
        executor: StepExecutor,
        ticket_issuer: TicketIssuer,
        invariants: Invariants,
        metrics: Metrics,
        *,
        receipt_life_ms: int,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._claim_client = claim_client
        self._admission = admission
        self._executor = executor
        self._ticket_issuer = ticket_issuer
        self._invariants = invariants
        self._metrics = metrics
        self._receipt_life_ms = receipt_life_ms
        self._budget = RetryBudget()
        self.attempts: dict[str, CallAttempt] = {}

    def issue_ticket(self, customer: str) -> str:
        """Return a ticket for one non-idempotent call."""
        return self._ticket_issuer.issue(customer).to_text()

    def serve(self, call: Call) -> ServedAnswer:
        """Return the answer to a call.

        :raises RefusedError: if the call is refused.
        """
        call_attempt = CallAttempt(
            call,
            self._clock,
            self._directory,
            self._budget,
            self._invariants,
            receipt_life_ms=self._receipt_life_ms,
        )
        work = estimate_work(call)
        self.attempts[call.attempt] = call_attempt
        try:
            result = self._executor.run(AttemptJob(call_attempt, work))
        except BaseException:
            self.attempts.pop(call.attempt, None)
            raise
        if isinstance(result, Replayed):
            self.attempts.pop(call.attempt, None)
            return ServedAnswer(*result.answer, replayed=True)
        return self._build_answer(call_attempt, result)

    def _build_answer(
        self, call_attempt: CallAttempt, dispatched: Dispatched
    ) -> ServedAnswer:
        response = dispatched.response
        if not isinstance(response, target_response.TargetResponse):
            raise TypeError(response)
        elapsed_ms = self._clock.now_ms() - call_attempt.call.received_ms
        self._metrics.latency.observe(
            {'tier': call_attempt.call.request_class.tier},
            elapsed_ms / MILLISECONDS_PER_SECOND,
        )
        if _is_event_stream(call_attempt.call, response):
            stream = self._relay(call_attempt, dispatched, response)
            return ServedAnswer(200, EVENT_STREAM, stream=stream)
        return self._read_whole(call_attempt, dispatched, response)

    def _read_whole(
        self,
        call_attempt: CallAttempt,
        dispatched: Dispatched,
        response: target_response.TargetResponse,
    ) -> ServedAnswer:
        try:
            body = response.read_whole(MAX_ANSWER_BYTES)
        except DispatchError as error:
            self._log_incomplete(call_attempt, str(error))
            raise refusals.refuse_incomplete() from error
        except RefusedError as error:
            raise refusals.with_verdict(error, call_attempt.verdict) from error
        finally:
            response.abort()
            self._admission.release(dispatched.assignment)
            self.attempts.pop(call_attempt.call.attempt, None)
        call_attempt.complete()
        content_type = response.get_header('content-type')
        answer = RecordedAnswer(response.status, content_type, body)
        self._finish(call_attempt, dispatched.permit, answer)
        return ServedAnswer(*answer)

    def _relay(
        self,
        call_attempt: CallAttempt,
        dispatched: Dispatched,
        response: target_response.TargetResponse,
    ) -> Iterator[bytes]:
        call = call_attempt.call
        record = bytearray()
        event_count = 0
        lines = response.read_lines()
        refusal = refusals.refuse_incomplete().refusal
        relayed = event_stream.relay_until_end(
            event_stream.split_events(lines), refusal
        )
        try:
            for event in relayed:
                event_count += 1
                dispatched.assignment.record_first_token(self._clock.now_ms())
                if event_stream.is_end_marker(event):
                    call_attempt.complete()
                if dispatched.permit and len(record) <= MAX_RECORDED_BYTES:
                    record += event
                yield event
        except event_stream.IncompleteStreamError as error:
            self._log_incomplete(call_attempt, str(error))
            raise
        except RefusedError as error:
            refused = refusals.with_verdict(error, call_attempt.verdict)
            yield event_stream.write_error_event(refused.refusal)
            raise event_stream.IncompleteStreamError(str(error)) from error
        finally:
            response.abort()
            self._admission.release(dispatched.assignment)
            self.attempts.pop(call.attempt, None)
            dispatched.assignment.record_end(event_count, self._clock.now_ms())
            self._metrics.tokens.add({}, event_count)
            if call_attempt.verdict is Verdict.RAN:
                answer = RecordedAnswer(200, EVENT_STREAM, bytes(record))
                self._finish(call_attempt, dispatched.permit, answer)
            else:
                log_event(Event.REQUEST_LEFT, attempt=call.attempt)

    def _finish(
        self,
        call_attempt: CallAttempt,
        permit: Permit | None,
        answer: RecordedAnswer,
    ) -> None:
        tier = call_attempt.call.request_class.tier
        self._metrics.answers.inc({'tier': tier})
        log_event(
            Event.REQUEST_ANSWERED,
            attempt=call_attempt.call.attempt,
            target=call_attempt.target,
            tier=tier,
            status=answer.status,
        )
        if permit is None:
            return
        recorded = answer if len(answer.body) <= MAX_RECORDED_BYTES else None
        self._claim_client.finish(permit, recorded)

    def _log_incomplete(self, call_attempt: CallAttempt, reason: str) -> None:
        log_event(
            Event.ANSWER_INCOMPLETE,
            attempt=call_attempt.call.attempt,
            target=call_attempt.target,
            reason=reason,
        )


def estimate_work(call: Call) -> WorkEstimate:
    """Estimate the work of a call from the size of its body."""
    prompt_tokens = len(call.body) // BYTES_PER_TOKEN
    if len(call.body) < 2 * PREFIX_BYTES:
        return WorkEstimate(prompt_tokens, call.output_tokens)
    prefix = xxhash.xxh3_64_intdigest(call.body[:PREFIX_BYTES])
    return WorkEstimate(
        prompt_tokens,
        call.output_tokens,
        prefix,
        PREFIX_BYTES // BYTES_PER_TOKEN,
    )


def _is_event_stream(
    call: Call, response: target_response.TargetResponse
) -> bool:
    content_type = response.get_header('content-type')
    return (
        call.streaming
        and call.method == 'POST'
        and response.status == 200
        and content_type.startswith(EVENT_STREAM)
    )
