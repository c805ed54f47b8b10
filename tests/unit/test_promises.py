"""Statuses that promise that a call has not run and never will.

Guards against a call that runs although its caller was told that it didn't,
whichever way an attempt ends, whoever ends it and wherever it ran. Each test
covers a column of the table: attempts at targets, at peers, and at peers after
another one has handed the call back.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple
from unittest import mock

import gevent

from lagoonbend.exceptions import CallerGoneError
from lagoonbend.outcomes import RetryShare
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry.testing import IncomingRequest
from tests.unit import test_errors_amid_a_call

PROMISES = (408, 421, 429, 503)
"""Statuses by which the platform's callers know that a call has not run."""
CALL_MS = 400
ATTEMPT = 'a1'
SIGNED = {'server-stamp': 'stamp', 'attempt-id': ATTEMPT}
UNSIGNED = {'attempt-id': ATTEMPT}
NOT_RUN = {'attempt-id': ATTEMPT, 'not-executed': '1'}
HANDED_BACK = {**UNSIGNED, 'lagoonbend-handed-back': '1'}
PEERS = [
    mock.Mock(
        callers_endpoint=f'10.0.1.{number}:80',
        address=f'peer:{number}',
        failure_domain='domain',
        last_seen_ms=0,
    )
    for number in (1, 2)
]

End = Callable[[], Answer]


def answer_with(
    status: int, headers: dict[str, str], body: bytes = b''
) -> End:
    """Return an end of an exchange by a whole answer."""

    def build() -> Answer:
        answer = Answer()
        answer.status = status
        answer.header_map = dict(headers)
        answer.headers = list(headers.items())
        answer.chunks.append(body)
        answer.is_head_complete = True
        return answer

    return build


def refuse_with(
    reason: RefusalReason, headers: dict[str, str] = UNSIGNED
) -> End:
    """Return an end of an exchange by a refusal of an instance."""
    body = b'{"reason":"%b"}' % reason.label.encode()
    return answer_with(reason.status, headers, body)


def fail_with(error: BaseException) -> End:
    """Return an end of an exchange by an error."""

    def fail() -> Answer:
        raise error

    return fail


NOT_CONNECTED = fail_with(target_error.NotConnectedError('refused'))


class Row(NamedTuple):
    """A way in which an attempt ends after it was sent, and who ends it."""

    name: str
    end: End


INTERRUPTIONS = (
    Row('time is up', fail_with(call_handler.DeadlineExceededError())),
    Row('stop', fail_with(call_handler.InstanceStoppingError())),
    Row('block', fail_with(call_handler.CallBlockedError('block'))),
    Row('error', fail_with(RuntimeError('unexpected'))),
)
LOSSES = (
    Row('lost', fail_with(target_error.ConnectionLostError('closed'))),
    Row('silent', fail_with(target_error.TargetTimeoutError('silent'))),
    Row('bad answer', fail_with(target_error.BadAnswerError('noise'))),
    Row('unsigned', answer_with(200, UNSIGNED)),
)
RAN = tuple(
    Row(f'ran, status {status}, {body!r}', answer_with(status, headers, body))
    for status in (408, 429, 503)
    for headers, body in (
        (SIGNED, b''),
        (UNSIGNED, b''),
        (UNSIGNED, b'busy'),
        (UNSIGNED, b'{"reason":"busy"}'),
        (UNSIGNED, b'{"reason":"not_sent","after":1}'),
        (UNSIGNED, b'{"reason":"no_route"}'),
    )
)
"""Answers of targets that don't say that they have not run the call. Status
421 always says so."""


