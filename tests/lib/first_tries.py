"""First tries of callers at the instances of a fleet, and their results."""

import random
import time
from typing import NamedTuple
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

ROUTES = ('stream', 'once-stream', 'booking', 'look-up')
DEADLINE_MS = 2_500
ANSWER_TIMEOUT_S = 8.0
MIN_JUDGED = 20


class FirstTry(NamedTuple):
    """A request and its result."""

    attempt: str
    instance: int
    route: str
    sent_s: float
    status: int


class FirstTries:
    """Sends requests of all routes to all instances.

    :param test: test case that judges the results.
    :param fleet: fleet to send them to.
    :param cut_instances: numbers of the instances whose links are cut.
    :param seed: seed of the order of requests.
    """

    def __init__(
        self,
        test: unittest.TestCase,
        fleet: gateway_fleet.GatewayFleet,
        cut_instances: tuple[int, ...],
        seed: int = 25,
    ) -> None:
        self._test = test
        self._fleet = fleet
        self._cut_instances = cut_instances
        self._rng = random.Random(seed)
        self._tries: list[FirstTry] = []

    def send(self) -> None:
        """Send a request of any route to any instance."""
        attempt = f'{self._rng.getrandbits(64):x}'
        instance = self._rng.randrange(len(self._fleet.processes))
        route = self._rng.choice(ROUTES)
        sent_s = time.monotonic()
        answer = exchange(
            self._fleet.callers_port(instance),
            'POST',
            f'/{route}/x',
            body=b'body',
            headers={
                **gateway_fleet.build_call_headers(attempt),
                'Deadline-Ms': str(DEADLINE_MS),
            },
            timeout_s=ANSWER_TIMEOUT_S,
        )
        self._tries.append(
            FirstTry(attempt, instance, route, sent_s, answer.status)
        )

    def send_for(self, span_s: float, interval_s: float) -> None:
        """Send requests for a time; wait for all answers."""
        end_s = time.monotonic() + span_s
        greenlets = []
        while time.monotonic() < end_s:
            greenlets.append(gevent.spawn(self.send))
            gevent.sleep(interval_s)
        gevent.joinall(greenlets, raise_error=True)

    def measure_share(
        self, start_s: float, *, cut: bool, end_s: float = float('inf')
    ) -> float:
        """Return the share of the requests that were served."""
        statuses = [
            item.status
            for item in self._tries
            if start_s <= item.sent_s < end_s
            and (item.instance in self._cut_instances) is cut
        ]
        self._test.assertGreaterEqual(len(statuses), MIN_JUDGED)
        return statuses.count(200) / len(statuses)

    def count_failed(self, start_s: float) -> tuple[int, int]:
        """Return how many fail at cut instances, and how many were sent."""
        judged = [item for item in self._tries if start_s <= item.sent_s]
        failed = [
            item
            for item in judged
            if item.instance in self._cut_instances and item.status != 200
        ]
        return len(failed), len(judged)

    def assert_run_once(self) -> None:
        """Check that no call which must not run twice has done so."""
        runs = [run.attempt for run in self._fleet.runs]
        for item in self._tries:
            if item.route in ('booking', 'once-stream'):
                self._test.assertLessEqual(runs.count(item.attempt), 1)
                if item.status in (429, 503):
                    self._test.assertEqual(0, runs.count(item.attempt))
