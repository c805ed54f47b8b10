"""Target that pauses while it answers and then goes on to the end."""

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest

EVENT_COUNT = 5
PAUSED_EVENT = 3
"""Event of a stream before which the target pauses."""


class PausingTarget:
    """Answers each request completely, with one pause on the way.

    ``attempts`` lists the attempts that it ran; ``finished`` those whose
    answer it has written to the end.

    :param pause_s: length of the pause.
    :param is_before_head: True to pause before the head, False in the body.
    """

    def __init__(self, pause_s: float, *, is_before_head: bool) -> None:
        self.attempts: list[str] = []
        self.finished: list[str] = []
        self._pause_s = pause_s
        self._is_before_head = is_before_head
        self._server = loopback_server.LoopbackServer(self._handle_request)
        self.endpoint = self._server.endpoint

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        attempt = request.header_map['attempt-id']
        self.attempts.append(attempt)
        if self._is_before_head:
            gevent.sleep(self._pause_s)
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
                gevent.sleep(self._pause_s)
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
