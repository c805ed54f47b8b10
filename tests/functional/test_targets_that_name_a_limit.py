"""Targets that name the requests a second which they take from all instances.

Guards against targets in need that get more than that, since each instance
keeps to the limit alone or none of them does, and against callers who are held
or refused although other targets have room.
"""

import random
import time
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.functional.test_gateway_answers import call

INSTANCE_COUNT = 3
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
"""The users' rule LIMIT: time from the first answer with a limit, length of a
window, and what may arrive in it beyond the limit."""
CALL_INTERVAL_S = 0.025
LIMIT_PER_S = 4.0
LOAD_S = 8.5
MAX_REFUSAL_S = 1.5
"""Time for a refusal; the objective of the route is 0.3 s."""


class TargetsThatNameALimitTest(unittest.TestCase):
    """Three instances and two servers, under 40 calls a second."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(INSTANCE_COUNT)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.rng = random.Random(22)
        self.answers: list[tuple[float, Answer]] = []

    def send(self) -> None:
        """Send a call to any instance."""
        sent_s = time.monotonic()
        instance = self.rng.randrange(INSTANCE_COUNT)
        _, answer = call(self.fleet, 'look-up', instance=instance)
        self.answers.append((time.monotonic() - sent_s, answer))

    def send_regularly(self, span_s: float) -> None:
        """Send calls for a while, and wait for their answers."""
        self.answers.clear()
        end_s = time.monotonic() + span_s
        calls = []
        while time.monotonic() < end_s:
            calls.append(gevent.spawn(self.send))
            gevent.sleep(CALL_INTERVAL_S)
        gevent.joinall(calls, raise_error=True)

    def find_largest_window(self, name: str, start_s: float) -> int:
        """Return the most requests that arrived at a target in a window."""
        times_s = [
            arrival.at_s
            for arrival in self.fleet.targets[name].arrivals
            if arrival.at_s >= start_s
        ]
        return max(
            (
                sum(at_s <= other_s < at_s + WINDOW_S for other_s in times_s)
                for at_s in times_s
            ),
            default=0,
        )

    def name_limits(self, *names: str) -> float:
        """Let targets name a limit; return when the rule begins to hold."""
        for name in names:
            self.fleet.targets[name].named_limit = str(LIMIT_PER_S)
        return time.monotonic() + STABLE_WINDOW_S

    def check_limit(self, name: str, start_s: float) -> None:
        """Check the rule at a target, and that the target isn't unused."""
        allowed = EXCESS_RATIO * LIMIT_PER_S * WINDOW_S + EXCESS_REQUESTS
        count = self.find_largest_window(name, start_s)
        self.assertLessEqual(count, allowed)
        self.assertGreater(count, 0)

    # Guards against the fault of incident second1: a target that gets as many
    # requests as before.
    def test_limited_target_gets_no_more_than_that(self) -> None:
        """The other one serves all other calls."""
        self.send_regularly(1.0)
        start_s = self.name_limits('desk-0')
        self.send_regularly(LOAD_S)
        self.check_limit('desk-0', start_s)
        statuses = [answer.status for _, answer in self.answers]
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))

    # Guards against callers who are held until their deadline, or told to
    # come back at once, when all targets are limited.
    def test_callers_are_told_soon_if_all_targets_are_limited(self) -> None:
        """Those that are not refused are served within the limits."""
        self.send_regularly(1.0)
        start_s = self.name_limits('desk-0', 'desk-1')
        self.send_regularly(LOAD_S)
        for name in ('desk-0', 'desk-1'):
            self.check_limit(name, start_s)
        for duration_s, answer in self.answers:
            self.assertIn(answer.status, (200, 503))
            if answer.status == 503:
                self.assertLess(duration_s, MAX_REFUSAL_S)
                self.assertGreater(float(answer.headers['retry-after']), 0)

    # Guards against a limit that outlives the target's need.
    def test_limit_ends_with_the_answers_that_name_it(self) -> None:
        """The target serves all calls once it is the only one."""
        self.fleet.register_target('desk-1', 'desk', 'draining')
        self.name_limits('desk-0')
        self.send_regularly(3.0)
        self.fleet.targets['desk-0'].named_limit = ''
        self.send_regularly(2.0)
        self.send_regularly(WINDOW_S)
        statuses = [answer.status for _, answer in self.answers]
        self.assertGreater(statuses.count(200), 0.95 * len(statuses))
