"""One attempt to run a call at a target."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import TypeVar

from lagoonbend.clock import Clock
from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import ListedTarget
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.body_memory import BodyMemory
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.event_splitter import is_complete_event
from lagoonbend_entry._internal.gateway.event_splitter import split_events
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from lagoonbend_entry._internal.gateway.successor_search import SuccessorSearch
from lagoonbend_entry._internal.gateway.target_connection import encode_request
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.answer_headers import AnswerHeaders
from lagoonbend_entry._internal.platform.call_headers import CONNECTION_HEADERS
from lagoonbend_entry._internal.utils.loop_turns import LoopTurns

HeadCallback = Callable[[ListedTarget, AnswerHeaders, int, bool], None]
Report = TypeVar('Report', AttemptReport, AttemptReport | None)

ERROR_OUTCOMES: dict[type[NetworkError], AttemptOutcome] = {
    target_error.TargetTimeoutError: AttemptOutcome.SILENT,
    target_error.ConnectionLostError: AttemptOutcome.RESET,
    target_error.BadAnswerError: AttemptOutcome.BAD_ANSWER,
}
EVENT_STREAM = 'text/event-stream'
BODY_IDLE_TIMEOUT_MS = 2_000
"""Pause between two reads of a buffered answer after which another target is
looked for if the call may be repeated."""
MIN_FIRST_BYTE_TIMEOUT_MS = 1_000
"""Minimum time to first byte that a target is allowed before another target
is looked for."""
FIRST_BYTE_TIMEOUT_FACTOR = 3
"""Multiple of the route's objective, or of the expected time to first byte
if that is longer, after which another target is looked for."""
EVENT_GAP_FACTOR = 4
"""Multiple of the route's objective for the gap between events after which
another target is looked for that resumes the stream; callers give up at a
multiple of eight."""
SEARCH_POLL_MS = 50
"""Interval at which a call at a silent target checks whether another target
has been found."""
MAX_REJECTION_BYTES = 65_536
"""Limit on the body of a rejection, whose status suffices: one read."""
REJECTION_TIMEOUT_MS = 50
"""Time for the rest of a rejection, which is sent with its head; a round trip
between failure domains takes 2 to 3 ms."""
MAX_FOREIGN_BYTES = 1_048_576
"""Limit on answers to earlier calls before the one to this call; the largest
values and pages on the platform have 1 MB."""
SERVER_ERROR_STATUS = 500


class Attempt:
    """Sends a call to a target and relays the events of a stream.

    ``has_answered`` is True once an event, or a whole answer, has arrived from
    this target. ``sent_ms`` is the time at which the call was sent; 0 before.
    ``connected_ms`` is the time at which its connection was opened for it; 0
    if it uses one that was open before.

    :param call: admitted call.
    :param target: target to send it to.
    :param expected_ms: expected time to first byte.
    :param position: last event of the stream that the caller received.
    :param reply: writes the answer to the caller.
    :param connection_pool: open connections to targets.
    :param closed_targets: targets that get no requests.
    :param clock: clock of the instance.
    :param search: finds another target while this one is silent.
    :param body_memory: memory of the instance for buffered bodies.
    :param sends: all attempts of the call, to which this one is added.
    :param on_answer: called when the first event, or a whole answer, has
        arrived.
    :param on_head: called with the target, the values of each head, the time
        of the request, and True if the head is that of this call.
    :param is_listed: returns True if a target may still receive calls.
    """

    def __init__(
        self,
        call: AdmittedCall,
        target: ListedTarget,
        expected_ms: int,
        position: StreamPosition,
        reply: ReplyWriter,
        connection_pool: ConnectionPool,
        closed_targets: ClosedTargets,
        clock: Clock,
        search: SuccessorSearch[Any],
        body_memory: BodyMemory,
        sends: SendRecord,
        on_answer: Callable[[], None] = lambda: None,
        on_head: HeadCallback = lambda *unused: None,
        is_listed: Callable[[ListedTarget], bool] = lambda target: True,
    ) -> None:
        self.is_sent = False
        self.has_answered = False
        sends.add(self)
        self._call = call
        self._target = target
        self._expected_ms = expected_ms
        self._position = position
        self._reply = reply
        self._connection_pool = connection_pool
        self._closed_targets = closed_targets
        self._clock = clock
        self._search = search
        self._body_memory = body_memory
        self._on_answer = on_answer
        self._on_head = on_head
        self._is_listed = is_listed
        self._connection: target_connection.TargetConnection | None = None
        self.sent_ms = 0
        self.connected_ms = 0
        self._last_read_ms = 0
        self._first_byte_ms = 0
        self._asks_for_pause = False

    @property
    def silent_since_ms(self) -> int | None:
        """When the call was sent, if nothing has arrived in return.

        None if a new connection was opened for it, which proves the link.
        """
        is_silent = (
            self.is_sent and not self._first_byte_ms and not self.connected_ms
        )
        return self.sent_ms if is_silent else None

    def begin(self, wait_ms: int) -> AttemptReport | None:
        """Send the call, and wait for a rejection.

        :param wait_ms: time to wait.
        :returns: a report if the attempt has failed; None if the target
            seems to accept the call, in which case ``run`` completes it.
        """
        return self._connect() or self._exchange_guarded(
            lambda: self._read_early_rejection(wait_ms)
        )

    def run(self) -> AttemptReport:
        """Run the attempt; errors of the target are returned as a report."""
        report = None if self._connection else self._connect()
        return report or self._exchange_guarded(self._exchange)

    def close(self) -> None:
        """Close the connection of an attempt that is not completed."""
        if self._connection is not None:
            self._connection.close()

    def _connect(self) -> AttemptReport | None:
        """Open a connection; return a report if that fails."""
        try:
            self._connection = self._connection_pool.acquire(
                (self._target.ip, self._target.port),
                may_repeat=self._call.route.may_repeat,
            )
        except target_error.NotConnectedError as error:
            return AttemptReport(
                AttemptOutcome.NOT_CONNECTED,
                detail=error.message,
                is_target_absent=isinstance(
                    error, target_error.TargetAbsentError
                ),
            )
        if not self._connection.request_count:
            self.connected_ms = self._clock.now_ms()
        # The request is sent at once if this returns None.
        is_listed = self._is_listed(self._target)
        if self._closed_targets.is_closed(self._target) or not is_listed:
            self.close()
            return AttemptReport(
                AttemptOutcome.WRONG_TARGET,
                detail='target takes no requests',
                is_target_closed=True,
            )
        return None

    def _exchange_guarded(self, exchange: Callable[[], Report]) -> Report:
        """Run a part of the exchange; return errors of the target as a report.

        An error closes the connection.
        """
        is_exchange_complete = False
        try:
            report = exchange()
            is_exchange_complete = True
        except tuple(ERROR_OUTCOMES) as error:
            outcome = ERROR_OUTCOMES[type(error)]
            return self._build_error_report(outcome, error.message)
        finally:
            if not is_exchange_complete:
                self.close()
        return report

    def _build_error_report(
        self, outcome: AttemptOutcome, detail: str
    ) -> AttemptReport:
        return AttemptReport(
            outcome,
            first_byte_ms=self._first_byte_ms,
            detail=detail,
            asks_for_pause=self._asks_for_pause,
        )

    def _send(self) -> target_connection.TargetConnection:
        """Send the call, unless it has been sent; return the connection."""
        connection = self._connection
        assert connection is not None, 'the attempt has no connection'
        if not self.is_sent:
            self.sent_ms = self._last_read_ms = self._clock.now_ms()
            self.is_sent = True
            connection.send(self._encode_request(), self._left_ms())
        return connection

    def _read_early_rejection(self, wait_ms: int) -> AttemptReport | None:
        connection = self._send()
        try:
            answer = connection.read_head(wait_ms)
        except target_error.TargetTimeoutError:
            return None
        answer_facts = self._decode_headers(answer)
        is_own = answer_facts.attempt in ('', self._call.headers.attempt)
        if not is_own or not answer_facts.is_not_run:
            return None
        return self._read_rejection(connection, answer, answer_facts)

    def _exchange(self) -> AttemptReport:
        connection = self._send()
        answer, answer_facts = self._read_matching_head(connection)
        if self._call.is_handed_over:
            answer.headers = handover_mark.mark_answer(
                answer.headers, self._target
            )
        self._asks_for_pause = answer_facts.pause_ms > 0
        self._first_byte_ms = max(1, self._clock.now_ms() - self.sent_ms)
        if answer_facts.is_encoded:
            raise target_error.BadAnswerError(
                'answer body has a content encoding'
            )
        if answer_facts.is_not_run:
            return self._read_rejection(connection, answer, answer_facts)
        if answer.is_success and not answer_facts.is_signed:
            raise target_error.BadAnswerError(
                'successful answer without a signature'
            )
        if self._is_stream(answer):
            return self._relay_stream(connection, answer)
        report = self._read_complete_answer(connection, answer)
        return report._replace(asks_for_pause=self._asks_for_pause)

    def _encode_request(self) -> bytes:
        request = self._call.request
        customer = self._call.customer
        headers = call_headers.encode_target_headers(
            request.headers,
            request.list_connection_headers(),
            target=self._target.target,
            customer=customer.name if customer else '',
            deadline_ms=self._left_ms(),
            last_event=self._position.last_id,
        )
        return encode_request(
            request.method, request.path, headers, request.body
        )

    def _read_matching_head(
        self, connection: target_connection.TargetConnection
    ) -> tuple[Answer, AnswerHeaders]:
        """Return the answer to this call; discard answers to earlier calls.

        :raises BadAnswerError: if those are too large or take too long.
        """
        patience_ms = self._get_first_byte_patience_ms()
        end_ms = self._clock.now_ms() + patience_ms
        end_bytes = connection.received_bytes + MAX_FOREIGN_BYTES
        while True:
            answer = self._read_head(connection, patience_ms)
            answer_facts = self._decode_headers(answer)
            if answer_facts.attempt == self._call.headers.attempt:
                return answer, answer_facts
            if not answer_facts.attempt and answer_facts.is_not_run:
                return answer, answer_facts
            if not answer_facts.attempt:
                raise target_error.BadAnswerError(
                    'answer has no attempt identity'
                )
            is_bounded = connection.received_bytes <= end_bytes
            for _ in self._read_chunks(connection, answer, patience_ms):
                is_bounded = answer.is_complete or (
                    connection.received_bytes <= end_bytes
                    and self._clock.now_ms() < end_ms
                )
                if not is_bounded:
                    break
            if not is_bounded:
                raise target_error.BadAnswerError(
                    'answer to an earlier call does not end'
                )

    def _decode_headers(self, answer: Answer) -> AnswerHeaders:
        """Return the values of a head; record what it says of the target."""
        answer_facts = answer_headers.decode_answer_headers(
            answer.status, answer.header_map
        )
        self._on_head(
            self._target,
            answer_facts,
            self.sent_ms,
            answer_facts.attempt == self._call.headers.attempt,
        )
        if answer_facts.is_leaving and self._closed_targets.record_leaving(
            self._target
        ):
            self._connection_pool.close_idle(
                (self._target.ip, self._target.port)
            )
        if answer_facts.pause_ms:
            self._closed_targets.record_pause(
                self._target, answer_facts.pause_ms
            )
        if answer_facts.unused_retry_after:
            self._closed_targets.pauses.record_unused_value(
                self._target, answer_facts.unused_retry_after
            )
        return answer_facts

    def _read_head(
        self, connection: target_connection.TargetConnection, patience_ms: int
    ) -> Answer:
        wait_ms = patience_ms
        while True:
            try:
                answer = connection.read_head(wait_ms)
            except target_error.TargetTimeoutError:
                if self._is_given_up(patience_ms):
                    raise
                wait_ms = SEARCH_POLL_MS
                continue
            self._search.cancel()
            return answer

    def _read_chunks(
        self,
        connection: target_connection.TargetConnection,
        answer: Answer,
        patience_ms: int,
        *,
        counts_events: bool = False,
    ) -> Iterator[bytes]:
        """Yield the chunks of a body; a pause ends it only if given up.

        :param counts_events: True if the reader calls ``_record_progress`` for
            each event: chunks that complete none are a pause, too.
        """
        self._last_read_ms = self._clock.now_ms()
        wait_ms = patience_ms
        while True:
            try:
                for chunk in connection.read_body(answer, wait_ms):
                    if not counts_events:
                        self._record_progress()
                    yield chunk
                    if counts_events and self._is_stalled(patience_ms):
                        raise target_error.TargetTimeoutError(
                            'target completes no event'
                        )
                    if wait_ms != patience_ms:
                        wait_ms = patience_ms
                        break
                else:
                    return
            except target_error.TargetTimeoutError:
                if self._is_given_up(patience_ms):
                    raise
                wait_ms = SEARCH_POLL_MS

    def _record_progress(self) -> None:
        """Go on with this target; it has sent what was waited for."""
        self._search.cancel()
        self._last_read_ms = self._clock.now_ms()

    def _is_stalled(self, patience_ms: int) -> bool:
        """Return True if a target that still sends bytes is to be given up."""
        silent_ms = self._clock.now_ms() - self._last_read_ms
        return silent_ms >= patience_ms and self._is_given_up(patience_ms)

    def _is_given_up(self, patience_ms: int) -> bool:
        """Return True if the silent target is to be given up.

        That is so once another target can take the call over, or no time is
        left. The silence alone is no reason: the target may be sound.

        :param patience_ms: silence after which another target is looked for.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._call.expires_at_ms:
            return True
        if not self._call.route.may_repeat:
            return False
        if now_ms - self._last_read_ms >= patience_ms:
            self._search.start()
        return self._search.has_found

    def _read_rejection(
        self,
        connection: target_connection.TargetConnection,
        answer: Answer,
        answer_facts: AnswerHeaders,
    ) -> AttemptReport:
        outcome = AttemptOutcome.TURNED_AWAY
        if answer_facts.is_wrong_target:
            outcome = AttemptOutcome.WRONG_TARGET
        # A copy of it that arrives later on the connection could be taken for
        # the answer to another call, or to this one if it is sent again.
        is_identifiable = bool(answer_facts.attempt)
        if is_identifiable and self._call.route.may_repeat:
            self._keep_connection(connection, answer)
        else:
            connection.close()
        return AttemptReport(
            outcome,
            detail=f'status {answer.status}',
            is_target_absent=answer_facts.is_wrong_target
            and not self._call.headers.requires_model_version,
            asks_for_pause=answer_facts.pause_ms > 0,
        )

    def _keep_connection(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> None:
        """Keep the connection of a rejection if its body ends soon."""
        try:
            connection.discard_body(
                answer, MAX_REJECTION_BYTES, REJECTION_TIMEOUT_MS
            )
            self._release_connection(connection, answer)
        except NetworkError:
            connection.close()

    def _read_complete_answer(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> AttemptReport:
        body = self._read_body(connection, answer)
        if answer.is_success and answer.ends_at_close and not body:
            self._check_may_be_empty()
        if answer.status < SERVER_ERROR_STATUS:
            self._check_fits(answer)
        self._record_answer()
        outcome = AttemptOutcome.WHOLE_ANSWER
        if answer.status >= SERVER_ERROR_STATUS:
            outcome = AttemptOutcome.ERROR_ANSWER
        return AttemptReport(
            outcome,
            answer=answer,
            body=body,
            first_byte_ms=self._first_byte_ms,
            detail=f'status {answer.status}',
        )

    def _check_may_be_empty(self) -> None:
        """Raise ConnectionLostError for a body that may have been cut off.

        A target that ends after the head leaves the same bytes as an answer
        that has neither a length nor a body.
        """
        if self._call.request.method != 'HEAD':
            raise target_error.ConnectionLostError(
                'connection closed before the body'
            )

    def _check_fits(self, answer: Answer) -> None:
        """Raise BadAnswerError for an answer that the caller can't get.

        Only events may follow those that it has.
        """
        if self._reply.has_begun:
            raise target_error.BadAnswerError(
                f'status {answer.status} in place of the rest of a stream'
            )

    def _read_body(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> bytes:
        patience_ms = self._left_ms()
        if self._call.route.may_repeat:
            patience_ms = min(patience_ms, BODY_IDLE_TIMEOUT_MS)
        body = bytearray()
        with self._body_memory.open_share() as share:
            for chunk in self._read_chunks(connection, answer, patience_ms):
                body += chunk
                if not share.allows(len(body)):
                    raise target_error.BadAnswerError('answer body too large')
        self._release_connection(connection, answer)
        return bytes(body)

    def _release_connection(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> None:
        # Once it is kept, it may serve another call.
        self._connection = None
        is_leaving = self._closed_targets.is_leaving(self._target)
        if answer.keeps_connection and not is_leaving:
            self._connection_pool.release(connection)
        else:
            connection.close()

    def _is_stream(self, answer: Answer) -> bool:
        content_type = answer.header_map.get('content-type', '').lower()
        return answer.is_success and content_type.startswith(EVENT_STREAM)

    def _relay_stream(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> AttemptReport:
        """Relay each event to the caller once it has arrived completely."""
        try:
            for event in self._read_new_events(connection, answer):
                self._forward_event(answer, event)
        except NetworkError as error:
            if not self._reply.has_begun:
                raise
            connection.close()
            return self._build_error_report(
                AttemptOutcome.BROKEN_STREAM, error.message
            )
        self._release_connection(connection, answer)
        if not self._reply.has_begun:
            return AttemptReport(
                AttemptOutcome.WHOLE_ANSWER,
                answer=answer,
                first_byte_ms=self._first_byte_ms,
            )
        self._reply.end_stream()
        return AttemptReport(
            AttemptOutcome.WHOLE_ANSWER, first_byte_ms=self._first_byte_ms
        )

    def _read_new_events(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> Iterator[bytes]:
        patience_ms = self._left_ms()
        route = self._call.route
        if route.may_repeat and route.gap_objective_ms:
            patience_ms = min(
                patience_ms, EVENT_GAP_FACTOR * route.gap_objective_ms
            )
        chunks = self._read_chunks(
            connection, answer, patience_ms, counts_events=True
        )
        has_events = False
        turns = LoopTurns()
        for event in split_events(chunks):
            turns.begin_item()
            has_events = True
            self._record_progress()
            if not is_complete_event(event):
                raise target_error.BadAnswerError(
                    'stream ended inside an event'
                )
            if self._position.is_repeated(event):
                continue
            if not self._position.is_next(event):
                raise target_error.BadAnswerError(
                    'event identity out of sequence'
                )
            yield event
        if answer.ends_at_close and not has_events:
            # A target that ends here leaves the same bytes as an empty stream.
            raise target_error.ConnectionLostError(
                'connection closed before the first event'
            )

    def _record_answer(self) -> None:
        if not self.has_answered:
            self.has_answered = True
            self._on_answer()

    def _forward_event(self, answer: Answer, event: bytes) -> None:
        self._record_answer()
        if self._position.last_id is None and not self._reply.has_begun:
            self._first_byte_ms = max(1, self._clock.now_ms() - self.sent_ms)
        if self._reply.has_begun:
            self._reply.send_event(event)
        else:
            self._reply.begin_stream(
                answer.status,
                answer.reason,
                list_relayed_headers(answer),
                event,
            )
        self._position.record_sent(event)

    def _get_first_byte_patience_ms(self) -> int:
        """Return the silence before the first byte that is no concern."""
        left_ms = self._left_ms()
        route = self._call.route
        if not route.may_repeat or route.attempt_limit < 2:
            return left_ms
        timeout_ms = FIRST_BYTE_TIMEOUT_FACTOR * max(
            route.objective_ms, self._expected_ms
        )
        return min(left_ms, max(timeout_ms, MIN_FIRST_BYTE_TIMEOUT_MS))

    def _left_ms(self) -> int:
        return max(1, self._call.expires_at_ms - self._clock.now_ms())


def list_relayed_headers(answer: Answer) -> list[tuple[str, str]]:
    """Return the headers of an answer that are relayed to the caller."""
    named = answer.header_map.get('connection', '').lower().split(',')
    dropped = CONNECTION_HEADERS | {name.strip() for name in named}
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in dropped
    ]
