"""A connection that carries one request."""

import gevent.socket
from geventhttpclient.connectionpool import ConnectionPool


class SecondUseError(Exception):
    """The client library asked for a second connection for one request."""


class SingleUsePool(ConnectionPool):
    """Hands out one connection, once.

    The client library repeats requests by itself when a connection breaks.
    One dispatch must be one request on the wire, so that the library gets
    no second connection, and a connection that may still carry an answer
    is never used again.

    :param ip: IP number of the target.
    :param port: TCP port of the target.
    :param connect_timeout_s: time to connect.
    :param network_timeout_s: greatest silence on the connection.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        *,
        connect_timeout_s: float,
        network_timeout_s: float,
    ) -> None:
        super().__init__(
            ip,
            port,
            ip,
            port,
            size=1,
            connection_timeout=connect_timeout_s,
            network_timeout=network_timeout_s,
        )
        self._connection: gevent.socket.socket | None = None
        self._used = False

    def connect(self) -> None:
        """Open the connection.

        :raises OSError: if the target can't be reached.
        """
        self._connection = self._create_socket()

    def get_socket(self) -> gevent.socket.socket:
        """Return the connection at the first call.

        :raises SecondUseError: at any later call.
        """
        if self._used or self._connection is None:
            raise SecondUseError
        self._used = True
        return self._connection

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Close the connection instead of keeping it."""
        self.release_socket(sock)

    def release_socket(self, sock: gevent.socket.socket) -> None:
        """Close the connection."""
        sock.close()

    def abort(self) -> None:
        """Close the connection whatever it carries."""
        if self._connection is not None:
            self._connection.close()
