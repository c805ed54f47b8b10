"""Answers of peers to calls that are handed over.

Guards against a refusal that isn't true of a call which may have run, and
against an answer that is written into the middle of a stream.
"""

import unittest
from unittest import mock

import gevent

from lagoonbend.clock import PausedClock
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import refusal_body
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.handover import Handover
from lagoonbend_entry._internal.gateway.handover_result import HandoverResult
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.platform import call_headers

REFUSALS = (
    RefusalReason.OVER_LIMIT,
    RefusalReason.OVERLOADED,
    RefusalReason.NO_CUSTOMER,
)


class HandoverAnswersTest(unittest.TestCase):
    """A peer answers with a status, signed by a target or not."""

    def serve(
        self,
        status: int,
        *,
        body: bytes = b'',
        is_signed: bool = False,
        may_have_run: bool = False,
        has_begun: bool = False,
    ) -> tuple[HandoverResult, mock.Mock]:
        """Return the result, and the writer of the caller's answer."""
        handover = Handover(
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            PausedClock(1_000),
            mock.Mock(),
        )
        answer = Answer()
        answer.status = status
        if is_signed:
            answer.header_map['server-stamp'] = 'stamp'
        outcome = AttemptOutcome.WHOLE_ANSWER
        if status >= 500:
            outcome = AttemptOutcome.ERROR_ANSWER
        report = AttemptReport(outcome, answer=answer, body=body)
        reply = mock.Mock(has_begun=has_begun)
        progress = mock.Mock(may_have_run=may_have_run, run_count=0)
        with mock.patch.object(handover, '_run', return_value=report):
            result = handover.serve(progress, reply, mock.Mock())
        return result, reply

    def assert_relayed(
        self, status: int, body: bytes = b'', **state: bool
    ) -> None:
        """Check that an answer reaches the caller."""
        result, reply = self.serve(status, body=body, **state)
        self.assertIsNone(result.refusal)
        self.assertEqual(status, reply.send_answer.call_args.args[0])

    def assert_replaced(
        self, status: int, body: bytes = b'', **state: bool
    ) -> None:
        """Check that the caller is told that the call may have run."""
        result, reply = self.serve(status, body=body, **state)
        assert result.refusal is not None
        self.assertIs(RefusalReason.MAY_HAVE_RUN, result.refusal.reason)
        reply.send_answer.assert_not_called()

    def test_refusal_of_a_call_that_has_not_run_is_relayed(self) -> None:
        """It says so, and when to come back."""
        for reason in REFUSALS:
            body = refusal_body.encode_refusal_body(reason)
            self.assert_relayed(reason.status, body)

    # Guards against a promise that a call which may have run hasn't.
    def test_refusal_of_a_call_that_may_have_run_is_replaced(self) -> None:
        """An answer of a target says nothing of that, and is relayed."""
        for reason in REFUSALS:
            body = refusal_body.encode_refusal_body(reason)
            self.assert_replaced(reason.status, body, may_have_run=True)
        for status in (200, 404, 500):
            self.assert_relayed(status, may_have_run=True, is_signed=True)

    # Guards against the promise 'not run' to a caller whose time is up while a
    # peer runs its call.
    def test_call_that_is_interrupted_at_a_peer_may_have_run(self) -> None:
        """Its sender's refusal must not say that it hasn't."""
        peers = mock.Mock()
        peers.choose.return_value = [
            mock.Mock(
                callers_endpoint='10.0.1.1:80',
                address='peer:1',
                last_seen_ms=0,
            )
        ]
        connections = mock.Mock()
        closed_targets = mock.Mock()
        closed_targets.is_closed.return_value = False
        handover = Handover(
            peers,
            connections,
            closed_targets,
            PausedClock(1_000),
            mock.Mock(),
        )
        connection = connections.acquire.return_value
        connection.received_bytes = 0
        connection.read_head.side_effect = gevent.Timeout()
        call = mock.MagicMock(expires_at_ms=4_000)
        call.headers = call_headers.decode_call_headers({'attempt-id': 'a'})
        call.request.body = b''
        call.route.may_repeat = False
        progress = CallProgress(call, SendRecord())
        self.assertFalse(progress.may_have_run)
        with self.assertRaises(gevent.Timeout):
            handover.serve(progress, mock.Mock(), mock.Mock())
        connection.send.assert_called_once()
        self.assertTrue(progress.may_have_run)

    # Guards against bytes of another answer inside a stream.
    def test_answer_to_the_rest_of_a_stream_breaks_it(self) -> None:
        """Only events may follow those that the caller has."""
        for status in (200, 429, 503):
            self.assert_replaced(status, has_begun=True, is_signed=True)
