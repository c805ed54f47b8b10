"""Plays one cell."""

import gevent

from lagoonbend_entry._internal.gateway.answer import Answer
from tests.lib.call_table.call_script import CallScript
from tests.lib.call_table.cell import Cell
from tests.lib.call_table.cell import HOLD_POINTS
from tests.lib.call_table.recording_caller import RecordingCaller
from tests.lib.call_table.step import Point
from tests.lib.call_table.step import Step
from tests.lib.call_table.stepped_target import build_plain_answer
from tests.lib.call_table.stepped_target import EVENT_COUNT
from tests.lib.call_table.stepped_target import HOLD_AFTER_EVENT
from tests.lib.call_table.stepped_target import SERVER_STAMP
from tests.lib.call_table.stepped_target import SteppedTargets
from tests.lib.call_table.table_configuration import HOST

REACH_TIMEOUT_S = 10.0
FINISH_TIMEOUT_S = 22.0
"""Longer than the time-out of all routes."""
READ_AHEAD_S = 0.05
"""Time in which the instance surely reads bytes that have arrived: its read
can't be observed from outside."""
LOSS_SLACK_S = 0.2
"""Time from the last byte of a request within which its connection may end
without an answer if the request isn't passed on; a bound of the users."""
NOT_RUN_STATUSES = (401, 403, 404, 408, 413, 421, 429, 503)
MAY_HAVE_RUN_STATUSES = (502, 504)
MAX_SHOWN_BYTES = 60


