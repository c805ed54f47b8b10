"""Requests that end each server which runs them, and come again.

Guards against servers that end one after the other, because a request without
a prompt goes on to the next one, and against sound requests of the same caller
that are refused since they were at servers that ended.
"""

import random
import time
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

INSTANCE_COUNT = 3
SERVER_COUNT = 3
PATH = '/look-up/item?q=crash'
SOUND_PATHS = ('/look-up/item?q=1', '/look-up/item?q=2', '/booking/item?q=1')
STABLE_WINDOW_S = 3.0
"""Bound ``stable-window-ms`` of the users."""
CRASH_COUNT = 3
MAX_LATE_RETRIES = 3
"""Retries that may arrive at servers later than the window after the third one
has ended."""
REPEAT_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.1
CALM_S = 4.0
TROUBLE_S = 24.0
"""Long enough for some trials of the request."""
MIN_SOUND_SHARE = 0.5
DEADLINE_MS = 2_500
REQUEST_BLOCKED = b'{"reason":"request_blocked"}'


class CrashingRequestsTest(unittest.TestCase):
    """Three instances and three servers that run look-ups and bookings."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, engine_count=1, service_count=SERVER_COUNT
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.rng = random.Random(25)
        self.sound_answers: list[tuple[float, int]] = []
        self.callers: list[gevent.Greenlet] = []
        self.addCleanup(lambda: gevent.killall(self.callers))

    def send(self, path: str, instance: int, body: bytes = b'') -> bytes:
        """Send one request; return the body of its answer."""
        sent_s = time.monotonic()
        headers = gateway_fleet.build_call_headers(
            f'{self.rng.getrandbits(64):x}'
        )
        answer = exchange(
            self.fleet.callers_port(instance),
            'POST',
            path,
            body=body,
            headers={**headers, 'Deadline-Ms': str(DEADLINE_MS)},
            timeout_s=8.0,
        )
        if path != PATH:
            self.sound_answers.append((sent_s, answer.status))
        return answer.body

    def send_regularly(
        self, paths: tuple[str, ...], interval_s: float, end_s: float
    ) -> None:
        """Send requests to any instance; none waits for an answer."""
        while time.monotonic() < end_s:
            self.callers.append(
                gevent.spawn(
                    self.send,
                    self.rng.choice(paths),
                    self.rng.randrange(INSTANCE_COUNT),
                )
            )
            gevent.sleep(interval_s)

    def list_late_arrivals(self) -> list[float]:
        """Return when the request reached servers after the window."""
        self.assertGreaterEqual(len(self.fleet.crashes), CRASH_COUNT)
        end_s = self.fleet.crashes[CRASH_COUNT - 1].at_s + STABLE_WINDOW_S
        return [
            run.started_s
            for run in self.fleet.runs
            if run.started_s > end_s and run.request.path == PATH
        ]

    def measure_sound_share(self, start_s: float, end_s: float) -> float:
        """Return the share of the sound requests of a period with success."""
        statuses = [
            status
            for sent_s, status in self.sound_answers
            if start_s <= sent_s < end_s
        ]
        return statuses.count(200) / len(statuses)

    # Guards against the fault of incident inc1 of issue 25: servers that end
    # one after the other, for as long as one request comes again.
    def test_request_stops_and_sound_ones_go_on(self) -> None:
        """They are of one caller, and run at the same servers."""
        start_s = time.monotonic()
        end_s = start_s + CALM_S + TROUBLE_S
        sound = gevent.spawn(
            self.send_regularly, SOUND_PATHS, SOUND_INTERVAL_S, end_s
        )
        gevent.sleep(CALM_S)
        self.fleet.set_crashing_path(PATH)
        self.send_regularly((PATH,), REPEAT_INTERVAL_S, end_s)
        sound.join()
        gevent.joinall(self.callers)
        self.assertLessEqual(len(self.list_late_arrivals()), MAX_LATE_RETRIES)
        third_s = self.fleet.crashes[CRASH_COUNT - 1].at_s
        before = self.measure_sound_share(start_s, start_s + CALM_S)
        after = self.measure_sound_share(third_s + 2 * STABLE_WINDOW_S, end_s)
        self.assertGreaterEqual(after, MIN_SOUND_SHARE * before)

    def block_request(self) -> None:
        """Let servers end until each instance refuses the request."""
        self.fleet.set_crashing_path(PATH)
        with gevent.Timeout(TROUBLE_S):
            while any(
                self.send(PATH, instance) != REQUEST_BLOCKED
                for instance in range(INSTANCE_COUNT)
            ):
                gevent.sleep(REPEAT_INTERVAL_S)

    # Guards against an instance that has started since, and ends further
    # servers because it has seen none end.
    def test_instance_that_starts_afresh_knows_the_request(self) -> None:
        """It asks the others once it reaches them."""
        self.block_request()
        crash_count = len(self.fleet.crashes)
        self.fleet.processes[0].kill()
        self.fleet.start_instance(0)
        self.fleet.wait_ready(0)
        gevent.sleep(STABLE_WINDOW_S)
        self.assertEqual(REQUEST_BLOCKED, self.send(PATH, 0))
        self.assertEqual(crash_count, len(self.fleet.crashes))

    # Guards against a refusal of requests that have only the path in common
    # with the one that ends servers.
    def test_request_with_another_body_is_served(self) -> None:
        """The stand-ins end for the path alone, which is reset before."""
        self.block_request()
        self.fleet.set_crashing_path('')
        gevent.sleep(STABLE_WINDOW_S)
        self.assertEqual(REQUEST_BLOCKED, self.send(PATH, 0))
        self.assertEqual(b'ran other', self.send(PATH, 0, b'other'))
