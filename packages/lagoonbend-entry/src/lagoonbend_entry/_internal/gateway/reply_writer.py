"""Writes one answer to a caller."""

from collections.abc import Callable
from collections.abc import Iterable
import http

import gevent.socket

from lagoonbend.exceptions import CallerGoneError

STREAM_END = b'0\r\n\r\n'
MILLISECONDS_PER_SECOND = 1000


class ReplyWriter:
    """Writes an answer to a caller's connection, once.

    :param sock: the caller's connection.
    :param keeps_connection: True if the connection goes on afterwards.
    :param takes_chunks: False for a caller of HTTP/1.0.
    :param is_head: True if the caller wants no body.
    :param may_keep: asked as the head is written; returns False if the
        connection must end after this answer.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        *,
        keeps_connection: bool,
        takes_chunks: bool,
        is_head: bool = False,
        may_keep: Callable[[], bool] = lambda: True,
    ) -> None:
        self.keeps_connection = keeps_connection
        self._may_keep = may_keep
        self.has_begun = False
        self.is_whole = False
        self._sock = sock
        self._takes_chunks = takes_chunks
        self._is_head = is_head

    def send_whole(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write a whole answer."""
        head = self._encode_head(
            status, reason, [*headers, ('Content-Length', str(len(body)))]
        )
        self.has_begun = True
        self._write(head if self._is_head else head + body)
        self.is_whole = True

    def begin_stream(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[tuple[str, str]],
        block: bytes,
    ) -> None:
        """Write the head of a stream and its first event."""
        framing = [('Transfer-Encoding', 'chunked')]
        if not self._takes_chunks:
            framing = []
            self.keeps_connection = False
        head = self._encode_head(status, reason, [*headers, *framing])
        self.has_begun = True
        self._write(head + self._encode_chunk(block))

    def send_block(self, block: bytes) -> None:
        """Write one event of a stream."""
        self._write(self._encode_chunk(block))

    def end_stream(self) -> None:
        """Mark the stream as whole."""
        if self._takes_chunks:
            self._write(STREAM_END)
        self.is_whole = True

    def _encode_chunk(self, block: bytes) -> bytes:
        if not self._takes_chunks:
            return block
        return b'%x\r\n%b\r\n' % (len(block), block)

    def _encode_head(
        self, status: int, reason: bytes, headers: list[tuple[str, str]]
    ) -> bytes:
        if self.keeps_connection and not self._may_keep():
            self.keeps_connection = False
        phrase = reason or find_phrase(status)
        lines = [f'HTTP/1.1 {status} {phrase.decode("latin-1")}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if not self.keeps_connection:
            lines.append('Connection: close')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError(str(error)) from error


def find_phrase(status: int) -> bytes:
    """Return the usual reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode('ascii')
    except ValueError:
        return b'Status'