class PromiseCase(test_errors_amid_a_call.HandlerCase):
    """A handler whose targets and peers end exchanges as told."""

    def setUp(self) -> None:
        """Create the handler."""
        super().setUp()
        self.route = test_errors_amid_a_call.ROUTE
        self.reachability = mock.Mock()
        self.reachability.is_unreached.return_value = False
        self.reachability.is_doubtful.return_value = False
        self.handler.reachability = self.reachability
        self.sent_count = 0
        self.ends: Iterator[End] = iter(())
        self.connection_pool.acquire.side_effect = self.connect
        self.handler._make_retry_share = lambda: RetryShare(
            self.clock, 0.2, 50.0, 10.0
        )

    def admit(self, request: IncomingRequest) -> AdmittedCall:
        """Admit a request on the route of the test."""
        return (
            super()
            .admit(request)
            ._replace(
                route=self.route, expires_at_ms=request.received_ms + CALL_MS
            )
        )

    def connect(self, *unused: object, **named: object) -> mock.Mock:
        """Return a connection that ends as told next."""
        end = next(self.ends)
        if end is NOT_CONNECTED:
            end()
        connection = mock.Mock(received_bytes=0, request_count=0)
        connection.send.side_effect = self.record_sent
        connection.read_head.side_effect = lambda wait_ms: end()
        connection.read_body.side_effect = lambda answer, gap_ms: iter(
            answer.chunks
        )
        return connection

    def record_sent(self, *unused: object) -> None:
        """Count a request that was sent."""
        self.sent_count += 1

    def serve(self, *ends: End) -> int:
        """Return the status that a caller gets; 0 if none."""
        self.ends = iter(ends)
        self.sent_count = 0
        sock = mock.Mock()
        reply = ReplyWriter(sock, keeps_connection=True, accepts_chunked=True)
        request = IncomingRequest(
            'POST',
            '/x',
            [],
            {'attempt-id': ATTEMPT},
            b'',
            True,
            True,
            self.clock.now_ms(),
        )
        gevent.spawn(self.handler.serve, request, reply).get(timeout=10)
        calls = sock.sendall.call_args_list
        self.assertLessEqual(len(calls), 1)
        return int(calls[0].args[0].split(b' ')[1]) if calls else 0

    def use_peers(self) -> None:
        """Let the instance reach no target, but two peers."""
        self.reachability.is_unreached.return_value = True
        self.handler._handover._peers = mock.Mock()
        self.handler._handover._peers.choose.return_value = PEERS

    def assert_no_promise(self, rows: tuple[Row, ...], *before: End) -> None:
        """Check that a call which may have run is never said not to have.

        :param before: how earlier attempts of the call end.
        """
        for row in rows:
            with self.subTest(row.name):
                status = self.serve(*before, row.end)
                self.assertEqual(1 + len(before), self.sent_count)
                self.assertNotIn(status, (0, *PROMISES))

    def assert_promise(self, *ends: End) -> None:
        """Check that a call that has not run is said not to have."""
        self.assertIn(self.serve(*ends), PROMISES)


class PromisesOfTargetsTest(PromiseCase):
    """The instance sends the calls itself."""

    # Guards against a promise to a caller whose call is under way.
    def test_interrupted_and_lost_calls_may_have_run(self) -> None:
        """The first attempt, or the one after a rejection."""
        self.assert_no_promise(INTERRUPTIONS + LOSSES)
        self.assert_no_promise(
            INTERRUPTIONS + LOSSES, answer_with(503, NOT_RUN)
        )

    # Guards against a target's failure that promises what isn't so.
    def test_failures_of_targets_that_ran_the_call_promise_nothing(
        self,
    ) -> None:
        """Their status is not passed on, nor their signature."""
        self.assert_no_promise(RAN)

    # Guards against a repeatable call that loses its answer by the same.
    def test_answers_to_repeatable_calls_are_passed_on(self) -> None:
        """Their callers may repeat them in any case."""
        self.route = self.route._replace(is_idempotent=True)
        for status in (429, 408):
            self.assertEqual(status, self.serve(answer_with(status, SIGNED)))

    # Guards against callers that may not repeat a call which has not run.
    def test_calls_that_have_not_run_are_refused_so(self) -> None:
        """Not connected, not sent, or rejected by all targets."""
        self.coordinator.acquire.side_effect = [
            self.coordinator.acquire.return_value,
            call_handler.DeadlineExceededError(),
        ] * 3
        self.assert_promise(answer_with(503, NOT_RUN))
        self.assert_promise(answer_with(421, UNSIGNED))
        self.assert_promise(NOT_CONNECTED)
        self.assertEqual(0, self.sent_count)

    # Guards against work for a caller who has left, who gets no promise.
    def test_caller_that_leaves_gets_no_answer(self) -> None:
        """Whether the call has run or not."""
        self.assertEqual(0, self.serve(fail_with(CallerGoneError('closed'))))


