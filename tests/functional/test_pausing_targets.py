"""Targets that want a pause, under real instances.

Guards against requests that reach a target before the end of the pause which
it has asked for with 503 and ``Retry-After``, against callers that are held
meanwhile, and against a target that is left unused afterwards.
"""

import time
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call

CALL_COUNT = 8
"""Calls sent at once; one target runs four."""
BURST_COUNT = 14
"""Calls of which two have to go to each of four targets."""
WARM_UP_COUNT = 5
PAUSE_S = 3.0
CHANGE_SPREAD_S = 1.0
SILENCE_S = 0.5
MAX_REFUSAL_S = 1.0
"""Time for a refusal after the pause is known; the callers wait 2.5 s."""


class PausingTargetsTest(unittest.TestCase):
    """Each test starts a fleet of two instances and four targets."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(2, service_count=4)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.target = self.fleet.targets['desk-0']
        # A target whose times are known is chosen as often as the others.
        for _ in range(WARM_UP_COUNT):
            self.send_calls()
        self.target.arrivals.clear()

    def send_calls(
        self, count: int = CALL_COUNT, instance: int = 0
    ) -> list[Answer]:
        """Send calls at once; return their answers."""
        calls = [
            gevent.spawn(call, self.fleet, 'look-up', instance=instance)
            for _ in range(count)
        ]
        return [greenlet.get()[1] for greenlet in calls]

    def let_pause(self, *values: str) -> float:
        """Let the target ask for a pause; return when it last did.

        All targets are silent until each of them has got its calls, so that
        none is prevented by an earlier answer.
        """
        self.target.retry_after_values = list(values)
        silences = [
            gevent.spawn(target.silence, SILENCE_S)
            for target in self.fleet.targets.values()
        ]
        self.send_calls(BURST_COUNT)
        gevent.joinall(silences, raise_error=True)
        self.target.retry_after_values = []
        self.assertGreaterEqual(len(self.target.arrivals), len(values))
        self.assertTrue(all(item.pause_s for item in self.target.arrivals))
        return self.target.arrivals[-1].answered_s

    def leave_only_one(self) -> None:
        """Let all other targets of the service drain."""
        for name in ('desk-1', 'desk-2', 'desk-3'):
            self.fleet.register_target(name, 'desk', 'draining')
        gevent.sleep(CHANGE_SPREAD_S)

    def check_pause(self, begin_s: float) -> None:
        """Check that no request arrives until the end, and some do then."""
        before = len(self.target.arrivals)
        statuses = {answer.status for answer in self.send_calls()}
        self.assertEqual({200}, statuses)
        self.leave_only_one()
        while time.monotonic() < begin_s + PAUSE_S - SILENCE_S:
            statuses = {answer.status for answer in self.send_calls()}
            self.assertEqual({503}, statuses)
        self.assertEqual(before, len(self.target.arrivals))
        gevent.sleep(2 * SILENCE_S)
        self.send_calls()
        self.assertLess(before, len(self.target.arrivals))

    # Guards against requests in the pause, and against one without an end.
    def test_no_request_reaches_a_target_before_the_end(self) -> None:
        """The other targets serve all calls meanwhile."""
        self.check_pause(self.let_pause(str(PAUSE_S)))

    # Guards against a pause that a later answer shortens.
    def test_later_answer_does_not_shorten_the_pause(self) -> None:
        """The second answer asks for a tenth of a second."""
        self.check_pause(self.let_pause(str(PAUSE_S), '0.1'))

    # Guards against callers that are held until their deadline.
    def test_callers_are_told_at_once_if_all_targets_pause(self) -> None:
        """Those that wait for a slot are too; a target runs four at once."""
        self.leave_only_one()
        self.target.retry_after_values = [str(PAUSE_S)]
        silence = gevent.spawn(self.target.silence, SILENCE_S)
        begin_s = time.monotonic()
        answers = self.send_calls()
        self.assertLess(time.monotonic() - begin_s, SILENCE_S + MAX_REFUSAL_S)
        silence.join()
        arrival_count = len(self.target.arrivals)
        self.assertLessEqual(arrival_count, 4)
        answers.append(call(self.fleet, 'look-up')[1])
        left_s = self.target.arrivals[-1].pause_end_s - time.monotonic()
        for answer in answers:
            self.assertEqual(503, answer.status)
            self.assertIn(b'targets_paused', answer.body)
            retry_after_s = float(answer.headers['retry-after'])
            self.assertGreaterEqual(retry_after_s, left_s)
            self.assertLessEqual(retry_after_s, 1.5 * PAUSE_S)
        self.assertEqual(arrival_count, len(self.target.arrivals))

    # Guards against a pause that keeps instances away that were not asked.
    def test_other_instance_goes_on(self) -> None:
        """The target is the only one that is left."""
        self.let_pause(str(PAUSE_S))
        before = len(self.target.arrivals)
        self.leave_only_one()
        answers = self.send_calls(4, instance=1)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(before + 4, len(self.target.arrivals))


if __name__ == '__main__':
    unittest.main()
