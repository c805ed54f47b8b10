"""Calls served end to end by separate processes.

Guards against a key that runs more than once when a caller repeats it through
several instances, and against a drain that cuts a stream.
"""

import signal
import unittest

import gevent
import msgspec

from lagoonbend_devkit.fleet import Answer
from lagoonbend_devkit.fleet import exchange
from lagoonbend_devkit.fleet import LocalFleet
from tests.lib.chat import write_chat

REPEAT_WINDOW_MS = 1_000
QUARANTINE_S = 6.0
MAX_REPEATS = 50
IN_PROGRESS_STATUS = 409


class WholePathTest(unittest.TestCase):
    """One fleet for all tests of the class."""

    fleet: LocalFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a fleet."""
        cls.fleet = LocalFleet(repeat_window_ms=REPEAT_WINDOW_MS)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.__enter__()
        gevent.sleep(QUARANTINE_S)

    def test_stream_ends_with_marker_at_each_instance(self) -> None:
        """Each instance relays a stream up to its end marker."""
        for name in self.fleet.instances:
            answer = self.fleet.call(
                name,
                'POST',
                '/v1/chat/completions',
                body=write_chat(f'question to {name}'),
            )
            self.assertEqual(200, answer.status)
            self.assertEqual(6, answer.body.count(b'data: '))
            self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))

    def test_ticket_runs_once_through_any_instance(self) -> None:
        """Repeats of a ticket get the recorded answer."""
        ticket = self.fleet.request_ticket('lake-north-1')
        answers = [
            self._send_booking(name, b'ticket', ticket)
            for name in self.fleet.instances
        ]
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(1, len({answer.body for answer in answers}))
        self.assertEqual(1, self.fleet.read_executions().count('ticket'))

    def test_bare_key_runs_once_through_any_instance(self) -> None:
        """Repeats of a bare key get the recorded answer."""
        answers = [
            self._send_booking(name, b'bare', 'key-1')
            for name in self.fleet.instances
        ]
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(1, self.fleet.read_executions().count('bare'))

    def test_call_without_key_is_refused_with_ticket(self) -> None:
        """The call is not run, and its refusal offers a ticket."""
        answer = self.fleet.call(
            'lake-south-1', 'POST', '/bookings', body=b'keyless'
        )
        problem = msgspec.json.decode(answer.body)
        self.assertEqual(428, answer.status)
        self.assertEqual('not_run', problem['verdict'])
        self.assertIn('lagoonbend-next-ticket', answer.headers)
        self.assertNotIn('keyless', self.fleet.read_executions())

    def test_unknown_customer_is_refused(self) -> None:
        """A call without a bearer key gets 401 and a problem document."""
        port = self.fleet.instances['lake-north-1'].caller_port
        answer = exchange(port, 'GET', '/maps/1')
        self.assertEqual(401, answer.status)
        self.assertIn(b'"code":"unauthenticated"', answer.body)

    def test_drain_cuts_no_stream(self) -> None:
        """After SIGTERM a stream is completed and the process exits with 0."""
        body = write_chat('long question', max_tokens=100)
        stream = gevent.spawn(
            self.fleet.call,
            'lake-south-2',
            'POST',
            '/v1/chat/completions',
            body=body,
        )
        gevent.sleep(0.3)
        self.fleet.processes['lake-south-2'].send(signal.SIGTERM)
        answer = stream.get(timeout=20)
        self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))
        code = self.fleet.processes['lake-south-2'].wait()
        self.assertEqual(0, code)
        self.fleet.start_instance('lake-south-2')
        self.fleet.wait_ready(['lake-south-2'])
        gevent.sleep(QUARANTINE_S)

    def _send_booking(self, name: str, body: bytes, key: str) -> Answer:
        """Send a booking; repeat it while an attempt is in progress."""
        for _ in range(MAX_REPEATS):
            answer = self.fleet.call(
                name, 'POST', '/bookings', body=body, key=key
            )
            if answer.status != IN_PROGRESS_STATUS:
                break
            gevent.sleep(0.1)
        return answer
