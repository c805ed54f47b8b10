"""Targets of which the first to get a call sends bytes without end."""

import dataclasses

import gevent
import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest

SOUND_BODY = b'id: 1\ndata: whole\n\n'


@dataclasses.dataclass(frozen=True)
class EndlessBytes:
    """Bytes that a target sends.

    :param head: sent first, with ``ATTEMPT`` for the attempt of the call.
    :param piece: sent again and again until the caller closes.
    :param pause_s: pause after each piece.
    """

    head: bytes
    piece: bytes
    pause_s: float = 0.0


class EndlessTargets:
    """Targets that share what they send; a call that comes again is answered.

    :param count: number of targets.
    :param endless: bytes for a call that comes for the first time.
    :param repeats: True to send them each time.
    """

    def __init__(
        self, count: int, endless: EndlessBytes, *, repeats: bool = False
    ) -> None:
        self.attempts: list[str] = []
        self.active_count = 0
        self.max_active_count = 0
        self._endless = endless
        self._repeats = repeats
        self._servers = [
            loopback_server.LoopbackServer(self._handle_request)
            for _ in range(count)
        ]
        self.endpoints = [server.endpoint for server in self._servers]

    def stop(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            server.stop()

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        attempt = request.header_map['attempt-id']
        self.attempts.append(attempt)
        if not self._repeats and self.attempts.count(attempt) > 1:
            self._answer(request, attempt, sock)
            return True
        self.active_count += 1
        self.max_active_count = max(self.max_active_count, self.active_count)
        try:
            sock.sendall(
                self._endless.head.replace(b'ATTEMPT', attempt.encode())
            )
            while True:
                sock.sendall(self._endless.piece)
                gevent.sleep(self._endless.pause_s)
        finally:
            self.active_count -= 1

    def _answer(
        self,
        request: IncomingRequest,
        attempt: str,
        sock: gevent.socket.socket,
    ) -> None:
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n'
            f'Server-Stamp: stamp\r\nContent-Length: {len(SOUND_BODY)}\r\n'
        )
        if 'stream/' in request.path:
            head += 'Content-Type: text/event-stream\r\n'
        sock.sendall(head.encode() + b'\r\n' + SOUND_BODY)
