"""Tells the balancer whether the instance takes connections."""

from collections.abc import Callable

import gevent.socket

HEAD_BYTES = 4_096
TIMEOUT_S = 2.0
READY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
NOT_READY = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
NOT_FOUND = (
    b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
)


class ReadinessServer:
    """Answers one question a connection.

    :param path: path of the question.
    :param is_ready: returns the readiness.
    """

    def __init__(self, path: bytes, is_ready: Callable[[], bool]) -> None:
        self._start = b'GET ' + path + b' '
        self._is_ready = is_ready

    def serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        """Answer and close."""
        try:
            sock.settimeout(TIMEOUT_S)
            head = b''
            while b'\r\n\r\n' not in head and len(head) < HEAD_BYTES:
                data = sock.recv(HEAD_BYTES)
                if not data:
                    return
                head += data
            if not head.startswith(self._start):
                sock.sendall(NOT_FOUND)
                return
            sock.sendall(READY if self._is_ready() else NOT_READY)
        except OSError:
            return
        finally:
            sock.close()
