"""Minimal HTTP server that answers one request per connection with text."""

from collections.abc import Callable
import http

import gevent.socket
import httptools

MAX_HEAD_BYTES = 16_384
"""A question on a route names the blocks of a prompt in its URL."""
TIMEOUT_S = 2.0
"""Time limit of each read and write on a connection."""
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_URI_TOO_LONG = 414


class TextServer:
    """Serves GET requests for one path: readiness or metrics.

    ``answers_by_path`` has further paths, whose answers depend on the query.

    :param path: path to serve; other requests get status 404.
    :param answer: returns status and body.
    """

    def __init__(
        self, path: bytes, answer: Callable[[], tuple[int, bytes]]
    ) -> None:
        self._request_prefix = b'GET ' + path + b' '
        self._answer = answer
        self.answers_by_path: dict[
            bytes, Callable[[str], tuple[int, bytes]]
        ] = {}

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
            else:
                status, body = self._answer_query(head)
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

    def _answer_query(self, head: bytes) -> tuple[int, bytes]:
        """Answer a request whose query is of interest."""
        line, end, _ = head.partition(b'\r\n')
        method, _, rest = line.partition(b' ')
        if not end:
            return HTTP_URI_TOO_LONG, b''
        try:
            url = httptools.parse_url(rest.partition(b' ')[0])
        except httptools.HttpParserInvalidURLError:
            return HTTP_NOT_FOUND, b''
        answer = self.answers_by_path.get(url.path)
        if method != b'GET' or answer is None:
            return HTTP_NOT_FOUND, b''
        return answer((url.query or b'').decode('latin-1'))
