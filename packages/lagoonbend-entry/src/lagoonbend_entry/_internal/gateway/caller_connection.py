"""A connection of a caller."""

from collections.abc import Callable
import contextlib
import select
import time

import gevent.socket

from lagoonbend.clock import Clock
from lagoonbend.exceptions import CallerGoneError
from lagoonbend.facts import CallerBounds
from lagoonbend_entry._internal.gateway.caller_watch import CallerWatch
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.request_parser import RequestParser
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import log_failure
from lagoonbend_entry._internal.utils.loop_turns import LoopTurns

READ_BYTES = 65_536
LINGERING_CLOSE_MS = 500
"""Time for which input is read and discarded before the connection is closed.
Closing it with unread input would reset it, and the answer could be lost."""
BODY_IDLE_TIMEOUT_MS = 5_000
"""Maximum pause between two reads of a request body."""
MIN_READ_TIMEOUT_S = 0.01
"""Timeout of a read for bytes that have arrived already."""
MILLISECONDS_PER_SECOND = 1000
MAX_LOGGED_PATH = 80
"""Characters of a path that are logged."""
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

Serve = Callable[[IncomingRequest, ReplyWriter], None]


class CallerConnection:
    """Reads requests from a connection and serves them one after the other.

    :param sock: socket of the connection.
    :param clock: clock of the instance.
    :param get_bounds: returns the current bounds on callers.
    :param serve: answers a request.
    :param is_draining: returns True once the instance is shutting down.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        clock: Clock,
        get_bounds: Callable[[], CallerBounds],
        serve: Serve,
        is_draining: Callable[[], bool],
    ) -> None:
        self.is_idle = True
        self._is_closed = False
        self._unparsed_bytes = 0
        self._sock = sock
        self._turns = LoopTurns()
        self._clock = clock
        self._get_bounds = get_bounds
        self._serve = serve
        self._is_draining = is_draining

    def run(self) -> None:
        """Serve requests until the caller or the instance closes."""
        parser = RequestParser(self._clock, self._get_bounds())
        cause = ''
        try:
            cause = self._run(parser)
        except (OSError, CallerGoneError) as error:
            cause = f'{type(error).__name__}: {error}'
        except Exception as error:
            cause = f'{type(error).__name__}: {error}'
            log_failure('caller connection', error)
        finally:
            self._sock.close()
            self._report_dropped(parser, cause)

    def _report_dropped(self, parser: RequestParser, cause: str) -> None:
        """Log the requests that were read and will not be served."""
        if not parser.requests and not self._unparsed_bytes:
            return
        log_event(
            Event.REQUESTS_DROPPED,
            cause=cause,
            requests=[
                request.path[:MAX_LOGGED_PATH] for request in parser.requests
            ],
            unparsed_bytes=self._unparsed_bytes,
            draining=self._is_draining(),
        )

    def close_idle(self) -> None:
        """Close the connection if no request is being read or served on it.

        Unread bytes belong to a request that is still to be served. A
        request that arrives after the close isn't forwarded, so its caller
        may repeat it.
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

    def _run(self, parser: RequestParser) -> str:
        """Serve requests; return why the connection ends."""
        while True:
            if not self._read_request(parser):
                return 'no further request'
            if not parser.requests:
                self._reject(parser.error_status)
                return 'malformed request'
            self._turns.begin_item()
            end_cause = self._serve_next(parser)
            if end_cause:
                return end_cause

    def _read_request(self, parser: RequestParser) -> bool:
        """Read a request or detect an error; return False to close."""
        head_deadline_s: float | None = None
        has_sent_continue = False
        idle_since_s = time.monotonic()
        while not parser.requests and not parser.error_status:
            self.is_idle = not parser.is_reading
            bounds = self._get_bounds()
            if parser.is_reading and not parser.is_head_complete:
                if head_deadline_s is None:
                    head_deadline_s = time.monotonic() + (
                        bounds.header_timeout_ms / MILLISECONDS_PER_SECOND
                    )
                timeout_s = head_deadline_s - time.monotonic()
            elif parser.is_reading:
                timeout_s = BODY_IDLE_TIMEOUT_MS / MILLISECONDS_PER_SECOND
                if parser.wants_continue and not has_sent_continue:
                    has_sent_continue = True
                    self._sock.sendall(CONTINUE)
            else:
                timeout_s = self._find_idle_left_s(idle_since_s)
            if timeout_s <= 0 and parser.is_reading:
                self._reject(408)
                return False
            if timeout_s <= 0 and not self._has_unread_bytes():
                return False
            self._turns.begin_read()
            self._sock.settimeout(max(timeout_s, MIN_READ_TIMEOUT_S))
            try:
                data = self._sock.recv(READ_BYTES)
            except TimeoutError:
                if self.is_idle:
                    # The bound may have changed while the connection was idle.
                    continue
                self._reject(408)
                return False
            parser.bounds = self._get_bounds()
            if not data or self._is_closed:
                self._unparsed_bytes += len(data)
                return False
            parser.feed(data)
        self.is_idle = False
        return True

    def _find_idle_left_s(self, idle_since_s: float) -> float:
        """Return how much longer the connection may be idle."""
        idle_timeout_s = (
            self._get_bounds().idle_timeout_ms / MILLISECONDS_PER_SECOND
        )
        return idle_since_s + idle_timeout_s - time.monotonic()

    def _serve_next(self, parser: RequestParser) -> str:
        """Serve the next request; return why the connection ends, or none."""
        request = parser.requests.popleft()
        watch = CallerWatch(self._sock)
        reply = ReplyWriter(
            self._sock,
            keeps_connection=request.keeps_connection,
            accepts_chunked=request.accepts_chunked,
            is_head=request.method == 'HEAD',
            may_keep_connection=lambda: (
                not self._is_draining()
                or bool(parser.requests or watch.read_ahead)
                or parser.is_reading
            ),
        )
        self._sock.settimeout(None)
        with watch:
            self._serve(request, reply)
        self._unparsed_bytes = len(watch.read_ahead)
        if watch.has_disconnected:
            return 'caller left'
        if not reply.is_complete:
            return 'answer incomplete'
        if not reply.keeps_connection:
            self._lingering_close()
            return 'last answer sent'
        if watch.read_ahead:
            self._unparsed_bytes = 0
            parser.feed(bytes(watch.read_ahead))
        return ''

    def _reject(self, status: int) -> None:
        self._sock.settimeout(LINGERING_CLOSE_MS / MILLISECONDS_PER_SECOND)
        reply = ReplyWriter(
            self._sock, keeps_connection=False, accepts_chunked=True
        )
        reply.send_answer(status, b'', [('Retry-After', '1')], b'')
        self._lingering_close()

    def _lingering_close(self) -> None:
        """Read what the caller still sends, so that nothing is reset."""
        self._sock.shutdown(gevent.socket.SHUT_WR)
        end_s = time.monotonic() + LINGERING_CLOSE_MS / MILLISECONDS_PER_SECOND
        while True:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return
            self._turns.begin_read()
            self._sock.settimeout(left_s)
            try:
                data = self._sock.recv(READ_BYTES)
            except TimeoutError:
                return
            if not data:
                return
            self._unparsed_bytes += len(data)
