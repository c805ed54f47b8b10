"""Writes an answer to a caller's connection."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import struct

import gevent.socket

from lagoonbend.exceptions import CallerGoneError
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.models import promises

STREAM_END = b'0\r\n\r\n'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CLEAN_CLOSE = struct.pack('ii', 0, 0)
"""Values of ``SO_LINGER``."""
MILLISECONDS_PER_SECOND = 1000


class ReplyWriter:
    """Writes one answer, either complete or as a stream of events.

    ``is_ending`` is True once all that is left is being written. ``sends`` has
    the attempts of the call to be answered; it stays empty for a request that
    isn't admitted.

    :param sock: the caller's connection.
    :param keeps_connection: True if the connection stays open afterwards.
    :param accepts_chunked: False for HTTP/1.0, which has no chunked encoding.
    :param is_head: True for a HEAD request, whose answer has no body.
    :param may_keep_connection: called when the head is written; returns False
        if the connection must be closed after this answer.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        *,
        keeps_connection: bool,
        accepts_chunked: bool,
        is_head: bool = False,
        may_keep_connection: Callable[[], bool] = lambda: True,
    ) -> None:
        self.keeps_connection = keeps_connection
        self._may_keep_connection = may_keep_connection
        self.has_begun = False
        self.is_ending = False
        self.is_complete = False
        self.sends = SendRecord()
        self._sock = sock
        self._accepts_chunked = accepts_chunked
        self._is_head = is_head

    def send_answer(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        *,
        may_repeat: bool = False,
    ) -> None:
        """Write a complete answer.

        :param may_repeat: True if the call may run more than once.
        :raises RuntimeError: if an answer has begun, or if the status promises
            that a call has not run which may have.
        """
        if self.has_begun:
            raise RuntimeError('an answer follows one that has begun')
        is_promise = promises.promises_not_run(status)
        if is_promise and not may_repeat and self.sends.may_have_run:
            raise RuntimeError(f'status {status} of a call that may have run')
        head = self._encode_head(
            status, reason, [*headers, ('Content-Length', str(len(body)))]
        )
        self.has_begun = True
        self.is_ending = True
        self._write(head if self._is_head else head + body)
        self.is_complete = True

    def begin_stream(
        self,
        status: int,
        reason: bytes,
        headers: Iterable[tuple[str, str]],
        event: bytes,
    ) -> None:
        """Write the head of a stream and its first event."""
        framing = [('Transfer-Encoding', 'chunked')]
        if not self._accepts_chunked:
            framing = []
            self.keeps_connection = False
            # A clean close is the end of the stream, so that any other end,
            # that of the process included, has to be a reset.
            self._set_linger(RESET_ON_CLOSE)
        head = self._encode_head(status, reason, [*headers, *framing])
        self.has_begun = True
        self._write(head + self._encode_chunk(event))

    def send_event(self, event: bytes) -> None:
        """Write one event of a stream."""
        self._write(self._encode_chunk(event))

    def end_stream(self) -> None:
        """Write the end of the stream."""
        self.is_ending = True
        if self._accepts_chunked:
            self._write(STREAM_END)
        else:
            self._set_linger(CLEAN_CLOSE)
        self.is_complete = True

    def _encode_chunk(self, event: bytes) -> bytes:
        if not self._accepts_chunked:
            return event
        return b'%x\r\n%b\r\n' % (len(event), event)

    def _encode_head(
        self, status: int, reason: bytes, headers: list[tuple[str, str]]
    ) -> bytes:
        if self.keeps_connection and not self._may_keep_connection():
            self.keeps_connection = False
        phrase = reason or get_reason_phrase(status)
        lines = [f'HTTP/1.1 {status} {phrase.decode("latin-1")}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if not self.keeps_connection:
            lines.append('Connection: close')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')

    def _set_linger(self, value: bytes) -> None:
        try:
            self._sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, value
            )
        except OSError as error:
            raise CallerGoneError(str(error)) from error

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError(str(error)) from error


def get_reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode('ascii')
    except ValueError:
        return b'Status'
