"""Real instances through signals, outages of the store and bad input.

Guards against calls that are cut or lost when an instance stops or is killed,
against the use of revoked keys and of targets that are draining or replaced,
and against malformed requests that reach a target.
"""

import signal
import socket
import time
import unittest

import gevent
import gevent.socket

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.soak.fault_proxy import FaultProxy
from tests.functional.test_gateway_answers import call
from tests.lib.pausing_target import PausingTarget

KEY_REVOCATION_BOUND_S = 5.0
CHANGE_SPREAD_S = 2.0
SLOTS = 8
"""Slots of the two engines of a fleet."""
BROKEN_AFTER_S = 1.1
"""Later than a call may wait for its first slot, and before the end of a
stream of 1.5 s."""
LONG_PAUSE_S = 2.8
"""Pause within a stream that ends just before the timeout of its route."""


def send_raw(port: int, data: bytes, timeout_s: float = 3.0) -> bytes:
    """Send bytes on a new connection; return all bytes that come back."""
    with gevent.socket.create_connection(('127.0.0.1', port)) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(data)
        received = b''
        try:
            while data := sock.recv(65_536):
                received += data
        except OSError:
            pass
    return received


REQUEST_HEAD = (
    b'POST /%b/x HTTP/1.1\r\nHost: calls.example\r\n'
    b'Attempt-Id: %b\r\nAuthorization: Bearer k-first\r\n'
    b'%bContent-Length: 0\r\n\r\n'
)


def open_stream(
    fleet: gateway_fleet.GatewayFleet, instance: int = 0, headers: bytes = b''
) -> gevent.socket.socket:
    """Connect to an instance and request a stream that takes 1.5 s.

    :param headers: further lines of the head.
    """
    sock = gevent.socket.create_connection(
        ('127.0.0.1', fleet.callers_port(instance))
    )
    sock.settimeout(4.0)
    fault = b'X-Fault: slow\r\n'
    sock.sendall(REQUEST_HEAD % (b'stream', b'first', fault + headers))
    return sock


def read_to_end(sock: gevent.socket.socket) -> bytes:
    """Read until the connection ends, and close it."""
    received = b''
    try:
        while data := sock.recv(65_536):
            received += data
    finally:
        sock.close()
    return received


