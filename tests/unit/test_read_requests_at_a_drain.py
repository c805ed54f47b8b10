"""Requests that a connection has read when the instance begins to drain.

Guards against a request that was read, or lies unread, and is dropped when the
drain closes its connection. A request half read is one of them once its caller
has sent the rest.
"""

import unittest

import gevent
import gevent.event
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway import caller_watch
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter

BOUNDS = CallerBounds(8_192, 100_000, 1_000, 5_000)
READ_S = 0.05
"""Time in which the connection reads what has arrived."""
TIMEOUT_S = 5.0
STREAM_END = b'0\r\n\r\n'


def build_request(path: str, body: bytes = b'') -> bytes:
    """Return a request as bytes."""
    head = f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}'
    return f'{head}\r\n\r\n'.encode() + body


class ReadRequestsAtADrainTest(unittest.TestCase):
    """The answer to a request names its path.

    A request for ``/stream`` gets an event at once, and its end, or that of
    ``/slow``, follows on ``released``.
    """

    def setUp(self) -> None:
        """Open a connection that waits for its first request."""
        self.is_draining = False
        self.released = gevent.event.Event()
        listener = gevent.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self.client = gevent.socket.create_connection(listener.getsockname())
        self.client.settimeout(TIMEOUT_S)
        server, _ = listener.accept()
        listener.close()
        self.connection = caller_connection.CallerConnection(
            server,
            RuntimeClock(),
            lambda: BOUNDS,
            self.serve,
            lambda: self.is_draining,
        )
        self.runner = gevent.spawn(self.connection.run)
        gevent.sleep(READ_S)

    def tearDown(self) -> None:
        """Close the connection."""
        self.client.close()
        self.runner.kill()

    def serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        """Answer a request."""
        answer = f'answer to {request.path};'.encode()
        if request.path == '/stream':
            reply.begin_stream(200, b'OK', [], answer)
        if request.path in ('/stream', '/slow'):
            self.released.wait()
        if reply.has_begun:
            reply.end_stream()
        else:
            reply.send_answer(200, b'OK', [], answer)

    def drain(self) -> None:
        """Begin the drain, and close the connection if it is idle."""
        self.is_draining = True
        self.connection.close_idle()
        gevent.sleep(READ_S)

    def read_all(self) -> bytes:
        """Return all that comes until the connection ends."""
        received = b''
        try:
            while data := self.client.recv(65_536):
                received += data
        except OSError as error:
            received += repr(error).encode()
        return received

    def check_second(self) -> None:
        """Check that the second request gets its answer or a refusal."""
        received = self.read_all()
        statuses = received.count(b'HTTP/1.1 ')
        self.assertEqual(2, statuses, received)
        is_answered = b'answer to /second;' in received
        self.assertTrue(is_answered or b'HTTP/1.1 503 ' in received, received)

    def test_unread_request_is_answered(self) -> None:
        """A request in the receive buffer keeps its connection open."""
        self.client.sendall(build_request('/first'))
        self.drain()
        self.assertIn(b'answer to /first;', self.read_all())

    def test_half_read_head_is_answered(self) -> None:
        """A head that has begun keeps its connection open."""
        request = build_request('/first', b'body')
        self.client.sendall(request[:20])
        gevent.sleep(READ_S)
        self.drain()
        self.client.sendall(request[20:])
        self.assertIn(b'answer to /first;', self.read_all())

    def test_unread_half_of_a_head_is_answered(self) -> None:
        """The same for a part that lies unread."""
        request = build_request('/first', b'body')
        self.client.sendall(request[:20])
        self.drain()
        self.client.sendall(request[20:])
        self.assertIn(b'answer to /first;', self.read_all())

    def test_half_read_body_is_answered(self) -> None:
        """A body that has begun keeps its connection open."""
        request = build_request('/first', b'body')
        self.client.sendall(request[:-2])
        gevent.sleep(READ_S)
        self.drain()
        self.client.sendall(request[-2:])
        self.assertIn(b'answer to /first;', self.read_all())

    def test_request_half_read_behind_another_is_answered(self) -> None:
        """The connection isn't idle while the second request arrives."""
        second = build_request('/second', b'body')
        self.client.sendall(build_request('/first') + second[:20])
        gevent.sleep(READ_S)
        self.drain()
        self.client.sendall(second[20:])
        self.assertIn(b'answer to /second;', self.read_all())

    def test_answer_announces_the_close_to_requests_behind_it(self) -> None:
        """The caller of a request read ahead learns that it isn't served."""
        self.client.sendall(build_request('/slow') + build_request('/second'))
        gevent.sleep(READ_S)
        self.drain()
        self.released.set()
        received = self.read_all()
        self.assertIn(b'answer to /slow;', received)
        self.assertIn(b'Connection: close', received)

    def test_request_read_ahead_of_a_drain_is_answered(self) -> None:
        """It was sent while the stream before it went on.

        The head of the stream announced no close, and the caller's request
        arrived long before the end of the connection.
        """
        self.client.sendall(build_request('/stream'))
        gevent.sleep(READ_S)
        self.client.sendall(build_request('/second'))
        gevent.sleep(READ_S)
        self.drain()
        self.released.set()
        self.check_second()

    def test_request_parsed_with_a_stream_is_answered_at_a_drain(self) -> None:
        """Both requests arrived in one read, before the drain."""
        self.client.sendall(
            build_request('/stream') + build_request('/second')
        )
        gevent.sleep(READ_S)
        self.drain()
        self.released.set()
        self.check_second()

    def test_request_after_the_end_of_a_stream_is_answered(self) -> None:
        """The head of the stream announced no close; the next answer does."""
        self.client.sendall(build_request('/stream'))
        gevent.sleep(READ_S)
        self.drain()
        self.released.set()
        received = b''
        while not received.endswith(STREAM_END):
            received += self.client.recv(65_536)
        self.client.sendall(build_request('/second'))
        received = self.read_all()
        self.assertIn(b'answer to /second;', received)
        self.assertIn(b'Connection: close', received)

    def test_full_read_ahead_loses_no_request(self) -> None:
        """More requests than are read ahead are answered in order."""
        body = b'x' * 10_000
        count = 2 * caller_watch.MAX_READ_AHEAD_BYTES // len(body)
        paths = ['/slow', *(f'/{number}' for number in range(count))]
        sender = gevent.spawn(
            self.client.sendall,
            b''.join(build_request(path, body) for path in paths),
        )
        gevent.sleep(READ_S)
        self.released.set()
        received = b''
        while f'answer to {paths[-1]};'.encode() not in received:
            received += self.client.recv(65_536)
        sender.get()
        positions = [
            received.index(f'answer to {path};'.encode()) for path in paths
        ]
        self.assertEqual(sorted(positions), positions)


if __name__ == '__main__':
    unittest.main()
