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
