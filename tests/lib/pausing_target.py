"""Target that pauses while it answers and then goes on to the end."""

from collections.abc import Callable

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest

REJECTION = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
EVENT_COUNT = 5
PAUSED_EVENT = 3
"""Event of a stream before which the target pauses."""


class PausingTarget:
    """Answers each request completely, with one pause on the way.

    ``attempts`` lists the attempts that it ran; ``finished`` those whose
    answer it has written to the end.

    :param pause_s: length of the pause.
    :param is_before_head: True to pause before the head, False in the body.
    :param is_rejected: called with an attempt; returns True to reject it as
        if the target were full.
    """

    def __init__(
        self,
        pause_s: float,
        *,
        is_before_head: bool,
        is_rejected: Callable[[str], bool] = lambda attempt: False,
    ) -> None:
        self._is_rejected = is_rejected
        self.rejected: list[str] = []
        self.attempts: list[str] = []
        self.finished: list[str] = []
        self._pause_s = pause_s
        self._is_before_head = is_before_head
        self._server = loopback_server.LoopbackServer(self._handle_request)
        self.endpoint = self._server.endpoint

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    def find_pause_s(self) -> float:
        """Return the length of the pause in the next answer."""
        return self._pause_s

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        attempt = request.header_map['attempt-id']
        if self._is_rejected(attempt):
            self.rejected.append(attempt)
            sock.sendall(REJECTION)
            return True
        self.attempts.append(attempt)
        pause_s = self.find_pause_s()
        if self._is_before_head:
            gevent.sleep(pause_s)
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
            'Server-Stamp: stamp\r\n'
        )
        if 'stream/' in request.path:
            head += 'Content-Type: text/event-stream\r\n'
        head += 'Transfer-Encoding: chunked\r\n\r\n'
        sock.sendall(head.encode())
        first = int(request.header_map.get('last-event-id', '0')) + 1
        for number in range(first, EVENT_COUNT + 1):
            if number == PAUSED_EVENT and not self._is_before_head:
                gevent.sleep(pause_s)
            event = b'id: %d\ndata: piece %d\n\n' % (number, number)
            sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
        sock.sendall(b'0\r\n\r\n')
        self.finished.append(attempt)
        return True


def build_whole_body() -> bytes:
    """Return the body of a whole answer."""
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(1, EVENT_COUNT + 1)
    )
