"""A service that executes a request and drops the connection."""

import gevent.server
import gevent.socket

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
READ_BYTES = 65_536


class ResettingService:
    """Counts requests; answers the first ``answers`` of a connection.

    The next request of the connection is executed and gets no answer.

    :param answers: requests that a connection answers.
    """

    def __init__(self, answers: int) -> None:
        self._answers = answers
        self.executions = 0
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def port(self) -> int:
        """TCP port of the service."""
        port: int = self._server.server_port
        return port

    def close(self) -> None:
        """Stop the service."""
        self._server.stop()

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        for _ in range(self._answers):
            if not sock.recv(READ_BYTES):
                return
            self.executions += 1
            sock.sendall(ANSWER)
        if sock.recv(READ_BYTES):
            self.executions += 1
        sock.close()
