"""Service that executes a request and closes the connection unanswered."""

import gevent.socket

from tests.lib.raw_server import RawServer
from tests.lib.raw_server import READ_BYTES

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ResettingService(RawServer):
    """Answers the first ``answers`` requests of each connection.

    The next request of the connection is executed and gets no answer; the
    connection is closed. ``executions`` counts all requests that were run.

    :param answers: number of requests answered on each connection.
    """

    def __init__(self, answers: int) -> None:
        self._answers = answers
        self.executions = 0
        super().__init__()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one connection."""
        for _ in range(self._answers):
            if not sock.recv(READ_BYTES):
                return
            self.executions += 1
            sock.sendall(ANSWER)
        if sock.recv(READ_BYTES):
            self.executions += 1
        sock.close()
