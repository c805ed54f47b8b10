"""A TCP server that a test scripts."""

import gevent.server
import gevent.socket

READ_BYTES = 65_536


class RawServer:
    """Serves connections on a free port of loopback.

    A subclass says in ``serve`` what becomes of a connection.
    """

    def __init__(self) -> None:
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def port(self) -> int:
        """TCP port of the server."""
        port: int = self._server.server_port
        return port

    def close(self) -> None:
        """Stop the server."""
        self._server.stop()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        self.serve(sock)
