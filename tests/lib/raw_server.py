"""TCP server base class for stand-in targets."""

import gevent.server
import gevent.socket

READ_BYTES = 65_536


class RawServer:
    """Accepts connections on a free loopback port.

    A subclass implements ``serve`` to handle one connection.
    """

    def __init__(self) -> None:
        self._server = gevent.server.StreamServer(
            ('127.0.0.1', 0), self._serve
        )
        self._server.start()

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        port: int = self._server.server_port
        return port

    def close(self) -> None:
        """Stop listening and close the server."""
        self._server.stop()

    def serve(self, sock: gevent.socket.socket) -> None:
        """Handle one accepted connection."""
        raise NotImplementedError

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        self.serve(sock)
