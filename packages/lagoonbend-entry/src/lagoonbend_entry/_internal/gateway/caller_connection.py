"""One connection of a caller."""

from collections.abc import Callable
import contextlib
import select
import time

import gevent.socket

from lagoonbend.clock import Clock
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway.caller_gone import CallerWatch
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.request_parser import RequestParser

READ_BYTES = 65_536
LINGER_MS = 500
"""Time for which bytes of a rejected request are still read, so that its
answer isn't lost with a reset."""
BODY_GAP_MS = 5_000
"""Greatest silence inside a body."""
MILLISECONDS_PER_SECOND = 1000
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

Serve = Callable[[IncomingRequest, ReplyWriter], None]


class CallerConnection:
    """Reads requests from a connection and serves them in order.

    :param sock: the connection.
    :param clock: clock of the instance.
    :param find_bounds: returns the bounds in force.
    :param serve: answers a request.
    :param is_draining: returns True once the instance is to stop.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        clock: Clock,
        find_bounds: Callable[[], CallerBounds],
        serve: Serve,
        is_draining: Callable[[], bool],
    ) -> None:
        self.is_idle = True
        self._is_closed = False
        self._sock = sock
        self._clock = clock
        self._find_bounds = find_bounds
        self._serve = serve
        self._is_draining = is_draining

    def run(self) -> None:
        """Serve until the caller or the instance closes."""
        try:
            self._run()
        except OSError:
            pass
        finally:
            self._sock.close()

    def close_idle(self) -> None:
        """Close the connection if no request is read or served on it.

        Bytes that have arrived are a request to be served. What arrives
        after the close isn't passed on, so that its caller may repeat it.
        """
        if not self.is_idle or self._is_closed or self._has_unread_bytes():
            return
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent.socket.SHUT_RDWR)

    def _has_unread_bytes(self) -> bool:
        if self._sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _run(self) -> None:
        bounds = self._find_bounds()
        parser = RequestParser(self._clock, bounds)
        while True:
            if not self._read_request(parser, bounds):
                break
            if not parser.requests:
                self._reject(parser.problem_status)
                break
            if not self._answer(parser):
                break

    def _read_request(
        self, parser: RequestParser, bounds: CallerBounds
    ) -> bool:
        """Read until a request or a problem is there; False at the end."""
        head_end_s: float | None = None
        has_continued = False
        while not parser.requests and not parser.problem_status:
            self.is_idle = not parser.is_reading
            if parser.is_reading and not parser.is_head_complete:
                if head_end_s is None:
                    head_end_s = time.monotonic() + (
                        bounds.header_timeout_ms / MILLISECONDS_PER_SECOND
                    )
                timeout_s = head_end_s - time.monotonic()
            elif parser.is_reading:
                timeout_s = BODY_GAP_MS / MILLISECONDS_PER_SECOND
                if parser.wants_continue and not has_continued:
                    has_continued = True
                    self._sock.sendall(CONTINUE)
            else:
                timeout_s = bounds.idle_timeout_ms / MILLISECONDS_PER_SECOND
            if timeout_s <= 0:
                self._reject(408)
                return False
            self._sock.settimeout(timeout_s)
            try:
                data = self._sock.recv(READ_BYTES)
            except TimeoutError:
                if parser.is_reading:
                    self._reject(408)
                return False
            if not data or self._is_closed:
                return False
            parser.feed(data)
        self.is_idle = False
        return True

    def _answer(self, parser: RequestParser) -> bool:
        """Serve the next request; True if the connection goes on."""
        request = parser.requests.popleft()
        reply = ReplyWriter(
            self._sock,
            keeps_connection=request.keeps_connection,
            takes_chunks=request.takes_chunks,
            is_head=request.method == 'HEAD',
            may_keep=lambda: not self._is_draining(),
        )
        self._sock.settimeout(None)
        watch = CallerWatch(self._sock)
        with watch:
            self._serve(request, reply)
        if watch.is_gone or not reply.is_whole:
            return False
        if not reply.keeps_connection or self._is_draining():
            # The head of a stream may have gone before the drain began. A
            # request that follows is not read, so its caller may repeat it.
            self._linger()
            return False
        if watch.ahead:
            parser.feed(bytes(watch.ahead))
        return True

    def _reject(self, status: int) -> None:
        self._sock.settimeout(LINGER_MS / MILLISECONDS_PER_SECOND)
        reply = ReplyWriter(
            self._sock, keeps_connection=False, takes_chunks=True
        )
        reply.send_whole(status, b'', [('Retry-After', '1')], b'')
        self._linger()

    def _linger(self) -> None:
        """Read what the caller still sends, so that nothing is reset."""
        self._sock.shutdown(gevent.socket.SHUT_WR)
        end_s = time.monotonic() + LINGER_MS / MILLISECONDS_PER_SECOND
        while True:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return
            self._sock.settimeout(left_s)
            try:
                if not self._sock.recv(READ_BYTES):
                    return
            except TimeoutError:
                return
