"""Calls that are still open when the grace time of an instance ends.

Guards against a call that gets no final answer because the process exits. One
that waits for a slot has run nowhere, so it can be refused at any time; one
whose target hasn't begun its answer can be ended by a status.
"""

import unittest

import gevent

from tests.lib.call_table.call_script import CallScript
from tests.lib.call_table.open_call import OpenCall
from tests.lib.call_table.recording_caller import RecordingCaller
from tests.lib.call_table.route_kind import ROUTE_KINDS
from tests.lib.call_table.step import Point
from tests.lib.call_table.table_configuration import HOST
from tests.lib.call_table.table_configuration import TableConfiguration
from tests.lib.call_table.table_configuration import TableRoute
from tests.lib.call_table.table_fleet import DRAIN_BEGUN
from tests.lib.call_table.table_fleet import POLL_S
from tests.lib.call_table.table_fleet import TableFleet
from tests.lib.call_table.table_fleet import TARGETS_PER_SERVICE

GRACE_S = 4
"""Longer than the time for which a draining instance still accepts calls."""
STEP_TIMEOUT_S = 10.0
END_TIMEOUT_S = 15.0
WAITING_COUNT = 3
"""Calls that wait on each route. While the decider of a pool changes, one may
obtain a slot at each of the two targets, though they are taken."""
BODY = 'van on Friday'
ROUTES = tuple(
    TableRoute(kind, 'calm', is_strict=False, has_free_slots=has_free_slots)
    for kind in ROUTE_KINDS
    for has_free_slots in (True, False)
)


class EndOfGraceTest(unittest.TestCase):
    """Brings calls of all kinds to three states, once, and ends an instance.

    No target goes on before the process has exited.
    """

    fleet: TableFleet
    waiting: list[OpenCall]
    sent: list[OpenCall]
    begun: list[OpenCall]
    exit_code: int

    @classmethod
    def setUpClass(cls) -> None:
        """Bring the calls to their states, stop the instance and wait."""
        cls.fleet = TableFleet(instance_count=2, grace_s=GRACE_S)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.fleet.begin_batch(TableConfiguration('b', ROUTES))
        blockers = cls.call_full(
            'blocker', TARGETS_PER_SERVICE, is_blocker=True
        )
        cls.sent = cls.call_free('sent', Point.REQUEST)
        cls.begun = cls.call_free('begun', Point.MIDDLE)
        for call in (*blockers, *cls.sent):
            _wait_for_target(call, Point.REQUEST)
        for call in cls.begun:
            _wait_for_target(call, Point.MIDDLE)
            if call.route.kind.is_stream:
                _wait_for_second_event(call)
        cls.waiting = cls.call_full('waiting', WAITING_COUNT)
        with gevent.Timeout(STEP_TIMEOUT_S):
            while cls.fleet.count_waiting() < len(cls.waiting):
                gevent.sleep(POLL_S)
        cls.fleet.stop_first()
        cls.fleet.wait_logged(DRAIN_BEGUN)
        with gevent.Timeout(END_TIMEOUT_S):
            while cls.fleet.processes[0].is_running:
                gevent.sleep(POLL_S)
        cls.exit_code = cls.fleet.processes[0].wait()
        for call in (*cls.waiting, *cls.sent, *cls.begun):
            call.caller.wait_until(lambda: False, STEP_TIMEOUT_S)

    @classmethod
    def call_free(cls, name: str, hold: Point) -> list[OpenCall]:
        """Send a call on each route with free slots."""
        return [
            cls.call(route, name, hold)
            for route in ROUTES
            if route.has_free_slots
        ]

    @classmethod
    def call_full(
        cls, name: str, count: int, *, is_blocker: bool = False
    ) -> list[OpenCall]:
        """Send calls on each route whose slots are to be taken."""
        return [
            cls.call(
                route, f'{name}-{number}', Point.REQUEST, is_blocker=is_blocker
            )
            for route in ROUTES
            if not route.has_free_slots
            for number in range(count)
        ]

    @classmethod
    def call(
        cls,
        route: TableRoute,
        name: str,
        hold: Point,
        *,
        is_blocker: bool = False,
    ) -> OpenCall:
        """Send a call whose target stops at a point.

        Those that take the slots come through the instance that goes on.
        """
        attempt = f'{name}.{route.name}'
        script = CallScript(hold)
        cls.fleet.stepped_targets.add_script(attempt, script)
        path = route.blocker_name if is_blocker else route.name
        key = 'k-blocker' if is_blocker else 'k-b'
        caller = RecordingCaller(cls.fleet.callers_port(int(is_blocker)))
        cls.addClassCleanup(caller.close)
        caller.send(
            f'POST /{path}/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Attempt-Id: {attempt}\r\nAuthorization: Bearer {key}\r\n'
            f'Content-Length: {len(BODY)}\r\n\r\n{BODY}'.encode()
        )
        return OpenCall(name, route, caller, script)

    def test_process_exits_by_itself(self) -> None:
        """It ends before it would be killed, and without an error."""
        self.assertEqual(0, self.exit_code)

    def test_waiting_call_is_refused_before_the_exit(self) -> None:
        """It has run nowhere, and the refusal says so."""
        never_run = [call for call in self.waiting if not call.script.runs]
        self.assertTrue(never_run)
        self.check_statuses(never_run, (503,))

    def test_call_without_a_head_gets_its_status_before_the_exit(self) -> None:
        """It may have run, and the status leaves that open.

        An answer that is no stream is passed on when it is whole, so that a
        part of it makes no difference.
        """
        plain = [c for c in self.begun if not c.route.kind.is_stream]
        self.check_statuses([*self.sent, *plain], (502, 504))

    def test_stream_that_ends_at_the_exit_does_not_look_complete(self) -> None:
        """It ends without its end chunk."""
        for call in self.begun:
            if call.route.kind.is_stream:
                self.assertEqual(0, call.caller.count_complete(), call.label)
                self.assertIsNotNone(call.caller.ended_s, call.label)

    def check_statuses(
        self, calls: list[OpenCall], expected: tuple[int, ...]
    ) -> None:
        """Check that each call has one whole answer with such a status."""
        failures = {}
        for call in calls:
            answers = call.caller.answers
            statuses = [a.status for a in answers if a.is_complete]
            if len(statuses) != 1 or statuses[0] not in expected:
                failures[call.label] = bytes(call.caller.received)
        self.assertEqual({}, failures)


def _wait_for_target(call: OpenCall, point: Point) -> None:
    if not call.script.get_reached(point).wait(STEP_TIMEOUT_S):
        raise TimeoutError(f'{call.label} has not reached its target')


def _wait_for_second_event(call: OpenCall) -> None:
    if not call.caller.wait_until(
        lambda: b'id: 2' in call.caller.received, STEP_TIMEOUT_S
    ):
        raise TimeoutError(f'{call.label} has not begun')


if __name__ == '__main__':
    unittest.main()
