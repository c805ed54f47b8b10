"""Requests that reach a stopping instance late in its grace time.

Guards against requests that are taken and passed on although the process exits
before their answers, which then have none: on connections that were opened
before the stop, with bodies that end late, handed over by a peer, or at a
process that stands still for a second.
"""

import itertools
import signal
import unittest

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from tests.functional.test_gateway_answers import call

STOPPED = 0
OTHER = 1
GRACE_S = 5
LATEST_S = 4.9
INTERVAL_S = 0.1
STANDSTILL_S = 1.0
TIMEOUT_MS = 10_000
"""Timeout of all routes. The time of a call begins with its head."""
PROMISES = (408, 421, 429, 503)
ROUTES = ('booking', 'once-stream', 'look-up', 'stream')
FAULTS = ('', 'pause')
"""A request is answered at once, or after a silence of 1.2 s."""
HEAD = (
    b'POST /%b/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: %b\r\n'
    b'Authorization: Bearer k-first\r\nX-Fault: %b\r\n'
    b'Content-Length: 4\r\n\r\nbo'
)
BODY_END = b'dy'


class LateRequest:
    """A request whose body ends some time after the stop.

    :param fleet: fleet whose first instance is stopped.
    :param number: number of the request, which determines its kind.
    """

    def __init__(self, fleet: gateway_fleet.GatewayFleet, number: int) -> None:
        self.name = f'late-{number}'
        self.received = b''
        route = ROUTES[number % len(ROUTES)]
        fault = FAULTS[number // len(ROUTES) % len(FAULTS)]
        self._sock = gevent.socket.create_connection(
            ('127.0.0.1', fleet.callers_port(STOPPED))
        )
        self._sock.settimeout(2 * GRACE_S)
        self._sock.sendall(
            HEAD % (route.encode(), self.name.encode(), fault.encode())
        )

    def finish(self, delay_s: float) -> None:
        """Send the rest of the body after a time, and read to the end."""
        gevent.sleep(delay_s)
        try:
            self._sock.sendall(BODY_END)
            while data := self._sock.recv(65_536):
                self.received += data
        except OSError:
            pass
        finally:
            self._sock.close()

    @property
    def status(self) -> int:
        """Status of the answer; 0 if none has come."""
        head = self.received.split(b' ', 2)
        return int(head[1]) if len(head) > 2 else 0

    @property
    def is_whole(self) -> bool:
        """True if the answer is complete."""
        head, _, body = self.received.partition(b'\r\n\r\n')
        if b'chunked' in head:
            return body.endswith(b'0\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        return bool(length) and len(body) == int(length.split(b'\r\n')[0])


class LateRequestsTest(unittest.TestCase):
    """Two instances, of which the first one is stopped."""

    def setUp(self) -> None:
        """Start a fleet whose grace time is short."""
        self.fleet = gateway_fleet.GatewayFleet(
            engine_count=4, service_count=4, can_cut=True, grace_s=GRACE_S
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.publish_configuration(timeout_ms=TIMEOUT_MS)
        gevent.sleep(0.5)

    def play(self) -> list[LateRequest]:
        """Stop the instance, with a request in each tenth of a second."""
        count = int(LATEST_S / INTERVAL_S)
        requests = [LateRequest(self.fleet, n) for n in range(count)]
        gevent.sleep(0.2)
        process = self.fleet.processes[STOPPED]
        process.send(signal.SIGTERM)
        greenlets = [
            gevent.spawn(request.finish, number * INTERVAL_S)
            for number, request in enumerate(requests, 1)
        ]
        kill = gevent.spawn_later(GRACE_S, process.kill)
        gevent.joinall(greenlets, raise_error=True)
        kill.join()
        return requests

    def assert_answered(self, requests: list[LateRequest]) -> None:
        """Check that those that ran have whole answers, which are true."""
        runs = [run.attempt for run in self.fleet.runs]
        ran = [request for request in requests if request.name in runs]
        self.assertTrue(ran)
        for request in ran:
            with self.subTest(request.name, received=request.received[:80]):
                self.assertTrue(request.is_whole)
                self.assertNotIn(request.status, PROMISES)
        for request in requests:
            with self.subTest(request.name, received=request.received[:80]):
                if request.received:
                    self.assertTrue(request.is_whole)

    def test_requests_whose_bodies_end_late_are_answered(self) -> None:
        """Or refused, or closed unread."""
        self.assert_answered(self.play())

    def test_process_that_stands_still_answers_what_it_sent(self) -> None:
        """It goes on half a second before the end of its grace time."""
        process = self.fleet.processes[STOPPED]
        go_on_s = 0.2 + GRACE_S - 0.5
        for delay_s, number in (
            (go_on_s - STANDSTILL_S, signal.SIGSTOP),
            (go_on_s, signal.SIGCONT),
        ):
            gevent.spawn_later(delay_s, process.send, number)
        self.assert_answered(self.play())

    def test_requests_on_a_busy_connection_are_answered(self) -> None:
        """The next one is sent as soon as the one before is answered."""
        results: list[tuple[str, int]] = []

        def send_until_refused() -> None:
            for _ in itertools.count():
                attempt, answer = call(self.fleet, 'booking', instance=STOPPED)
                results.append((attempt, answer.status))
                if answer.status != 200:
                    return

        greenlets = [gevent.spawn(send_until_refused) for _ in range(4)]
        gevent.sleep(0.2)
        self.assert_answered(self.play())
        gevent.joinall(greenlets, raise_error=True)
        runs = [run.attempt for run in self.fleet.runs]
        false = [r for r in results if r[0] in runs and r[1] != 200]
        self.assertEqual([], false)

    def test_calls_of_a_peer_that_does_not_know_are_answered(self) -> None:
        """None that ran is refused as not run, or cut."""
        self.fleet.cut_links(OTHER, CutKind.REFUSE)
        gevent.sleep(0.1)
        for route in ('look-up', 'stream'):
            call(self.fleet, route, instance=OTHER)
        gevent.sleep(1.5)
        results: list[tuple[str, int]] = []

        def send_one(number: int) -> None:
            attempt, answer = call(
                self.fleet, ROUTES[number % len(ROUTES)], instance=OTHER
            )
            results.append((attempt, answer.status))

        greenlets = [
            gevent.spawn_later(number * INTERVAL_S / 2, send_one, number)
            for number in range(2 * int(LATEST_S / INTERVAL_S))
        ]
        self.assert_answered(self.play())
        gevent.joinall(greenlets, raise_error=True)
        runs = [run.attempt for run in self.fleet.runs]
        false = [r for r in results if r[0] in runs and r[1] != 200]
        self.assertEqual([], false)


if __name__ == '__main__':
    unittest.main()
