"""One attempt to have a call run by a target."""

from collections.abc import Iterator

from lagoonbend.clock import Clock
from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import ListedTarget
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.event_blocks import is_whole
from lagoonbend_entry._internal.gateway.event_blocks import split_blocks
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from lagoonbend_entry._internal.gateway.target_connection import encode_request
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.answer_headers import AnswerHeaders
from lagoonbend_entry._internal.platform.call_headers import CONNECTION_HEADERS

EVENT_STREAM = 'text/event-stream'
GREATEST_BODY_BYTES = 16 * 1024 * 1024
"""Bound on an answer that is held whole before it goes on."""
BODY_GAP_MS = 2_000
"""Greatest silence inside a sized answer that may be asked for again."""
LEAST_FIRST_MS = 1_000
"""Least time for the first bytes before a repeatable call goes to another
target."""
FIRST_FACTOR = 3
"""Times the objective, or the expected time, that a target may stay silent
before a repeatable call goes to another one."""
GAP_FACTOR = 4
"""Times the longest pause on time that a stream may stay silent before it
goes on at another target; callers give up after eight."""
SERVER_ERROR = 500
SUCCESS = 300


class Attempt:
    """Sends a call to a target and relays what comes.

    :param call: the call.
    :param target: where it goes.
    :param expected_ms: expected time to the first bytes.
    :param position: how far the stream has gone.
    :param reply: writes to the caller.
    :param pool: kept connections.
    :param clock: clock of the instance.
    """

    def __init__(
        self,
        call: AdmittedCall,
        target: ListedTarget,
        expected_ms: int,
        position: StreamPosition,
        reply: ReplyWriter,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        self.is_sent = False
        self._call = call
        self._target = target
        self._expected_ms = expected_ms
        self._position = position
        self._reply = reply
        self._pool = pool
        self._clock = clock
        self._sent_ms = 0
        self._first_ms = 0

    def run(self) -> AttemptReport:
        """Run to the end; errors of the target become a report."""
        address = (self._target.ip, self._target.port)
        may_repeat = self._call.route.may_repeat
        try:
            connection = self._pool.take(address, may_repeat=may_repeat)
        except target_error.NotConnectedError as error:
            return AttemptReport(
                AttemptOutcome.NOT_CONNECTED,
                detail=error.message,
                is_gone=isinstance(error, target_error.TargetGoneError),
            )
        is_finished = False
        try:
            report = self._exchange(connection)
            is_finished = True
        except target_error.SilentTargetError as error:
            report = self._report_error(AttemptOutcome.SILENT, error.message)
        except target_error.ConnectionLostError as error:
            report = self._report_error(AttemptOutcome.RESET, error.message)
        except target_error.BadAnswerError as error:
            report = self._report_error(
                AttemptOutcome.BAD_ANSWER, error.message
            )
        finally:
            if not is_finished:
                connection.close()
        return report

    def _report_error(self, end: AttemptOutcome, detail: str) -> AttemptReport:
        return AttemptReport(end, first_ms=self._first_ms, detail=detail)

    def _exchange(
        self, connection: target_connection.TargetConnection
    ) -> AttemptReport:
        self._sent_ms = self._clock.now_ms()
        self.is_sent = True
        connection.send(self._encode(), self._left_ms())
        answer, facts = self._read_own_head(connection)
        self._first_ms = max(1, self._clock.now_ms() - self._sent_ms)
        if facts.is_encoded:
            raise target_error.BadAnswerError('encoded body')
        if facts.is_not_run:
            return self._read_rejection(connection, answer, facts)
        if answer.status < SUCCESS and not facts.has_stamp:
            raise target_error.BadAnswerError('success without signature')
        if self._is_stream(answer):
            return self._relay_stream(connection, answer)
        return self._read_whole(connection, answer)

    def _encode(self) -> bytes:
        request = self._call.request
        customer = self._call.customer
        headers = call_headers.encode_target_headers(
            request.headers,
            request.list_connection_names(),
            target=self._target.target,
            customer=customer.name if customer else '',
            deadline_ms=self._left_ms(),
            last_event=self._position.last_id,
        )
        return encode_request(
            request.method, request.path, headers, request.body
        )

    def _read_own_head(
        self, connection: target_connection.TargetConnection
    ) -> tuple[Answer, AnswerHeaders]:
        """Return the answer to this call; skip those to earlier ones."""
        end_ms = self._clock.now_ms() + self._find_first_limit_ms()
        while True:
            left_ms = end_ms - self._clock.now_ms()
            answer = connection.read_head(max(1, left_ms))
            facts = answer_headers.decode_answer_headers(
                answer.status, answer.header_map
            )
            if facts.attempt == self._call.headers.attempt:
                return answer, facts
            if not facts.attempt and facts.is_not_run:
                return answer, facts
            if not facts.attempt:
                raise target_error.BadAnswerError('answer names no attempt')
            for _ in connection.read_body(answer, max(1, left_ms)):
                continue

    def _read_rejection(
        self,
        connection: target_connection.TargetConnection,
        answer: Answer,
        facts: AnswerHeaders,
    ) -> AttemptReport:
        end = AttemptOutcome.TURNED_AWAY
        if facts.is_wrong_target:
            end = AttemptOutcome.WRONG_TARGET
        try:
            self._drain(connection, answer)
        except NetworkError:
            connection.close()
        return AttemptReport(
            end,
            detail=f'status {answer.status}',
            is_gone=facts.is_wrong_target
            and not self._call.headers.demands_version,
        )

    def _read_whole(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> AttemptReport:
        body = self._drain(connection, answer)
        end = AttemptOutcome.WHOLE_ANSWER
        if answer.status >= SERVER_ERROR:
            end = AttemptOutcome.ERROR_ANSWER
        return AttemptReport(
            end,
            answer=answer,
            body=body,
            first_ms=self._first_ms,
            detail=f'status {answer.status}',
        )

    def _drain(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> bytes:
        gap_ms = self._left_ms()
        if self._call.route.may_repeat:
            gap_ms = min(gap_ms, BODY_GAP_MS)
        body = bytearray()
        for piece in connection.read_body(answer, gap_ms):
            body += piece
            if len(body) > GREATEST_BODY_BYTES:
                raise target_error.BadAnswerError('answer too large')
        self._keep(connection, answer)
        return bytes(body)

    def _keep(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> None:
        if answer.keeps_connection:
            self._pool.give_back(connection)
        else:
            connection.close()

    def _is_stream(self, answer: Answer) -> bool:
        content_type = answer.header_map.get('content-type', '').lower()
        is_success = answer.status < SUCCESS
        return is_success and content_type.startswith(EVENT_STREAM)

    def _relay_stream(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> AttemptReport:
        """Pass events on whole as they come."""
        try:
            for block in self._list_new_blocks(connection, answer):
                self._pass_on(answer, block)
        except NetworkError as error:
            if not self._reply.has_begun:
                raise
            connection.close()
            return self._report_error(
                AttemptOutcome.BROKEN_STREAM, error.message
            )
        self._keep(connection, answer)
        if not self._reply.has_begun:
            return AttemptReport(
                AttemptOutcome.WHOLE_ANSWER,
                answer=answer,
                first_ms=self._first_ms,
            )
        self._reply.end_stream()
        return AttemptReport(
            AttemptOutcome.WHOLE_ANSWER, first_ms=self._first_ms
        )

    def _list_new_blocks(
        self, connection: target_connection.TargetConnection, answer: Answer
    ) -> Iterator[bytes]:
        gap_ms = self._left_ms()
        route = self._call.route
        if route.may_repeat and route.gap_objective_ms:
            gap_ms = min(gap_ms, GAP_FACTOR * route.gap_objective_ms)
        for block in split_blocks(connection.read_body(answer, gap_ms)):
            if not is_whole(block):
                raise target_error.BadAnswerError('event cut short')
            if self._position.is_repeated(block):
                continue
            if not self._position.is_next(block):
                raise target_error.BadAnswerError('event out of line')
            yield block

    def _pass_on(self, answer: Answer, block: bytes) -> None:
        if self._position.last_id is None and not self._reply.has_begun:
            self._first_ms = max(1, self._clock.now_ms() - self._sent_ms)
        if self._reply.has_begun:
            self._reply.send_block(block)
        else:
            self._reply.begin_stream(
                answer.status, answer.reason, list_relayed(answer), block
            )
        self._position.note(block)

    def _find_first_limit_ms(self) -> int:
        """Return the time for the first bytes of the answer."""
        left_ms = self._left_ms()
        route = self._call.route
        if not route.may_repeat or route.attempt_limit < 2:
            return left_ms
        patience_ms = FIRST_FACTOR * max(route.objective_ms, self._expected_ms)
        return min(left_ms, max(patience_ms, LEAST_FIRST_MS))

    def _left_ms(self) -> int:
        return max(1, self._call.ends_ms - self._clock.now_ms())


def list_relayed(answer: Answer) -> list[tuple[str, str]]:
    """Return the headers of an answer that go to the caller."""
    named = answer.header_map.get('connection', '').lower().split(',')
    dropped = CONNECTION_HEADERS | {name.strip() for name in named}
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in dropped
    ]