class PromisesOfPeersTest(PromiseCase):
    """A peer runs the calls for the instance."""

    before: tuple[End, ...] = ()

    def setUp(self) -> None:
        """Let the instance reach peers only."""
        super().setUp()
        self.use_peers()

    # Guards against a promise to a caller whose call a peer runs.
    def test_interrupted_and_lost_calls_may_have_run(self) -> None:
        """The sender can't know what the peer has done."""
        self.assert_no_promise(INTERRUPTIONS + LOSSES, *self.before)

    # Guards against a target's failure that a peer passes on unchanged.
    def test_failures_of_targets_that_ran_the_call_promise_nothing(
        self,
    ) -> None:
        """Other versions of an instance do so."""
        self.assert_no_promise(RAN, *self.before)

    # Guards against a changed answer of a peer that promises nothing.
    def test_failures_of_peers_are_passed_on(self) -> None:
        """They say that the call may have run."""
        for status in (500, 502, 504):
            end = answer_with(status, UNSIGNED)
            self.assertEqual(status, self.serve(*self.before, end))

    # Guards against callers that may not repeat a call which has not run.
    def test_refusals_of_peers_are_passed_on(self) -> None:
        """They are true, and say when to come back."""
        for reason in RefusalReason:
            if reason.status < 500 or reason.promises_not_run:
                with self.subTest(reason):
                    status = self.serve(*self.before, refuse_with(reason))
                    self.assertEqual(reason.status, status)

    # Guards against a promise that only the last of two peers makes.
    def test_refusal_after_a_loss_promises_nothing(self) -> None:
        """A repeatable call may have run at the first one."""
        self.route = self.route._replace(is_idempotent=True)
        status = self.serve(
            *self.before,
            fail_with(target_error.ConnectionLostError('closed')),
            refuse_with(RefusalReason.OVERLOADED),
        )
        self.assertEqual(502, status)


class PromisesAfterAHandBackTest(PromisesOfPeersTest):
    """The first peer hands each call back, and the second one runs it."""

    before = (refuse_with(RefusalReason.NOT_SENT, HANDED_BACK),)

    # Guards against calls that no peer runs and that may not be repeated.
    def test_call_that_both_hand_back_has_not_run(self) -> None:
        """The instance goes on itself, and has no target."""
        end = refuse_with(RefusalReason.NOT_SENT, HANDED_BACK)
        self.coordinator.acquire.side_effect = (
            call_handler.DeadlineExceededError()
        )
        self.assert_promise(end, end)


class UnrestrictedPromisesTest(PromiseCase):
    """Each path takes every call for one that has not run."""

    def setUp(self) -> None:
        """Let no path look at the record of the call's attempts."""
        super().setUp()
        for patch in (
            mock.patch.object(CallProgress, 'may_have_run', False),
            mock.patch.object(
                GatewayRefusal, 'restrict_to', lambda refusal, sends: refusal
            ),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    # Guards against a promise by a path that doesn't look at the record.
    def test_writer_makes_no_promise_for_a_call_at_a_target(self) -> None:
        """The caller gets an error that promises nothing."""
        self.assert_no_promise(INTERRUPTIONS + LOSSES + RAN)

    # Guards against the same while a peer has the call.
    def test_writer_makes_no_promise_for_a_call_at_a_peer(self) -> None:
        """The first peer has it, or the second."""
        self.use_peers()
        rows = INTERRUPTIONS + LOSSES + RAN
        self.assert_no_promise(rows)
        handed_back = refuse_with(RefusalReason.NOT_SENT, HANDED_BACK)
        self.assert_no_promise(rows, handed_back)

    # Guards against calls that can't be refused with a promise at all.
    def test_writer_promises_what_the_record_shows(self) -> None:
        """The call has not been sent, or was rejected."""
        self.coordinator.acquire.side_effect = [
            self.coordinator.acquire.return_value,
            call_handler.DeadlineExceededError(),
        ] * 2
        self.assert_promise(answer_with(503, NOT_RUN))
        self.assert_promise(NOT_CONNECTED)


del PromiseCase