class CellPlay:
    """The caller's side of a cell.

    ``attempts`` lists the identifiers of the requests that were sent whole,
    and ``sent_s`` the time of the last byte of each.

    :param cell: cell to play.
    :param port: port of the instance.
    :param targets: targets of the calls.
    :param path: path on the cell's route.
    :param key: key of the customer.
    :param attempt: identifier of the first request.
    """

    def __init__(
        self,
        cell: Cell,
        port: int,
        targets: SteppedTargets,
        path: str,
        key: str,
        attempt: str,
    ) -> None:
        self.cell = cell
        self.attempts: list[str] = []
        self.sent_s: list[float] = []
        self.failure = ''
        self._path = path
        self._key = key
        self._attempt = attempt
        hold = HOLD_POINTS.get(cell.step) if cell.strikes else None
        self._scripts = {
            attempt: CallScript(hold, cell.silences),
            f'{attempt}-second': CallScript(),
        }
        for name, script in self._scripts.items():
            targets.add_script(name, script)
        self._caller = RecordingCaller(port)

    def reach(self) -> None:
        """Take the call to the step of the cell."""
        step = self.cell.step
        if step is Step.BODY_PENDING:
            head, _ = self._build_request(self._attempt, expects=True)
            self._caller.send(head)
            self._require(
                self._caller.wait_until(
                    lambda: self._caller.has_continue, REACH_TIMEOUT_S
                )
            )
            return
        self._send_whole(self._attempt)
        script = self._scripts[self._attempt]
        point = HOLD_POINTS.get(step)
        if self.cell.strikes and point is not None:
            self._require(script.get_reached(point).wait(REACH_TIMEOUT_S))
            self._wait_relayed(point)
        if step is Step.PIPELINED:
            if not self.cell.strikes:
                script.get_reached(Point.REQUEST).wait(REACH_TIMEOUT_S)
            self._send_whole(f'{self._attempt}-second')
            gevent.sleep(READ_AHEAD_S)

    def finish(self) -> None:
        """Let the call go on, and wait for the answers or the end."""
        if self.cell.step is Step.BODY_PENDING:
            _, body = self._build_request(self._attempt)
            self.attempts.append(self._attempt)
            self.sent_s.append(self._caller.send(body))
        self._scripts[self._attempt].release()
        if (
            self.cell.step is Step.NEXT
            and self._caller.wait_until(
                lambda: self._caller.count_complete() > 0, FINISH_TIMEOUT_S
            )
            and not _closes_connection(self._caller.answers[0])
        ):
            self._send_whole(f'{self._attempt}-second')
        self._caller.wait_until(
            lambda: self._caller.count_complete() >= len(self.attempts),
            FINISH_TIMEOUT_S,
        )

    def close(self) -> None:
        """Close the connection."""
        self._caller.close()

    def judge(self) -> tuple[str, str]:
        """Return what is wrong, empty if nothing is, and what was seen."""
        answers = self._caller.answers
        failure = self.failure
        seen = []
        is_closed = False
        for number, attempt in enumerate(self.attempts):
            answer = answers[number] if number < len(answers) else None
            if answer is not None and answer.is_complete:
                problem, text = self._judge_answer(attempt, answer)
            elif is_closed:
                problem, text = '', 'closed by the answer before'
            elif self._has_crossed_close(number):
                problem, text = '', 'crossed the close'
            else:
                text = self._describe_end(answer)
                problem = 'no complete answer'
            failure = failure or problem
            seen.append(text)
            is_closed = is_closed or (
                answer is not None and _closes_connection(answer)
            )
        if len(answers) > len(self.attempts):
            failure = failure or 'more answers than requests'
        return failure, '; '.join(seen)

    def _judge_answer(self, attempt: str, answer: Answer) -> tuple[str, str]:
        script = self._scripts[attempt]
        text = f'{answer.status} after {len(script.runs)} run(s)'
        if answer.header_map.get('server-stamp') == SERVER_STAMP:
            is_whole = _read_body(answer) == self._build_expected_body(attempt)
            is_own = answer.header_map.get('attempt-id') == attempt
            if answer.status == 200 and is_whole and is_own:
                return '', text
            return "not the target's answer", text
        if answer.status in NOT_RUN_STATUSES:
            return ('refused as not run, but run' if script.runs else ''), text
        if answer.status in MAY_HAVE_RUN_STATUSES:
            return '', text
        return 'unexpected status', text

    def _has_crossed_close(self, number: int) -> bool:
        ended_s = self._caller.ended_s
        return (
            ended_s is not None
            and ended_s - self.sent_s[number] <= LOSS_SLACK_S
            and not self._scripts[self.attempts[number]].runs
        )

    def _describe_end(self, answer: Answer | None) -> str:
        end = 'still open'
        if self._caller.ended_s is not None:
            end = f'closed after {self._caller.ended_s - self.sent_s[0]:.1f} s'
        if answer is None:
            return f'nothing, {end}'
        tail = _read_body(answer)[-MAX_SHOWN_BYTES:]
        return f'{answer.status} ending {tail!r}, {end}'

    def _build_expected_body(self, attempt: str) -> bytes:
        if not self.cell.kind.is_stream:
            return build_plain_answer(_build_body(attempt))
        return b''.join(
            b'id: %d\ndata: piece %d\n\n' % (number, number)
            for number in range(1, EVENT_COUNT + 1)
        )

    def _send_whole(self, attempt: str) -> None:
        self.attempts.append(attempt)
        self.sent_s.append(
            self._caller.send(b''.join(self._build_request(attempt)))
        )

    def _build_request(
        self, attempt: str, *, expects: bool = False
    ) -> tuple[bytes, bytes]:
        body = _build_body(attempt)
        lines = [
            f'POST {self._path} HTTP/1.1',
            f'Host: {HOST}',
            f'Attempt-Id: {attempt}',
            f'Authorization: Bearer {self._key}',
            f'Content-Length: {len(body)}',
        ]
        if expects:
            lines.append('Expect: 100-continue')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode(), body

    def _wait_relayed(self, point: Point) -> None:
        """Wait until the instance has read what the target has sent."""
        event_count = {
            Point.MIDDLE: HOLD_AFTER_EVENT,
            Point.LAST: EVENT_COUNT,
        }.get(point, 0)
        if not self.cell.kind.is_stream or not event_count:
            gevent.sleep(READ_AHEAD_S)
            return
        self._require(
            self._caller.wait_until(
                lambda: self._caller.received.count(b'id: ') >= event_count,
                REACH_TIMEOUT_S,
            )
        )

    def _require(self, is_reached: bool) -> None:
        if not is_reached:
            self.failure = self.failure or 'step not reached'


def _build_body(attempt: str) -> bytes:
    return f'body of {attempt}'.encode()


def _read_body(answer: Answer) -> bytes:
    return b''.join(answer.chunks)


def _closes_connection(answer: Answer) -> bool:
    return answer.header_map.get('connection', '').lower() == 'close'
