"""Bounds on callers that change while connections are open.

Guards against a connection that is closed, or a request that is rejected, by
the bounds that were in force when the connection was opened.
"""

import unittest

import gevent
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter

SHORT_IDLE_MS = 150
LONG_IDLE_MS = 5_000
SMALL_BODY_BYTES = 10
REQUEST = b'POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n'


class BoundsOfOpenConnectionsTest(unittest.TestCase):
    """The bounds change after the connection has been opened."""

    def setUp(self) -> None:
        """Open a connection under the first bounds."""
        self.bounds = CallerBounds(
            8_192, SMALL_BODY_BYTES, 1_000, SHORT_IDLE_MS
        )
        listener = gevent.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self.client = gevent.socket.create_connection(listener.getsockname())
        self.client.settimeout(2.0)
        server, _ = listener.accept()
        listener.close()
        connection = caller_connection.CallerConnection(
            server,
            RuntimeClock(),
            lambda: self.bounds,
            self.serve,
            lambda: False,
        )
        self.runner = gevent.spawn(connection.run)
        gevent.sleep(SHORT_IDLE_MS / 3_000)

    def tearDown(self) -> None:
        """Close the connection."""
        self.client.close()
        self.runner.kill()

    @staticmethod
    def serve(request: IncomingRequest, reply: ReplyWriter) -> None:
        """Answer a request."""
        reply.send_answer(200, b'OK', [], request.body)

    # Guards against a request on a connection whose longer idle time-out was
    # in force and not applied.
    def test_longer_idle_time_holds_for_open_connections(self) -> None:
        """A request later than the first idle time-out is answered."""
        self.bounds = CallerBounds(8_192, 100, 1_000, LONG_IDLE_MS)
        gevent.sleep(2 * SHORT_IDLE_MS / 1_000)
        self.client.sendall(REQUEST + b'x' * 20)
        self.assertEqual(b'200', self.client.recv(4_096)[9:12])

    # Guards against 413 for a body that the configuration in force allows.
    def test_larger_body_is_allowed_on_open_connections(self) -> None:
        """The bound in force when the request arrives decides."""
        self.bounds = self.bounds._replace(body_bytes=100)
        self.client.sendall(REQUEST + b'x' * 20)
        self.assertEqual(b'200', self.client.recv(4_096)[9:12])

    def test_idle_connection_is_closed_by_the_bound_in_force(self) -> None:
        """No request arrives within the idle time-out."""
        self.assertEqual(b'', self.client.recv(1))


if __name__ == '__main__':
    unittest.main()
