"""Errors of a target that is to go on with a stream.

Guards against callers that find the text of an error, or its head, within the
events of their stream, and against a stream that looks complete since the
target that was to go on with it has answered something else.
"""

import contextlib
import unittest

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.lib.raw_server import RawServer
from tests.lib.raw_server import READ_BYTES

TIMEOUT_S = 8.0
TEXT = b'no such stream'
EVENTS = b'id: 1\ndata: one\n\n', b'id: 2\ndata: two\n\n'
SIGNED = b'Server-Stamp: stamp\r\nAttempt-Id: %b\r\n'
ANSWERS = (
    (b'404 Not Found', b'text/plain', SIGNED),
    (b'410 Gone', b'text/plain', SIGNED),
    (b'400 Bad Request', b'application/json', SIGNED),
    (b'302 Found', b'text/plain', SIGNED),
    (b'200 OK', b'text/plain', SIGNED),
    (b'200 OK', b'', SIGNED),
    (b'500 Internal Server Error', b'text/plain', SIGNED),
    (
        b'500 Internal Server Error',
        b'text/event-stream',
        SIGNED,
    ),
    (b'503 Service Unavailable', b'text/plain', SIGNED),
    (
        b'503 Service Unavailable',
        b'text/plain',
        b'Not-Executed: 1\r\n',
    ),
    (b'200 OK', b'text/event-stream', b'Attempt-Id: %b\r\n'),
)


class BreakingTarget(RawServer):
    """Breaks each stream off, and answers the rest with something else.

    The identity of the attempt is the number of that answer. ``rests`` has
    those that were asked for a rest.
    """

    def __init__(self) -> None:
        self.rests: list[int] = []
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one request of a connection."""
        head = sock.recv(READ_BYTES).lower()
        attempt = head.partition(b'attempt-id: ')[2].split(b'\r\n')[0]
        if b'last-event-id' in head:
            self.rests.append(int(attempt))
            sock.sendall(self._write_error(attempt))
            sock.close()
            return
        chunks = b''.join(b'%x\r\n%b\r\n' % (len(e), e) for e in EVENTS)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            + SIGNED % attempt
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + chunks
        )
        gevent.sleep(0.05)
        sock.close()

    def _write_error(self, attempt: bytes) -> bytes:
        status, content_type, lines = ANSWERS[int(attempt)]
        if b'%b' in lines:
            lines = lines % attempt
        if content_type:
            lines += b'Content-Type: ' + content_type + b'\r\n'
        return b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
            status,
            lines,
            len(TEXT),
            TEXT,
        )


class ErrorsAmidAStreamTest(unittest.TestCase):
    """One instance and two targets, each of which breaks streams off."""

    def test_stream_holds_its_events_and_ends_broken(self) -> None:
        """Whatever the target answers that was to go on."""
        targets = [BreakingTarget(), BreakingTarget()]
        fleet = gateway_fleet.GatewayFleet(1, engine_count=0)
        with fleet:
            for number, target in enumerate(targets):
                self.addCleanup(target.close)
                fleet.register_endpoint(
                    f'chat-{number}', 'chat', f'127.0.0.1:{target.port}'
                )
            gevent.sleep(1.0)
            port = fleet.callers_port(0)
            greenlets = [
                gevent.spawn(self.receive, port, number)
                for number in range(len(ANSWERS))
            ]
            gevent.joinall(greenlets, raise_error=True)
        expected = b''.join(b'%x\r\n%b\r\n' % (len(e), e) for e in EVENTS)
        rests = {rest for target in targets for rest in target.rests}
        for number, greenlet in enumerate(greenlets):
            with self.subTest(answer=ANSWERS[number]):
                head, _, body = greenlet.value.partition(b'\r\n\r\n')
                self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)
                self.assertEqual(expected, body)
                self.assertIn(number, rests)

    def receive(self, port: int, number: int) -> bytes:
        """Return what a caller receives."""
        headers = gateway_fleet.build_call_headers(str(number))
        lines = ''.join(f'{key}: {headers[key]}\r\n' for key in headers)
        received = b''
        address = ('127.0.0.1', port)
        with gevent.socket.create_connection(address) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(
                f'POST /stream/x HTTP/1.1\r\n{lines}'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            with contextlib.suppress(ConnectionResetError):
                while data := sock.recv(READ_BYTES):
                    received += data
        return received
