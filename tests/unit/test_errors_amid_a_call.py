"""Unexpected errors while an instance handles a call that it has read.

Guards against an error in one component that ends the caller's connection
without an answer, or that ends the next request on it too.
"""

import random
import unittest
from unittest import mock

import gevent
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import Route
from lagoonbend.facts import WeightedService
from lagoonbend.outcomes import RetryShare
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend.scheduling import SlotDecision
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.call_handler import CallHandler
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.target_pauses import TargetPauses
from lagoonbend_entry._internal.platform import call_headers
from tests.lib.call_table.recording_caller import RecordingCaller
from tests.lib.mock_coordinator import build_mock_coordinator

BOUNDS = CallerBounds(8_192, 100_000, 1_000, 5_000)
TIMEOUT_S = 5.0
ERROR_STATUSES = {500, 502, 503}
ERRORS = (OSError('no buffer space'), RuntimeError('unexpected'))
REQUEST = (
    b'POST /%b HTTP/1.1\r\nHost: h\r\nAttempt-Id: %b\r\n'
    b'Content-Length: 0\r\n\r\n'
)
ROUTE = Route(
    'route',
    'h',
    '/',
    (WeightedService('service', 1.0),),
    is_idempotent=False,
    is_streaming=False,
    is_resumable=False,
    timeout_ms=3_000,
    objective_ms=300,
    gap_objective_ms=0,
    attempt_limit=2,
    rank=0,
    is_public=True,
)
TARGET = ListedTarget('target', 'service', '127.0.0.1', 1, 'domain', 4, False)


class HandlerCase(unittest.TestCase):
    """A handler with simulated components."""

    def setUp(self) -> None:
        """Create a handler with components that can be made to fail."""
        self.clock = RuntimeClock()
        self.admission = mock.Mock()
        self.admission.admit.side_effect = self.admit
        self.coordinator = build_mock_coordinator()
        self.coordinator.pools.choose.return_value = 'pool'
        self.coordinator.acquire.return_value = SlotDecision(
            'call', 'instance', 'target'
        )
        self.coordinator.count_known.return_value = 1
        self.facts = mock.Mock()
        directory = self.facts.target_directory
        directory.is_service_evacuated.return_value = False
        self.facts.target_directory.find.return_value = TARGET
        self.connection_pool = mock.Mock()
        self.metrics = mock.Mock()
        self.handler = CallHandler(
            self.facts,
            self.admission,
            self.coordinator,
            self.connection_pool,
            ClosedTargets(TargetPauses(self.clock, random.Random(1))),
            self.clock,
            lambda: RetryShare(self.clock, 0.2, 50.0, 10.0),
            ('127.0.0.1:1', 'domain'),
            next(iter(RANK_ORDERS.values())),
            self.metrics,
        )

    def admit(self, request: IncomingRequest) -> AdmittedCall:
        """Admit a request."""
        return AdmittedCall(
            request,
            call_headers.decode_call_headers(request.header_map),
            ROUTE,
            None,
            'service',
            1,
            0,
            request.received_ms + ROUTE.timeout_ms,
        )


class ErrorsAmidACallTest(HandlerCase):
    """A component raises an error in the first of two calls."""

    def exchange(self) -> list[int]:
        """Send two requests at once; return the statuses of whole answers."""
        listener = gevent.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        caller = RecordingCaller(listener.getsockname()[1])
        server, _ = listener.accept()
        listener.close()
        connection = caller_connection.CallerConnection(
            server,
            self.clock,
            lambda: BOUNDS,
            self.handler.serve,
            lambda: False,
        )
        runner = gevent.spawn(connection.run)
        caller.send(
            REQUEST % (b'first', b'first') + REQUEST % (b'second', b'second')
        )
        caller.wait_until(lambda: caller.count_complete() == 2, TIMEOUT_S)
        caller.close()
        runner.kill()
        return [a.status for a in caller.answers if a.is_complete]

    def check(self, component: mock.Mock) -> None:
        """Let a component fail; check that both calls get an answer."""
        for error in ERRORS:
            with self.subTest(error=error):
                component.side_effect = error
                statuses = self.exchange()
                self.assertEqual(2, len(statuses))
                self.assertLessEqual(set(statuses), ERROR_STATUSES)
                self.assertEqual(0, self.handler.active_count)

    def test_error_of_the_admission(self) -> None:
        """The call was not admitted yet."""
        self.check(self.admission.admit)

    def test_error_while_a_slot_is_requested(self) -> None:
        """The call has no slot yet."""
        self.check(self.coordinator.acquire)

    def test_error_while_a_target_is_looked_up(self) -> None:
        """The call has a slot."""
        self.check(self.facts.target_directory.find)

    def test_error_while_a_connection_is_opened(self) -> None:
        """The call has not been sent."""
        self.check(self.connection_pool.acquire)

    def test_error_while_the_request_is_sent(self) -> None:
        """The call may have run."""
        self.check(self.connection_pool.acquire.return_value.send)

    def test_error_while_the_answer_is_read(self) -> None:
        """The call may have run."""
        self.check(self.connection_pool.acquire.return_value.read_head)

    def test_error_while_the_slot_is_released(self) -> None:
        """The call may have run."""
        self.connection_pool.acquire.side_effect = RuntimeError('first')
        self.check(self.coordinator.release)

    def test_error_of_the_metrics(self) -> None:
        """The call has been refused when its end is counted."""
        self.connection_pool.acquire.side_effect = RuntimeError('first')
        self.check(self.metrics.count_call)


if __name__ == '__main__':
    unittest.main()
