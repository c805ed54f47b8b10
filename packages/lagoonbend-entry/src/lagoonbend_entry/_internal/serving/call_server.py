"""Serves a call from its claim to the end of its answer."""

from collections.abc import Iterator

import gevent

from lagoonbend.claims import TicketMint
from lagoonbend.clock import Clock
from lagoonbend.exceptions import DispatchError
from lagoonbend.models import Call
from lagoonbend.models import RecordedAnswer
from lagoonbend.models import RefusalCode
from lagoonbend.models import Verdict
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.models.permit import Permit
from lagoonbend_entry._internal.models.served import Served
from lagoonbend_entry._internal.serving import event_stream
from lagoonbend_entry._internal.serving import refusals
from lagoonbend_entry._internal.serving.admission import Admission
from lagoonbend_entry._internal.serving.attempt import Attempt
from lagoonbend_entry._internal.serving.dispatcher import Dispatched
from lagoonbend_entry._internal.serving.dispatcher import Dispatcher
from lagoonbend_entry._internal.serving.dispatcher import estimate_work
from lagoonbend_entry._internal.serving.key_holders import KeyHolders
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.metrics import Metrics

EVENT_STREAM = 'text/event-stream'
ANSWER_LIMIT_BYTES = 16_777_216
RECORD_LIMIT_BYTES = 65_536
MILLISECONDS_PER_SECOND = 1000


class CallServer:
    """Takes a call through claim, admission, dispatch and relay.

    :param clock: clock of the instance.
    :param holders: holders of keys.
    :param admission: admits calls to targets.
    :param dispatcher: writes calls to targets.
    :param mint: issuer of tickets.
    :param metrics: counters.
    """

    def __init__(
        self,
        clock: Clock,
        holders: KeyHolders,
        admission: Admission,
        dispatcher: Dispatcher,
        mint: TicketMint,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._holders = holders
        self._admission = admission
        self._dispatcher = dispatcher
        self._mint = mint
        self._metrics = metrics
        self.attempts: dict[str, Attempt] = {}

    def issue_ticket(self, customer: str) -> str:
        """Return a ticket for one non-idempotent call."""
        return self._mint.issue(customer).to_text()

    def serve(self, call: Call) -> Served:
        """Return the answer to a call.

        :raises RefusedError: if the call is refused.
        """
        permit = None
        if call.key is not None:
            claimed = self._holders.claim(call)
            if claimed.answer is not None:
                return Served(*claimed.answer, replayed=True)
            permit = claimed.permit
        elif call.request_class.key_required:
            raise refusals.refuse(
                428,
                RefusalCode.KEY_REQUIRED,
                'This call needs an Idempotency-Key: use the ticket in '
                'Lagoonbend-Next-Ticket.',
            )
        return self._serve_claimed(call, permit)

    def _serve_claimed(self, call: Call, permit: Permit | None) -> Served:
        attempt = Attempt(call)
        work = estimate_work(call)
        self.attempts[call.attempt] = attempt
        try:
            dispatched = self._dispatcher.dispatch(attempt, work)
        except BaseException:
            self._give_up(attempt, permit)
            raise
        self._metrics.latency.observe(
            {'tier': call.request_class.tier},
            (self._clock.now_ms() - call.received_ms)
            / MILLISECONDS_PER_SECOND,
        )
        if _is_event_stream(call, dispatched):
            stream = self._relay(attempt, permit, work, dispatched)
            return Served(200, EVENT_STREAM, stream=stream)
        return self._read_whole(attempt, permit, work, dispatched)

    def _read_whole(
        self,
        attempt: Attempt,
        permit: Permit | None,
        work: WorkEstimate,
        dispatched: Dispatched,
    ) -> Served:
        response = dispatched.response
        try:
            body = response.read_whole(ANSWER_LIMIT_BYTES)
        except DispatchError as error:
            self._note_incomplete(attempt, str(error))
            raise refusals.refuse_incomplete() from error
        finally:
            response.abort()
            self._admission.leave(dispatched.state, work)
            self.attempts.pop(attempt.call.attempt, None)
        attempt.complete()
        content_type = response.get_header('content-type')
        answer = RecordedAnswer(response.status, content_type, body)
        self._finish(attempt, permit, answer)
        return Served(*answer)

    def _relay(
        self,
        attempt: Attempt,
        permit: Permit | None,
        work: WorkEstimate,
        dispatched: Dispatched,
    ) -> Iterator[bytes]:
        call = attempt.call
        started_ms = self._clock.now_ms()
        record = bytearray()
        events = 0
        lines = dispatched.response.read_lines()
        refusal = refusals.refuse_incomplete().refusal
        relayed = event_stream.relay_until_end(
            event_stream.split_events(lines), refusal
        )
        try:
            for event in relayed:
                events += 1
                if event_stream.is_end_marker(event):
                    attempt.complete()
                if permit and len(record) <= RECORD_LIMIT_BYTES:
                    record += event
                yield event
        except event_stream.IncompleteStreamError as error:
            self._note_incomplete(attempt, str(error))
            raise
        finally:
            dispatched.response.abort()
            elapsed_ms = self._clock.now_ms() - started_ms
            dispatched.state.learn(events, elapsed_ms)
            self._admission.leave(dispatched.state, work)
            self.attempts.pop(call.attempt, None)
            self._metrics.tokens.add({}, events)
            if attempt.verdict is Verdict.RAN:
                answer = RecordedAnswer(200, EVENT_STREAM, bytes(record))
                self._finish(attempt, permit, answer)
            else:
                log_event(Event.REQUEST_LEFT, attempt=call.attempt)

    def _give_up(self, attempt: Attempt, permit: Permit | None) -> None:
        self.attempts.pop(attempt.call.attempt, None)
        if permit is not None and attempt.verdict is Verdict.NOT_RUN:
            gevent.spawn(self._holders.release, permit)

    def _finish(
        self,
        attempt: Attempt,
        permit: Permit | None,
        answer: RecordedAnswer,
    ) -> None:
        tier = attempt.call.request_class.tier
        self._metrics.answers.inc({'tier': tier})
        log_event(
            Event.REQUEST_ANSWERED,
            attempt=attempt.call.attempt,
            target=attempt.target,
            tier=tier,
            status=answer.status,
        )
        if permit is None:
            return
        kept = answer if len(answer.body) <= RECORD_LIMIT_BYTES else None
        gevent.spawn(self._holders.finish, permit, kept)

    def _note_incomplete(self, attempt: Attempt, reason: str) -> None:
        log_event(
            Event.ANSWER_INCOMPLETE,
            attempt=attempt.call.attempt,
            target=attempt.target,
            reason=reason,
        )


def _is_event_stream(call: Call, dispatched: Dispatched) -> bool:
    content_type = dispatched.response.get_header('content-type')
    return (
        call.streaming
        and dispatched.response.status == 200
        and content_type.startswith(EVENT_STREAM)
    )
