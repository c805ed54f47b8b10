"""Targets that take each call through the points of its script."""

import gevent.socket

from lagoonbend_devkit._internal.gateway import loopback_server
from lagoonbend_entry.testing import IncomingRequest
from tests.lib.call_table.call_script import CallScript
from tests.lib.call_table.step import Point

EVENT_COUNT = 6
HOLD_AFTER_EVENT = 2
SILENT_AFTER_EVENT = 3
"""Later than the hold, so that the pause begins with the release."""
SERVER_STAMP = 'stamp'
FIRST_PART_BYTES = 4


class SteppedTargets:
    """A server that plays all targets; each call names the one it is for.

    The path of a stream contains ``stream``.
    """

    def __init__(self) -> None:
        self._scripts: dict[str, CallScript] = {}
        self._server = loopback_server.LoopbackServer(self._handle_request)
        self.endpoint = self._server.endpoint

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()

    def add_script(self, attempt: str, script: CallScript) -> CallScript:
        """Set what happens to the call of an attempt; return the script."""
        self._scripts[attempt] = script
        return script

    def _handle_request(
        self, request: IncomingRequest, sock: gevent.socket.socket
    ) -> bool:
        attempt = request.header_map['attempt-id']
        script = self._scripts[attempt]
        script.runs.append(request.header_map['expect-instance'])
        script.hold(Point.REQUEST)
        script.keep_silent(Point.REQUEST)
        try:
            if 'stream' in request.path:
                self._send_stream(request, script, sock)
            else:
                self._send_answer(request, script, sock)
        except OSError:
            script.is_abandoned = True
            raise
        return True

    def _send_stream(
        self,
        request: IncomingRequest,
        script: CallScript,
        sock: gevent.socket.socket,
    ) -> None:
        first_number = int(request.header_map.get('last-event-id', '0')) + 1
        sock.sendall(
            _build_head(request) + b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        script.hold(Point.HEAD)
        script.keep_silent(Point.HEAD)
        for number in range(first_number, EVENT_COUNT + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(event), event))
            if number == HOLD_AFTER_EVENT:
                script.hold(Point.MIDDLE)
            if number == max(first_number, SILENT_AFTER_EVENT):
                script.keep_silent(Point.MIDDLE)
        script.hold(Point.LAST)
        sock.sendall(b'0\r\n\r\n')

    def _send_answer(
        self,
        request: IncomingRequest,
        script: CallScript,
        sock: gevent.socket.socket,
    ) -> None:
        body = build_plain_answer(request.body)
        sock.sendall(
            _build_head(request)
            + f'Content-Length: {len(body)}\r\n\r\n'.encode()
        )
        script.hold(Point.HEAD)
        script.keep_silent(Point.HEAD)
        sock.sendall(body[:FIRST_PART_BYTES])
        script.hold(Point.MIDDLE)
        script.keep_silent(Point.MIDDLE)
        sock.sendall(body[FIRST_PART_BYTES:-1])
        script.hold(Point.LAST)
        sock.sendall(body[-1:])


def build_plain_answer(request_body: bytes) -> bytes:
    """Return the body with which a plain service answers."""
    return b'ran ' + request_body


def _build_head(request: IncomingRequest) -> bytes:
    attempt = request.header_map['attempt-id']
    return (
        f'HTTP/1.1 200 X\r\nAttempt-Id: {attempt}\r\n'
        f'Server-Stamp: {SERVER_STAMP}\r\n'
    ).encode()