class GatewayLifecycleTest(unittest.TestCase):
    """Each test starts a fleet of its own."""

    def test_sigterm_cuts_no_request_in_flight(self) -> None:
        """Readiness ends first; calls in flight are still answered."""
        with gateway_fleet.GatewayFleet() as fleet:
            slow = gevent.spawn(
                call, fleet, 'booking', X_Fault='silent', Deadline_Ms='2000'
            )
            gevent.sleep(0.3)
            fleet.processes[0].send(signal.SIGTERM)
            fleet.wait_ready(0, ready=False)
            self.assertEqual(200, call(fleet, 'booking')[1].status)
            self.assertEqual(504, slow.get()[1].status)
            self.assertEqual(0, fleet.processes[0].wait(9.0))
            self.assertEqual(200, call(fleet, 'stream', instance=1)[1].status)

    # Guards against a request that an instance reads while it stops and then
    # drops with its connection.
    def test_request_after_a_stream_on_a_draining_instance_is_answered(
        self,
    ) -> None:
        """The head of the stream did not announce that the connection ends.

        The next answer does, and the connection ends after it.
        """
        with gateway_fleet.GatewayFleet() as fleet:
            sock = open_stream(fleet)
            received = sock.recv(65_536)
            self.assertNotIn(b'Connection: close', received)
            fleet.processes[0].send(signal.SIGTERM)
            while not received.endswith(b'0\r\n\r\n'):
                received += sock.recv(65_536)
            sock.sendall(REQUEST_HEAD % (b'booking', b'second', b''))
            answer = read_to_end(sock)
            self.assertEqual(b'200', answer[9:12])
            self.assertIn(b'Connection: close', answer)
            attempts = [run.attempt for run in fleet.runs]
            self.assertEqual(['first', 'second'], attempts)

    # Guards against a request that was read ahead while a stream ran and is
    # dropped when the stream ends on a stopping instance.
    def test_request_read_ahead_on_a_draining_instance_is_answered(
        self,
    ) -> None:
        """A pipelined request is answered after the stream before it."""
        with gateway_fleet.GatewayFleet() as fleet:
            sock = open_stream(fleet)
            received = sock.recv(65_536)
            sock.sendall(REQUEST_HEAD % (b'booking', b'second', b''))
            fleet.processes[0].send(signal.SIGTERM)
            received += read_to_end(sock)
            stream, _, answer = received.partition(b'0\r\n\r\n')
            self.assertIn(b'piece 5', stream)
            self.assertEqual(b'200', answer[9:12])

    # Guards against calls whose connections are cut when the grace time of a
    # stopping instance ends.
    def test_each_call_is_answered_before_the_instance_exits(self) -> None:
        """A waiting call has not run; one at a silent target may have."""
        with gateway_fleet.GatewayFleet(service_count=1) as fleet:
            path = fleet.root / 'instance-0.ini'
            settings = path.read_text(encoding='utf-8')
            path.write_text(settings + '[bounds]\ngrace_s = 3\n')
            fleet.processes[0].send(signal.SIGHUP)
            gevent.sleep(0.2)
            fleet.processes[0].send(signal.SIGTERM)
            gevent.sleep(0.3)
            calls = [
                gevent.spawn(
                    call,
                    fleet,
                    'booking',
                    X_Fault='silent',
                    Deadline_Ms='3000',
                )
                for _ in range(5)
            ]
            statuses = [greenlet.get()[1].status for greenlet in calls]
            self.assertEqual([502, 502, 502, 502, 503], sorted(statuses))
            self.assertEqual(4, len(fleet.runs))
            self.assertEqual(0, fleet.processes[0].wait(3.0))

    # Guards against streams that are cut although their rest can run as soon
    # as a slot is free.
    def test_broken_streams_wait_for_their_slots(self) -> None:
        """Their first part was in time; the wait for their rest begins anew.

        Both engines are full when the streams of one of them break.
        """
        with gateway_fleet.GatewayFleet(create_proxy=FaultProxy) as fleet:
            calls = [
                gevent.spawn(call, fleet, 'stream', X_Fault='slow')
                for _ in range(SLOTS)
            ]
            gevent.sleep(BROKEN_AFTER_S)
            self.assertEqual(SLOTS, len(fleet.runs))
            fleet.target_proxies['chat-0'].reset_all()
            statuses = [greenlet.get()[1].status for greenlet in calls]
            self.assertEqual([200] * SLOTS, statuses)

    # Guards against connections that a stopping instance never accepts, on
    # which callers wait until the process exits.
    def test_connection_to_a_draining_instance_is_refused(self) -> None:
        """A caller learns at once that it has to go elsewhere."""
        with gateway_fleet.GatewayFleet() as fleet:
            stream = open_stream(fleet)
            stream.recv(65_536)
            fleet.processes[0].send(signal.SIGTERM)
            gevent.sleep(1.0)
            waiting = gevent.spawn(
                call, fleet, 'booking', X_Fault='silent', Deadline_Ms='2500'
            )
            gevent.sleep(1.9)
            with self.assertRaises(ConnectionRefusedError):
                open_stream(fleet)
            self.assertEqual(504, waiting.get()[1].status)

    # Guards against a call that is begun on a stopping instance and cut at
    # the end of its grace time.
    def test_call_that_could_outlast_the_grace_time_is_refused(self) -> None:
        """It is refused at once, with the truth that it has not run."""
        target = PausingTarget(LONG_PAUSE_S, is_before_head=False)
        self.addCleanup(target.stop)
        with gateway_fleet.GatewayFleet(engine_count=0) as fleet:
            fleet.register_endpoint('chat-0', 'chat', target.endpoint)
            gevent.sleep(CHANGE_SPREAD_S)
            sock = open_stream(fleet)
            received = sock.recv(65_536)
            path = fleet.root / 'instance-0.ini'
            settings = path.read_text(encoding='utf-8')
            path.write_text(settings + '[bounds]\ngrace_s = 5\n')
            fleet.processes[0].send(signal.SIGHUP)
            gevent.sleep(0.1)
            fleet.processes[0].send(signal.SIGTERM)
            gevent.sleep(2.6)
            sock.sendall(REQUEST_HEAD % (b'booking', b'second', b''))
            received += read_to_end(sock)
            answer = received.partition(b'0\r\n\r\n')[2]
            self.assertEqual(b'503', answer[9:12])
            self.assertIn(b'Connection: close', answer)
            self.assertEqual([], fleet.runs)

    def test_killed_instance_that_decides_is_replaced(self) -> None:
        """The others still serve calls, and so does it after a restart."""
        with gateway_fleet.GatewayFleet(instance_count=3) as fleet:
            for number in range(3):
                fleet.processes[number].kill()
                for other in range(3):
                    if other != number:
                        _, answer = call(fleet, 'stream', instance=other)
                        self.assertEqual(200, answer.status)
                fleet.start_instance(number)
                fleet.wait_ready(number)
                _, answer = call(fleet, 'stream', instance=number)
                self.assertEqual(200, answer.status)

    def test_key_ends_everywhere_within_the_bound(self) -> None:
        """Revoked keys are refused, and no key outlasts a store outage.

        Without contact to the store an instance can't know that a key is still
        valid, so it refuses calls and reports not ready after the bound.
        """
        with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish_configuration(keys=('k-other',))
            gevent.sleep(0.5)
            self.assertEqual(401, call(fleet, 'booking')[1].status)
            _, answer = call(fleet, 'booking', key='k-other')
            self.assertEqual(200, answer.status)
            fleet.store.mode = 'busy'
            start_s = time.monotonic()
            while time.monotonic() - start_s < KEY_REVOCATION_BOUND_S:
                attempt, answer = call(fleet, 'booking', key='k-other')
                gevent.sleep(0.2)
            self.assertEqual(503, answer.status)
            self.assertFalse(fleet.is_ready(0))
            fleet.store.mode = 'ok'
            fleet.wait_ready(0)
            _, answer = call(fleet, 'booking', key='k-other')
            self.assertEqual(200, answer.status)

    def test_instance_cut_from_the_store_lives_on_its_peers(self) -> None:
        """The instance gets the facts and their age from its peers."""
        with gateway_fleet.GatewayFleet() as fleet:
            start_s = time.monotonic()
            fleet.store.rejected_agent = 'instance-0'
            while time.monotonic() - start_s < KEY_REVOCATION_BOUND_S:
                gevent.sleep(0.25)
                self.assertEqual(200, call(fleet, 'booking')[1].status)
            fleet.publish_configuration(keys=('k-new',))
            gevent.sleep(CHANGE_SPREAD_S)
            _, answer = call(fleet, 'booking')
            self.assertEqual(401, answer.status, answer.body)
            _, answer = call(fleet, 'booking', key='k-new')
            self.assertEqual(200, answer.status)

    def test_leaving_target_gets_no_new_work(self) -> None:
        """No call reaches a draining target once the change has spread."""
        with gateway_fleet.GatewayFleet() as fleet:
            fleet.register_target('desk-0', 'desk', 'draining')
            gevent.sleep(CHANGE_SPREAD_S)
            del fleet.runs[:]
            for _ in range(10):
                self.assertEqual(200, call(fleet, 'booking')[1].status)
            self.assertEqual({'desk-1'}, {run.target for run in fleet.runs})

    def test_reused_address_runs_nothing_for_another(self) -> None:
        """A call does not run at a server that reports another name."""
        with gateway_fleet.GatewayFleet(service_count=1) as fleet:
            fleet.targets['desk-0'].name = 'somebody-else'
            _, answer = call(fleet, 'booking')
            self.assertEqual(503, answer.status)
            self.assertEqual([], fleet.runs)

    def test_dropped_history_and_foreign_entries(self) -> None:
        """A listing replaces lost changes; unreadable entries are skipped."""
        with gateway_fleet.GatewayFleet() as fleet:
            fleet.store.put_bytes('servers/bad', b'\xff not json')
            fleet.store.put('servers/worse', {'service': 'desk', 'slots': 'x'})
            fleet.store.mode = 'gone'
            fleet.publish_configuration(keys=('k-late',))
            gevent.sleep(CHANGE_SPREAD_S)
            _, answer = call(fleet, 'booking', key='k-late')
            self.assertEqual(200, answer.status)

    def test_caller_that_leaves_ends_its_work(self) -> None:
        """The target sees its connection close within half a second."""
        with gateway_fleet.GatewayFleet() as fleet:
            sock = socket.create_connection(
                ('127.0.0.1', fleet.callers_port(0))
            )
            sock.sendall(
                b'GET /look-up/x HTTP/1.1\r\nHost: calls.example\r\n'
                b'Attempt-Id: leaver\r\nAuthorization: Bearer k-first\r\n'
                b'X-Fault: silent\r\n\r\n'
            )
            gevent.sleep(0.3)
            sock.close()
            gevent.sleep(0.5)
            left_attempts_by_target = [
                t.abandoned_attempts for t in fleet.targets.values()
            ]
            self.assertIn(['leaver'], left_attempts_by_target)

    def test_bad_input_gets_a_clear_error_and_reaches_no_target(self) -> None:
        """Malformed, ambiguous, oversized and slow requests are refused."""
        head = b'POST /booking/x HTTP/1.1\r\nHost: calls.example\r\n'
        cases = {
            b'no request at all\r\n\r\n': b'400',
            head + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd': (
                b'400'
            ),
            head
            + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'0\r\n\r\n': b'400',
            head + b'X: ' + b'y' * 9_000 + b'\r\n\r\n': b'431',
            head + b'Content-Length: 200000\r\n\r\n': b'413',
            head + b'X: slow': b'408',
            b'GET http://calls.example/ HTTP/1.1\r\nHost: a\r\n\r\n': b'400',
        }
        with gateway_fleet.GatewayFleet() as fleet:
            for data, status in cases.items():
                with self.subTest(data=data[:60], status=status):
                    answer = send_raw(fleet.callers_port(0), data)
                    self.assertEqual(status, answer[9:12])
            self.assertEqual([], fleet.runs)
            self.assertEqual(200, call(fleet, 'booking')[1].status)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Bytes that arrive while a request is served are kept."""
        request = (
            b'POST /booking/x HTTP/1.1\r\nHost: calls.example\r\n'
            b'Attempt-Id: p%d\r\nAuthorization: Bearer k-first\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n1\r\n%d\r\n0\r\n\r\n'
        )
        with gateway_fleet.GatewayFleet() as fleet:
            data = b''.join(request % (n, n) for n in range(4))
            answer = send_raw(fleet.callers_port(0), data, timeout_s=1.0)
            bodies = [answer.index(b'ran %d' % n) for n in range(4)]
            self.assertEqual(sorted(bodies), bodies)

    def test_metrics_are_served_as_text(self) -> None:
        """The metrics address serves counters and histograms."""
        with gateway_fleet.GatewayFleet() as fleet:
            call(fleet, 'booking')
            answer = exchange(fleet.metrics_port(0), 'GET', '/metrics')
            self.assertEqual(200, answer.status)
            self.assertIn(b'lagoonbend_calls_total', answer.body)


if __name__ == '__main__':
    unittest.main()
