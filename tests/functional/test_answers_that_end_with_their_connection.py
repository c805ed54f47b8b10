"""Answers with neither a length nor chunks, which end with their connection.

Guards against a broken answer of this kind that looks complete to the caller,
and against a complete one that is discarded.
"""

import unittest

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.standin_target import encode_event
from tests.functional.test_gateway_answers import call

EVENT_COUNT = 5
WHOLE_STREAM = b''.join(
    encode_event(number, gateway_fleet.FIRST_VERSION)
    for number in range(1, EVENT_COUNT + 1)
)
ROUTES = ('stream', 'once-stream')
BROKEN_FAULTS = ('unframed-cut', 'unframed-reset')


class AnswersThatEndWithTheirConnectionTest(unittest.TestCase):
    """One fleet for all tests; each test sends calls of its own."""

    fleet: gateway_fleet.GatewayFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.fleet = gateway_fleet.GatewayFleet()
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet."""
        cls.fleet.__exit__(None, None, None)

    def test_whole_answer_is_relayed_as_whole(self) -> None:
        """It runs once."""
        for route in ROUTES:
            attempt, answer = call(
                self.fleet, route, X_Fault='unframed-stream'
            )
            self.assertEqual((200, WHOLE_STREAM), (answer.status, answer.body))
            runs = [r for r in self.fleet.runs if r.attempt == attempt]
            self.assertEqual(1, len(runs))
        _, answer = call(self.fleet, 'look-up', X_Fault='unframed')
        self.assertEqual((200, b'unframed'), (answer.status, answer.body))

    # Guards against a target that ends before the first event of an answer,
    # whose caller got 200 and an empty body.
    def test_answer_without_an_event_does_not_look_complete(self) -> None:
        """Another target completes it, or the caller is told."""
        for route in ROUTES:
            _, answer = call(self.fleet, route, X_Fault='unframed-empty')
            self.assertEqual(502, answer.status)
        for name in ('chat-0', 'chat-1'):
            _, answer = call(
                self.fleet, 'stream', X_Fault=f'unframed-empty@{name}'
            )
            self.assertEqual((200, WHOLE_STREAM), (answer.status, answer.body))

    # Guards against a broken answer that is relayed as a complete one.
    def test_broken_answer_does_not_look_complete(self) -> None:
        """The target ended inside an event, or its connection was reset."""
        for fault in BROKEN_FAULTS:
            for route in ROUTES:
                with self.subTest(fault=fault, route=route):
                    _, answer = call(self.fleet, route, X_Fault=fault)
                    self.assertNotEqual(200, answer.status)

    # Guards against a stream that isn't continued although it could be.
    def test_broken_answer_is_continued(self) -> None:
        """Another target completes what may be repeated."""
        for fault in BROKEN_FAULTS:
            for name in ('chat-0', 'chat-1'):
                with self.subTest(fault=fault, target=name):
                    _, answer = call(
                        self.fleet, 'stream', X_Fault=f'{fault}@{name}'
                    )
                    self.assertEqual(
                        (200, WHOLE_STREAM), (answer.status, answer.body)
                    )
