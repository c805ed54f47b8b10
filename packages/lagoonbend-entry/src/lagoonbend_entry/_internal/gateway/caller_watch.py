"""Detects that a caller disconnects while its request is served."""

import gevent
import gevent.socket

from lagoonbend.exceptions import CallerGoneError
from lagoonbend_entry._internal.utils.interrupt import Interrupt

READ_EVENT = 1
READ_BYTES = 65_536
MAX_READ_AHEAD_BYTES = 262_144
"""Bytes of further requests that are read while one is served."""


class CallerWatch:
    """Reads ahead on a caller's connection while a request is served.

    Used as a context manager in the greenlet that serves the request. When
    the caller closes the connection, ``CallerGoneError`` is raised in that
    greenlet at the point where it waits.

    :param sock: the caller's connection.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.read_ahead = bytearray()
        self.has_disconnected = False
        self._sock = sock
        self._interrupt = Interrupt()
        loop = gevent.get_hub().loop
        self._watcher = loop.io(sock.fileno(), READ_EVENT)

    def __enter__(self) -> 'CallerWatch':
        self._watcher.start(self._on_readable)
        return self

    def __exit__(self, *unused: object) -> None:
        self._interrupt.is_over = True
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self) -> None:
        try:
            data = self._sock._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b''
        if data:
            self.read_ahead += data
            if len(self.read_ahead) > MAX_READ_AHEAD_BYTES:
                self._watcher.stop()
            return
        self._watcher.stop()
        self.has_disconnected = True
        self._interrupt.throw(CallerGoneError('caller closed the connection'))
