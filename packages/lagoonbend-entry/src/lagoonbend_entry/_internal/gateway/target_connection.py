"""A connection to a target or to the platform's store."""

from collections.abc import Iterable
from collections.abc import Iterator
import os
import select
import time

import gevent.select
import gevent.socket

from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser
from lagoonbend_entry._internal.gateway.target_error import BadAnswerError
from lagoonbend_entry._internal.gateway.target_error import ConnectionLostError
from lagoonbend_entry._internal.gateway.target_error import NotConnectedError
from lagoonbend_entry._internal.gateway.target_error import TargetAbsentError
from lagoonbend_entry._internal.gateway.target_error import TargetTimeoutError
from lagoonbend_entry._internal.gateway.tcp_socket import open_tcp_socket
from lagoonbend_entry._internal.utils.loop_turns import LoopTurns

READ_BYTES = 65_536
MAX_UNWATCHED_SEND_BYTES = 16_384
"""Larger requests are sent while watching for an answer that arrives early."""
MILLISECONDS_PER_SECOND = 1000


class TargetConnection:
    """Sends requests one at a time and reads their answers.

    :param sock: connected socket.
    :param address: IP address and port; the context of errors.
    """

    def __init__(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        self.address = address
        self.idle_since_ms = 0
        self.request_count = 0
        self.received_bytes = 0
        self._sock = sock
        self._parser = AnswerParser()
        self._turns = LoopTurns()
        self._is_request_sent = True
        self._is_connection_ended = False

    @classmethod
    def connect(
        cls, address: tuple[str, int], timeout_ms: int
    ) -> 'TargetConnection':
        """Open a connection.

        :raises TargetAbsentError: if the connection is refused.
        :raises NotConnectedError: if it fails or takes too long.
        """
        try:
            sock = open_tcp_socket(address, timeout_ms)
        except ConnectionRefusedError as error:
            raise TargetAbsentError(
                'connection refused', context='{}:{}'.format(*address)
            ) from error
        except OSError as error:
            raise NotConnectedError(
                str(error) or type(error).__name__,
                context='{}:{}'.format(*address),
            ) from error
        return cls(sock, address)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    @property
    def is_reusable(self) -> bool:
        """True if another request can be sent.

        Earlier requests are sent and answered, with nothing left to read.
        """
        return (
            self._is_request_sent
            and not self._is_connection_ended
            and not self._parser.is_malformed
            and not self._parser.answers
        )

    def is_quiet(self) -> bool:
        """Return True if the target has neither sent bytes nor closed."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def send(self, data: bytes, timeout_ms: int) -> None:
        """Send a request; stop early if an answer arrives before its end.

        :raises ConnectionLostError: if the connection breaks.
        """
        self.request_count += 1
        self._sock.settimeout(timeout_ms / MILLISECONDS_PER_SECOND)
        try:
            if len(data) <= MAX_UNWATCHED_SEND_BYTES:
                self._sock.sendall(data)
            else:
                self._send_watched(data, timeout_ms)
        except OSError as error:
            if _is_own_timeout(error):
                raise self._make_timeout_error(
                    'target did not read the request in time'
                ) from error
            raise self._make_lost_error(str(error)) from error

    def read_head(self, timeout_ms: int) -> Answer:
        """Return the next final answer as soon as its head is complete.

        :raises TargetTimeoutError: if it doesn't arrive in time.
        :raises ConnectionLostError: if the connection ends.
        :raises BadAnswerError: if the bytes are no HTTP answer.
        """
        end_s = time.monotonic() + timeout_ms / MILLISECONDS_PER_SECOND
        while True:
            answers = self._parser.answers
            if answers and answers[0].is_head_complete:
                if not answers[0].is_interim:
                    return answers[0]
                answers.popleft()
                continue
            self._receive(end_s - time.monotonic())

    def read_body(self, answer: Answer, gap_ms: int) -> Iterator[bytes]:
        """Yield what has arrived of the body, chunks of one read together.

        :param gap_ms: maximum pause between two chunks.
        :raises NetworkError: if the body is cut short.
        """
        while True:
            while answer.chunks:
                data = b''.join(answer.chunks)
                answer.chunks.clear()
                yield data
            end_s = time.monotonic() + gap_ms / MILLISECONDS_PER_SECOND
            while not answer.chunks and not answer.is_complete:
                self._receive(end_s - time.monotonic())
            if not answer.chunks:
                break
        self._remove_first(answer)

    def discard_body(
        self, answer: Answer, max_bytes: int, timeout_ms: int
    ) -> None:
        """Read a body that nobody needs, to use the connection again.

        :param max_bytes: limit on the bytes received meanwhile.
        :param timeout_ms: limit on the whole time.
        :raises NetworkError: if the body doesn't end within these limits.
        """
        end_bytes = self.received_bytes + max_bytes
        end_s = time.monotonic() + timeout_ms / MILLISECONDS_PER_SECOND
        while not answer.is_complete:
            answer.chunks.clear()
            if self.received_bytes > end_bytes:
                raise BadAnswerError(
                    'unneeded body too large', context=self._context
                )
            self._receive(end_s - time.monotonic())
        answer.chunks.clear()
        self._remove_first(answer)

    def _remove_first(self, answer: Answer) -> None:
        if self._parser.answers and self._parser.answers[0] is answer:
            self._parser.answers.popleft()

    def _receive(self, timeout_s: float) -> None:
        if self._parser.is_malformed:
            error = self._parser.error
            raise BadAnswerError(
                f'malformed HTTP answer{": " if error else ""}{error}',
                context=self._context,
            )
        if self._is_connection_ended:
            raise self._make_lost_error('connection closed by the target')
        if timeout_s <= 0:
            raise self._make_timeout_error('timed out waiting for the answer')
        self._turns.begin_read()
        self._sock.settimeout(timeout_s)
        try:
            data = self._sock.recv(READ_BYTES)
        except OSError as error:
            if _is_own_timeout(error):
                raise self._make_timeout_error(
                    'timed out waiting for the answer'
                ) from error
            self._is_connection_ended = True
            raise self._make_lost_error(str(error)) from error
        if data:
            self.received_bytes += len(data)
            self._parser.feed(data)
            return
        self._is_connection_ended = True
        reset = self._find_reset()
        if reset:
            raise self._make_lost_error(reset)
        self._parser.on_connection_closed(
            was_request_sent=self._is_request_sent
        )

    def _find_reset(self) -> str:
        """Return the error of a reset behind the end of the data, if any.

        The system reports an end of data that was read before a reset as
        such; a target that ends may cause both.
        """
        try:
            number = self._sock.getsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_ERROR
            )
        except OSError as error:
            return str(error)
        return os.strerror(number) if number else ''

    def _send_watched(self, data: bytes, timeout_ms: int) -> None:
        """Send; stop if an answer arrives before the request is sent."""
        view = memoryview(data)
        end_s = time.monotonic() + timeout_ms / MILLISECONDS_PER_SECOND
        raw = self._sock
        raw.settimeout(0)
        while view:
            left_s = end_s - time.monotonic()
            readable, writable, _ = gevent.select.select(
                [raw], [raw], [], max(0.0, left_s)
            )
            if readable:
                self._is_request_sent = False
                return
            if not writable:
                raise TimeoutError('target did not read the request in time')
            try:
                view = view[raw.send(view) :]
            except BlockingIOError:
                continue

    @property
    def _context(self) -> str:
        return '{}:{}'.format(*self.address)

    def _make_timeout_error(self, message: str) -> TargetTimeoutError:
        return TargetTimeoutError(message, context=self._context)

    def _make_lost_error(self, message: str) -> ConnectionLostError:
        return ConnectionLostError(message, context=self._context)


def _is_own_timeout(error: OSError) -> bool:
    """Return True if the wait ended; False if the connection did.

    A connection that the system gives up, since no packet is acknowledged,
    raises the same type of error with an error number.
    """
    return isinstance(error, TimeoutError) and error.errno is None


def encode_request(
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Encode a request whose body has a Content-Length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in headers)
    if body or method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines) + '\r\n\r\n'
    return head.encode('latin-1') + body
