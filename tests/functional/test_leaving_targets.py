"""Targets that say in their answers that they leave, under real instances.

Guards against requests that are sent to a target which has said so, whatever
the store lists, and against a target that is never used again after a restart.
"""

import unittest

import gevent

from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call
from tests.functional.test_gateway_lifecycle import open_stream

CALL_COUNT = 8
"""Calls sent at once; one target runs four."""
ROUND_COUNT = 4
MAX_TRIES = 5
"""Bursts of calls after which a target that is open has got one."""
CHANGE_SPREAD_S = 1.0


class LeavingTargetsTest(unittest.TestCase):
    """Each test starts a fleet of one instance."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(
            1, engine_count=5, service_count=4
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)

    def send_calls(self, name: str, route: str, fault: str = '') -> int:
        """Send calls at once; return how many reach a target.

        :param fault: fault of that target; without one all must be served.
        """
        target = self.fleet.targets[name]
        before = len(target.received_attempts)
        headers = {'X_Fault': f'{fault}@{name}'} if fault else {}
        statuses: list[int] = []
        for _ in range(ROUND_COUNT):
            calls = [
                gevent.spawn(call, self.fleet, route, **headers)
                for _ in range(CALL_COUNT)
            ]
            statuses += [greenlet.get()[1].status for greenlet in calls]
        if not fault:
            self.assertEqual({200}, set(statuses))
        return len(target.received_attempts) - before

    def let_leave(self, name: str, route: str, fault: str = 'leaving') -> None:
        """Let a target say in an answer that it leaves."""
        self.assertTrue(
            any(self.send_calls(name, route, fault) for _ in range(MAX_TRIES))
        )

    # Guards against an answer whose head is read and whose leaving isn't.
    def test_target_that_leaves_gets_no_further_request(self) -> None:
        """Success, stream, rejection and an answer to another attempt."""
        for name, route, fault in (
            ('desk-0', 'look-up', 'leaving'),
            ('desk-1', 'booking', 'leaving'),
            ('chat-0', 'stream', 'leaving'),
            ('chat-1', 'stream', 'leaving-turned-away'),
            ('chat-2', 'stream', 'leaving-foreign'),
        ):
            with self.subTest(fault=fault, route=route):
                self.let_leave(name, route, fault)
                gevent.sleep(CHANGE_SPREAD_S)
                self.assertEqual(0, self.send_calls(name, route))

    # Guards against a store that is behind the target and undoes its leaving.
    def test_listing_as_ready_undoes_nothing(self) -> None:
        """A new registration of the same life changes nothing.

        Only one other target is left, which can't run all calls at once.
        """
        for name in ('chat-2', 'chat-3', 'chat-4'):
            self.fleet.register_target(name, 'chat', 'draining')
        gevent.sleep(CHANGE_SPREAD_S)
        self.let_leave('chat-0', 'stream')
        self.fleet.register_target('chat-0', 'chat', 'draining')
        gevent.sleep(CHANGE_SPREAD_S)
        self.fleet.register_target('chat-0', 'chat', 'ready')
        gevent.sleep(CHANGE_SPREAD_S)
        self.assertEqual(0, self.send_calls('chat-0', 'stream'))

    # Guards against a target that is left unused after its restart.
    def test_restarted_target_is_used_again(self) -> None:
        """A registration with a later start is that of a new target."""
        self.let_leave('desk-0', 'look-up')
        self.assertEqual(0, self.send_calls('desk-0', 'look-up'))
        self.fleet.register_target(
            'desk-0', 'desk', born_ms=gateway_fleet.FIRST_BORN_MS + 1
        )
        gevent.sleep(CHANGE_SPREAD_S)
        for name in ('desk-1', 'desk-2', 'desk-3'):
            self.fleet.register_target(name, 'desk', 'draining')
        gevent.sleep(CHANGE_SPREAD_S)
        self.assertLess(0, self.send_calls('desk-0', 'look-up'))

    # Guards against a leaving that breaks off what runs at the target.
    def test_stream_at_a_leaving_target_goes_on_to_its_end(self) -> None:
        """All events come from the run that has begun."""
        sock = open_stream(self.fleet)
        self.addCleanup(sock.close)
        gevent.sleep(0.2)
        name = next(r.target for r in self.fleet.runs if r.attempt == 'first')
        self.let_leave(name, 'stream')
        received = b''
        while b'piece 5' not in received:
            received += sock.recv(4_096)
        runs = [r.target for r in self.fleet.runs if r.attempt == 'first']
        self.assertEqual([name], runs)


if __name__ == '__main__':
    unittest.main()
