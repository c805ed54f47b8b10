"""HTTP server on loopback, inside this process, for simulated servers."""

from collections.abc import Callable

import gevent.server
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry.testing import IncomingRequest
from lagoonbend_entry.testing import RequestParser

READ_SIZE_BYTES = 65_536
CALLER_BOUNDS = CallerBounds(65_536, 16_777_216, 10_000, 60_000)

RequestHandler = Callable[[IncomingRequest, gevent.socket.socket], bool]


class LoopbackServer:
    """Parses requests and passes them to a handler with the raw socket.

    :param handle_request: writes the answer to a request to the socket;
        returns False to close the connection.
    """

    def __init__(self, handle_request: RequestHandler) -> None:
        self._handle_request = handle_request
        self._clock = RuntimeClock()
        self._sockets: set[gevent.socket.socket] = set()
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve_connection
        )
        self._server.start()
        self.port: int = self._server.server_port

    @property
    def endpoint(self) -> str:
        """Address of the server, as ``ip:port``."""
        return f'127.0.0.1:{self.port}'

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(0)
        for sock in list(self._sockets):
            sock.close()

    def _serve_connection(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        self._sockets.add(sock)
        parser = RequestParser(self._clock, CALLER_BOUNDS)
        try:
            while True:
                data = sock.recv(READ_SIZE_BYTES)
                if not data:
                    return
                parser.feed(data)
                while parser.requests:
                    request = parser.requests.popleft()
                    if not self._handle_request(request, sock):
                        return
        except OSError:
            return
        finally:
            self._sockets.discard(sock)
            sock.close()
