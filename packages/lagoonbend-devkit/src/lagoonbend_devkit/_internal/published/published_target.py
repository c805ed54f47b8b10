"""Stand-in for a server of the platform: engine or plain service."""

from collections.abc import Callable
import struct
from typing import NamedTuple

import gevent
import gevent.socket

from lagoonbend_devkit._internal.published import published_server
from lagoonbend_entry.testing import IncomingRequest

STAMP = 'stamp'
MODEL_VERSION = '1'
FAULT_HEADER = 'x-fault'
EVENT_S = 0.005
SLOW_EVENT_S = 0.3
NO_LINGER = struct.pack('ii', 1, 0)


class TargetRun(NamedTuple):
    """An execution.

    :param target: identity of the target.
    :param attempt: identity of the caller's attempt.
    :param request: what the target got.
    """

    target: str
    attempt: str
    request: IncomingRequest


class PublishedTarget:
    """Runs what it gets, and misbehaves as ``X-Fault`` says.

    A fault that ends with ``@NAME`` strikes at the target of that name only.
    ``runs`` is shared by all targets of a fleet.

    :param name: identity in the store.
    :param runs: record of executions.
    :param event_count: events of a stream.
    """

    def __init__(
        self, name: str, runs: list[TargetRun], event_count: int = 5
    ) -> None:
        self.name = name
        self.is_open = True
        self.left_attempts: list[str] = []
        self._runs = runs
        self._event_count = event_count
        self._server = published_server.PublishedServer(self._serve)
        self.endpoint = self._server.endpoint

    def stop(self) -> None:
        """Stop serving; connections are dropped."""
        self._server.stop()

    def _serve(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        expected = request.header_map.get('expect-instance', self.name)
        version = request.header_map.get('expect-version', MODEL_VERSION)
        if expected != self.name or version != MODEL_VERSION:
            self._answer(request, sock, 421, b'', stamp='')
            return True
        fault, _, where = request.header_map.get(FAULT_HEADER, '').partition(
            '@'
        )
        if where not in ('', self.name):
            fault = ''
        if fault == 'turned-away':
            head = 'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0'
            sock.sendall(f'{head}\r\n\r\n'.encode())
            return True
        attempt = request.header_map.get('attempt-id', '')
        self._runs.append(TargetRun(self.name, attempt, request))
        if fault in FAULTS:
            return FAULTS[fault](self, request, sock)
        if 'stream/' in request.path:
            return self._stream(request, sock, self._event_count)
        self._answer(request, sock, 200, b'ran ' + request.body)
        return True

    def _stream(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        count: int,
        *,
        cut: bool = False,
    ) -> bool:
        first = int(request.header_map.get('last-event-id', '0')) + 1
        sock.sendall(
            self._head(request, 200, STAMP)
            + b'Content-Type: text/event-stream\r\n'
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        pause_s = EVENT_S
        if request.header_map.get(FAULT_HEADER) == 'slow':
            pause_s = SLOW_EVENT_S
        for number in range(first, count + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            try:
                sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            except OSError:
                self.left_attempts.append(request.header_map['attempt-id'])
                raise
            gevent.sleep(pause_s)
        if cut:
            sock.sendall(b'9\r\nid: 99\nda\r\n')
            return False
        sock.sendall(b'0\r\n\r\n')
        return True

    def _answer(
        self,
        request: IncomingRequest,
        sock: gevent.socket.socket,
        status: int,
        body: bytes,
        stamp: str = STAMP,
    ) -> None:
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        sock.sendall(self._head(request, status, stamp) + length + body)

    @staticmethod
    def _head(request: IncomingRequest, status: int, stamp: str) -> bytes:
        lines = [f'HTTP/1.1 {status} X']
        attempt = request.header_map.get('attempt-id')
        if attempt:
            lines.append(f'Attempt-Id: {attempt}')
        if stamp:
            lines.append(f'Server-Stamp: {stamp}')
        return ('\r\n'.join(lines) + '\r\n').encode()

    def _reset(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, NO_LINGER
        )
        return False

    def _stay_silent(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        if not sock.recv(1):
            self.left_attempts.append(request.header_map['attempt-id'])
        return False

    def _fail(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._answer(request, sock, 500, b'failed')
        return True

    def _send_unsigned(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._answer(request, sock, 200, b'unsigned', stamp='')
        return True

    def _send_noise(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        sock.sendall(b'\x00\x01 no answer at all\r\n\r\n')
        return False

    def _truncate(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = self._head(request, 200, STAMP)
        sock.sendall(head + b'Content-Length: 100\r\n\r\nhalf')
        return False

    def _answer_twice(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        self._answer(request, sock, 200, b'mine')
        self._answer(request, sock, 200, b'again')
        return True

    def _answer_other_first(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        sock.sendall(
            b'HTTP/1.1 200 X\r\nAttempt-Id: another\r\nServer-Stamp: x\r\n'
            b'Content-Length: 7\r\n\r\nforeign'
        )
        self._answer(request, sock, 200, b'mine')
        return True

    def _end_by_closing(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        head = self._head(request, 200, STAMP)
        sock.sendall(head + b'\r\nunframed')
        return False

    def _cut_stream(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        return self._stream(request, sock, 2, cut=True)


Fault = Callable[
    [PublishedTarget, IncomingRequest, gevent.socket.socket], bool
]
FAULTS: dict[str, Fault] = {
    'reset': PublishedTarget._reset,
    'silent': PublishedTarget._stay_silent,
    'error': PublishedTarget._fail,
    'unsigned': PublishedTarget._send_unsigned,
    'noise': PublishedTarget._send_noise,
    'truncated': PublishedTarget._truncate,
    'twice': PublishedTarget._answer_twice,
    'foreign': PublishedTarget._answer_other_first,
    'unframed': PublishedTarget._end_by_closing,
    'cut-stream': PublishedTarget._cut_stream,
}
