"""A stand-in that serves connections on loopback inside this process."""

from collections.abc import Callable

import gevent.server
import gevent.socket

from lagoonbend.clock import RuntimeClock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry.testing import IncomingRequest
from lagoonbend_entry.testing import RequestParser

READ_BYTES = 65_536
BOUNDS = CallerBounds(65_536, 16_777_216, 10_000, 60_000)

Serve = Callable[[IncomingRequest, gevent.socket.socket], bool]


class PublishedServer:
    """Reads requests and hands them to ``serve`` with the raw connection.

    :param serve: answers a request; returns False to close the connection.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve_request = serve
        self._clock = RuntimeClock()
        self._sockets: set[gevent.socket.socket] = set()
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()
        self.port: int = self._server.server_port

    @property
    def endpoint(self) -> str:
        """IP number and port."""
        return f'127.0.0.1:{self.port}'

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._server.stop(0)
        for sock in list(self._sockets):
            sock.close()

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        self._sockets.add(sock)
        parser = RequestParser(self._clock, BOUNDS)
        try:
            while True:
                data = sock.recv(READ_BYTES)
                if not data:
                    return
                parser.feed(data)
                while parser.requests:
                    request = parser.requests.popleft()
                    if not self._serve_request(request, sock):
                        return
        except OSError:
            return
        finally:
            self._sockets.discard(sock)
            sock.close()
