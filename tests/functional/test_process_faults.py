"""Kills and pauses of real processes.

Guards against a booking that runs twice and against a stream that looks whole
although it was cut. Both can come about when an instance is killed or paused
while it holds the claim on a key, reads a request or relays a stream.
"""

import signal
import unittest

import gevent
import msgspec

from lagoonbend_devkit.fleet import LocalFleet
from tests.lib.chat import write_chat

QUARANTINE_S = 6.0
PAUSE_S = 5.0
HOME_INSTANCE = 'lake-north-1'
OTHER_INSTANCE = 'lake-south-1'


class ProcessFaultsTest(unittest.TestCase):
    """Each test starts a fleet of its own."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = LocalFleet()
        self.addCleanup(self.fleet.close)
        self.fleet.__enter__()

    def test_killed_home_never_runs_a_ticket_again(self) -> None:
        """A ticket is refused after its home was killed and restarted.

        The home has lost its record of used tickets with its memory.
        """
        ticket = self.fleet.request_ticket(HOME_INSTANCE)
        self.assertEqual(
            200, self._send_booking('one', ticket, OTHER_INSTANCE)
        )
        self.fleet.processes[HOME_INSTANCE].kill()
        self.assertEqual(
            503, self._send_booking('one', ticket, OTHER_INSTANCE)
        )
        self.fleet.start_instance(HOME_INSTANCE)
        self.fleet.wait_ready([HOME_INSTANCE])
        for name in self.fleet.instances:
            self.assertEqual(503, self._send_booking('one', ticket, name))
        self.assertEqual(['one'], self._read_bookings('one'))

    def test_paused_home_runs_a_ticket_once_on_waking(self) -> None:
        """A claim times out at a paused home; repeats run it at most once."""
        ticket = self.fleet.request_ticket(HOME_INSTANCE)
        self.fleet.processes[HOME_INSTANCE].send(signal.SIGSTOP)
        self.assertEqual(
            503, self._send_booking('two', ticket, OTHER_INSTANCE)
        )
        self.fleet.processes[HOME_INSTANCE].send(signal.SIGCONT)
        statuses = [
            self._send_booking('two', ticket, name)
            for name in self.fleet.instances
        ]
        self.assertIn(len(self._read_bookings('two')), (0, 1))
        self.assertLessEqual(set(statuses), {200, 409})

    def test_request_read_after_a_pause_is_refused(self) -> None:
        """A request that waited in a paused instance has an unknown age.

        Its bare key may have run elsewhere in the meantime.
        """
        gevent.sleep(QUARANTINE_S)
        self.fleet.processes[OTHER_INSTANCE].send(signal.SIGSTOP)
        waiting = gevent.spawn(
            self.fleet.call,
            OTHER_INSTANCE,
            'POST',
            '/bookings',
            body=b'three',
            key='three',
        )
        gevent.sleep(PAUSE_S)
        self.fleet.processes[OTHER_INSTANCE].send(signal.SIGCONT)
        answer = waiting.get(timeout=10)
        self.assertEqual(503, answer.status)
        code = msgspec.json.decode(answer.body)['code']
        self.assertEqual('key_unknown', code)
        self.assertEqual([], self._read_bookings('three'))

    def test_reset_target_is_not_dispatched_to_again(self) -> None:
        """A call whose target executes it and drops the answer runs once."""
        for name, port in self.fleet.target_ports.items():
            if name.startswith('service'):
                self.fleet.set_faults(port, reset=1)
        ticket = self.fleet.request_ticket(HOME_INSTANCE)
        self.assertEqual(
            502, self._send_booking('four', ticket, HOME_INSTANCE)
        )
        self.assertEqual(
            409, self._send_booking('four', ticket, OTHER_INSTANCE)
        )
        self.assertEqual(['four'], self._read_bookings('four'))

    def test_killed_instance_leaves_no_whole_stream(self) -> None:
        """A stream of a killed instance ends without its end marker."""
        stream = self._begin_stream(HOME_INSTANCE)
        self.fleet.processes[HOME_INSTANCE].send(signal.SIGKILL)
        answer = stream.get(timeout=20)
        self.assertEqual(0, answer.status)
        self.assertNotIn(b'[DONE]', answer.body)

    def test_paused_instance_ends_its_stream_whole(self) -> None:
        """A stream continues to its end after the instance was paused."""
        stream = self._begin_stream(HOME_INSTANCE)
        self.fleet.processes[HOME_INSTANCE].send(signal.SIGSTOP)
        gevent.sleep(1.5)
        self.fleet.processes[HOME_INSTANCE].send(signal.SIGCONT)
        answer = stream.get(timeout=20)
        self.assertEqual(200, answer.status)
        self.assertEqual(101, answer.body.count(b'data: '))

    def _begin_stream(self, name: str) -> gevent.Greenlet:
        body = write_chat('long question', max_tokens=100)
        stream = gevent.spawn(
            self.fleet.call,
            name,
            'POST',
            '/v1/chat/completions',
            body=body,
        )
        gevent.sleep(0.4)
        return stream

    def _send_booking(self, body: str, key: str, name: str) -> int:
        answer = self.fleet.call(
            name, 'POST', '/bookings', body=body.encode(), key=key
        )
        return answer.status

    def _read_bookings(self, body: str) -> list[str]:
        return [text for text in self.fleet.read_executions() if text == body]
