"""Answers of real targets that HTTP doesn't allow, or that are cut short.

Guards against callers that get such an answer as if it were a whole one.
"""

import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call
from tests.lib import early_target

STATUSES = (b'000', b'001', b'099', b'600', b'999')
SERVICES = {
    'look-up': 'desk',
    'booking': 'desk',
    'stream': 'chat',
    'once-stream': 'chat',
}
HEAD = b'Attempt-Id: ATTEMPT\r\nServer-Stamp: s\r\n'
EVENT = b'id: 1\ndata: x\n\n'
SMALL_BYTES = 8_000
LARGE_BYTES = 6_000_000
"""More than the system takes for a target that doesn't read."""
WAITS_S = (0.0, 0.02, 0.1, 0.3)


class OddAnswersTest(unittest.TestCase):
    """One instance; each service has one target."""

    def setUp(self) -> None:
        """Start the instance and the target."""
        self.target = early_target.EarlyTarget(b'')
        self.addCleanup(self.target.close)
        self.fleet = gateway_fleet.GatewayFleet(
            1, engine_count=0, service_count=0
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.publish_configuration(max_body_bytes=LARGE_BYTES)
        for service in ('desk', 'chat'):
            self.fleet.register_endpoint(
                f'{service}-0', service, f'127.0.0.1:{self.target.port}'
            )
        gevent.sleep(1.0)

    def send(self, route: str, body_bytes: int = SMALL_BYTES) -> Answer:
        """Send a call; return its answer, of which the target was asked."""
        request_count = self.target.request_count
        _, answer = call(self.fleet, route, body=b'x' * body_bytes)
        self.assertGreater(self.target.request_count, request_count)
        return answer

    # Guards against callers that get a status such as 000.
    def test_status_out_of_range_is_not_passed_on(self) -> None:
        """The caller is told that the call may have run."""
        for status in STATUSES:
            head = b'HTTP/1.1 ' + status + b' X\r\n' + HEAD
            length = b'Content-Length: %d\r\n\r\n' % len(EVENT)
            for kind in (b'', b'Content-Type: text/event-stream\r\n'):
                self.target.answer = head + kind + length + EVENT
                for route in SERVICES:
                    with self.subTest(status=status, kind=kind, route=route):
                        self.assertEqual(502, self.send(route).status)

    # Guards against callers that get the begin of a body as a whole one, since
    # a target ended while their request was being sent.
    def test_part_of_a_body_is_no_whole_answer(self) -> None:
        """However the connection ends, and whenever."""
        for end in early_target.ENDS:
            self.target.end = end
            for wait_s in WAITS_S:
                self.target.wait_s = wait_s
                for route in SERVICES:
                    with self.subTest(end=end, wait_s=wait_s, route=route):
                        self.check_cut(route, LARGE_BYTES)

    # Guards against a reset that is taken for an end, behind a request that
    # the system has taken as a whole.
    def test_reset_after_a_small_request_is_no_end(self) -> None:
        """The system holds the data before the reset."""
        self.target.end = 'reset'
        for wait_s in WAITS_S:
            self.target.wait_s = wait_s
            for route in SERVICES:
                with self.subTest(wait_s=wait_s, route=route):
                    self.check_cut(route, SMALL_BYTES)

    def check_cut(self, route: str, body_bytes: int) -> None:
        """Check that a caller gets no whole answer."""
        head = b'HTTP/1.1 200 OK\r\n' + HEAD
        if 'stream' in route:
            head += b'Content-Type: text/event-stream\r\n'
        self.target.answer = head + b'\r\n' + EVENT
        self.assertNotEqual(200, self.send(route, body_bytes).status)

    # Guards against an answer that is discarded since it came early.
    def test_early_answer_with_a_length_is_whole(self) -> None:
        """Its length shows that nothing is missing."""
        self.target.answer = (
            b'HTTP/1.1 200 OK\r\n' + HEAD + b'Content-Length: 4\r\n\r\nbody'
        )
        self.target.wait_s = 0.1
        for route in ('look-up', 'booking'):
            answer = self.send(route, LARGE_BYTES)
            self.assertEqual((200, b'body'), (answer.status, answer.body))

    # Guards against a failure that is replaced by another one.
    def test_early_failure_keeps_its_status(self) -> None:
        """It is no less true if its body was cut."""
        self.target.answer = b'HTTP/1.1 413 Large\r\n' + HEAD + b'\r\nlarge'
        self.target.end = 'in order'
        self.assertEqual(413, self.send('booking', LARGE_BYTES).status)

    # Guards against complete answers that are discarded.
    def test_answer_after_the_request_ends_with_its_connection(self) -> None:
        """The target has read all of it."""
        self.target.answer = b'HTTP/1.1 200 OK\r\n' + HEAD + b'\r\nbody'
        answer = self.send('booking', 1_000)
        self.assertEqual((200, b'body'), (answer.status, answer.body))
