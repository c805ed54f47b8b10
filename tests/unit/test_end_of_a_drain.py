"""Calls that are active when the drain of an instance ends.

Guards against a whole answer that is cut while it is written to a slow caller,
and against a call that goes on unanswered until the process exits.
"""

import random
import unittest
from unittest import mock

import gevent
import gevent.event
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import RetryShare
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend.scheduling import SlotDecision
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry.testing import IncomingRequest
from tests.lib.mock_coordinator import build_mock_coordinator
from tests.unit.test_errors_amid_a_call import ROUTE
from tests.unit.test_errors_amid_a_call import TARGET

BODY = b'x' * 8 * 1024 * 1024
REQUEST = IncomingRequest('POST', '/x', [], {}, b'', True, True, 0)


class EndOfADrainTest(unittest.TestCase):
    """One call, whose target answers when the test says so."""

    def setUp(self) -> None:
        """Serve a call that waits for its target."""
        self.clock = RuntimeClock()
        self.is_answered = gevent.event.Event()
        facts = mock.Mock()
        facts.target_directory.is_service_evacuated.return_value = False
        facts.target_directory.find.return_value = TARGET
        admission = mock.Mock()
        admission.admit.return_value = AdmittedCall(
            REQUEST,
            call_headers.decode_call_headers({}),
            ROUTE,
            None,
            'service',
            1,
            0,
            self.clock.now_ms() + ROUTE.timeout_ms,
        )
        coordinator = build_mock_coordinator()
        coordinator.acquire.return_value = SlotDecision('c', 'i', 'target')
        coordinator.count_known.return_value = 1
        self.handler = call_handler.CallHandler(
            facts,
            admission,
            coordinator,
            mock.Mock(),
            ClosedTargets(TargetPauses(self.clock, random.Random(1))),
            self.clock,
            lambda: RetryShare(self.clock, 0.2, 50.0, 10.0),
            ('127.0.0.1:1', 'domain'),
            next(iter(RANK_ORDERS.values())),
            mock.Mock(),
        )
        self.caller, sock = gevent.socket.socketpair()
        self.caller.settimeout(1.0)
        reply = ReplyWriter(sock, keeps_connection=True, accepts_chunked=True)
        patcher = mock.patch.object(
            Attempt, 'run', lambda attempt: self.run_attempt()
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.serving = gevent.spawn(self.handler.serve, REQUEST, reply)
        self.serving.link(lambda greenlet: sock.close())
        self.addCleanup(self.caller.close)
        gevent.sleep(0.01)

    def run_attempt(self) -> AttemptReport:
        """Return the whole answer of the target once it is allowed to."""
        self.is_answered.wait()
        answer = Answer()
        answer.status = 200
        return AttemptReport(
            AttemptOutcome.WHOLE_ANSWER, answer=answer, body=BODY
        )

    def read_all(self) -> bytes:
        """Return all that the caller receives."""
        received = b''
        while data := self.caller.recv(1_048_576):
            received += data
        return received

    # Guards against a whole answer that is cut while it is written to a slow
    # caller, because the grace time of the instance ends.
    def test_answer_in_writing_is_not_cut(self) -> None:
        """The caller reads on after the other calls have been ended."""
        self.is_answered.set()
        gevent.sleep(0.05)
        self.assertEqual(1, self.handler.active_count)
        self.handler.end_calls()
        gevent.sleep(0.05)
        body = self.read_all().partition(b'\r\n\r\n')[2]
        self.assertEqual(len(BODY), len(body))

    def test_call_without_an_answer_is_refused(self) -> None:
        """Its target has not answered."""
        self.handler.end_calls()
        self.assertEqual(b'503', self.read_all()[9:12])


if __name__ == '__main__':
    unittest.main()
