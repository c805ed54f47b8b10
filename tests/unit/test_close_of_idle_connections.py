"""Requests that arrive while the instance closes idle connections.

Such a request can be in the receive buffer, unread, or still on its way. The
tests guard against a request that is forwarded although its caller gets no
answer.
"""

import unittest

import gevent
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway import caller_connection
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter

REQUEST = b'GET /a/b HTTP/1.1\r\nHost: h\r\n\r\n'
BOUNDS = CallerBounds(8_192, 100_000, 1_000, 5_000)


class CloseOfIdleConnectionsTest(unittest.TestCase):
    """A request is either answered completely or not forwarded."""

    def setUp(self) -> None:
        """Open a connection that waits for its first request."""
        self.served: list[str] = []
        listener = gevent.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self.client = gevent.socket.create_connection(listener.getsockname())
        self.client.settimeout(2.0)
        server, _ = listener.accept()
        listener.close()
        self.connection = caller_connection.CallerConnection(
            server, RuntimeClock(), lambda: BOUNDS, self.serve, lambda: True
        )
        self.runner = gevent.spawn(self.connection.run)
        gevent.sleep(0.05)

    def tearDown(self) -> None:
        """Close the connection."""
        self.client.close()
        self.runner.kill()

    def serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        """Answer a request after a delay."""
        self.served.append(request.path)
        gevent.sleep(0.05)
        reply.send_answer(200, b'OK', [], b'whole')

    def test_request_that_has_arrived_is_answered(self) -> None:
        """A request that is unread at the close is served completely."""
        self.client.sendall(REQUEST)
        self.connection.close_idle()
        answer = b''
        while data := self.client.recv(4_096):
            answer += data
        self.assertEqual(['/a/b'], self.served)
        self.assertTrue(answer.endswith(b'whole'), answer)

    def test_request_that_crosses_the_close_is_not_passed_on(self) -> None:
        """A request sent after the close is not served."""
        self.connection.close_idle()
        self.client.sendall(REQUEST)
        gevent.sleep(0.1)
        self.assertEqual([], self.served)

    def test_idle_connection_is_closed(self) -> None:
        """A connection without a request is closed at once."""
        self.connection.close_idle()
        self.assertEqual(b'', self.client.recv(1))


if __name__ == '__main__':
    unittest.main()
