"""Minimal HTTP server that answers one request per connection with text."""

from collections.abc import Callable
import http

import gevent.socket

MAX_HEAD_BYTES = 4_096
TIMEOUT_S = 2.0
"""Time limit of each read and write on a connection."""
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class TextServer:
    """Serves GET requests for one path: readiness or metrics.

    :param path: path to serve; other requests get status 404.
    :param answer: returns status and body.
    """

    def __init__(
        self, path: bytes, answer: Callable[[], tuple[int, bytes]]
    ) -> None:
        self._request_prefix = b'GET ' + path + b' '
        self._answer = answer

    def serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        """Answer one request and close the connection."""
        try:
            sock.settimeout(TIMEOUT_S)
            head = b''
            while b'\r\n\r\n' not in head and len(head) < MAX_HEAD_BYTES:
                data = sock.recv(MAX_HEAD_BYTES)
                if not data:
                    return
                head += data
            status, body = HTTP_NOT_FOUND, b''
            if head.startswith(self._request_prefix):
                status, body = self._answer()
            phrase = http.HTTPStatus(status).phrase
            sock.sendall(
                f'HTTP/1.1 {status} {phrase}\r\n'
                'Content-Type: text/plain; charset=utf-8\r\n'
                f'Content-Length: {len(body)}\r\n'
                'Connection: close\r\n\r\n'.encode()
                + body
            )
        except OSError:
            return
        finally:
            sock.close()
