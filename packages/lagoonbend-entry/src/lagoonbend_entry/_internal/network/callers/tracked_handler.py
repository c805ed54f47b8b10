"""WSGI server for callers that tracks its connections and requests."""

from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer
import gevent.socket

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.serving import event_stream
from lagoonbend_entry._internal.serving.call_reader import CONNECTED_MS_KEY
from lagoonbend_entry._internal.serving.call_reader import REQUEST_TARGET_KEY
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

SOCKET_KEY = 'lagoonbend.socket'
TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class TrackedHandler(WSGIHandler):
    """Records when its connection was accepted and counts its requests.

    Sockets have the server's ``silence_timeout_s`` as timeout, which closes
    the connections of idle callers and bounds the age of received data.
    """

    server: 'TrackedServer'

    def __init__(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        server: 'TrackedServer',
    ) -> None:
        sock.settimeout(server.silence_timeout_s)
        self.connected_ms = server.clock.now_ms()
        super().__init__(sock, address, server)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment, extended by data of the connection."""
        environ: dict[str, object] = super().get_environ()
        environ[CONNECTED_MS_KEY] = self.connected_ms
        environ[SOCKET_KEY] = self.socket
        environ[REQUEST_TARGET_KEY] = self.path
        return environ

    def handle_one_response(self) -> None:
        """Serve a request and count it as in flight meanwhile."""
        self.server.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.server.in_flight -= 1
        if self.server.is_draining:
            self.close_connection = True

    def finalize_headers(self) -> None:
        """Ask callers to close the connection while the instance drains."""
        super().finalize_headers()
        if self.server.is_draining:
            self.response_headers.append((b'Connection', b'close'))

    def log_request(self) -> None:
        """Do nothing: log events describe the request already."""

    def _log_error(
        self,
        t: type[BaseException],
        v: BaseException,
        tb: object,
    ) -> None:
        if issubclass(
            t, (event_stream.IncompleteStreamError, gevent.socket.timeout)
        ):
            return
        log_event(Event.HANDLER_FAILED, error=f'{t.__name__}: {v}')

    def _handle_client_error(self, ex: BaseException) -> tuple[str, bytes]:
        if isinstance(ex, gevent.socket.timeout):
            return ('408', TIMEOUT_RESPONSE)
        if not isinstance(ex, (ValueError, OSError)):
            log_event(Event.HANDLER_FAILED, error=type(ex).__name__)
            ex = ValueError(type(ex).__name__)
        answer: tuple[str, bytes] = super()._handle_client_error(ex)
        return answer


class TrackedServer(WSGIServer):
    """WSGI server that counts the requests in flight.

    :param listener: bound socket.
    :param application: WSGI application.
    :param clock: clock of the instance.
    :param silence_timeout_s: socket timeout of callers' connections.
    """

    handler_class = TrackedHandler

    def __init__(
        self,
        listener: gevent.socket.socket,
        application: object,
        *,
        clock: Clock,
        silence_timeout_s: float,
    ) -> None:
        self.clock = clock
        self.silence_timeout_s = silence_timeout_s
        self.in_flight = 0
        self.is_draining = False
        super().__init__(listener, application, log=None, error_log=_NullLog())


class _NullLog:
    """Discards the server's own log lines, as they may quote callers' data."""

    def write(self, text: str) -> None:
        """Discard ``text``."""

    def flush(self) -> None:
        """Do nothing."""
