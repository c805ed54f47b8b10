"""Answers one question a connection, with a short text."""

from collections.abc import Callable
import http

import gevent.socket

HEAD_BYTES = 4_096
TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class TextServer:
    """Serves one path; used for readiness and metrics.

    :param path: path of the question.
    :param answer: returns status and body.
    """

    def __init__(
        self, path: bytes, answer: Callable[[], tuple[int, bytes]]
    ) -> None:
        self._start = b'GET ' + path + b' '
        self._answer = answer

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
            status, body = HTTP_NOT_FOUND, b''
            if head.startswith(self._start):
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
