"""Notices a caller that leaves while its request is served."""

import gevent
import gevent.socket

from lagoonbend.exceptions import CallerGoneError
from lagoonbend_entry._internal.utils.interrupt import Interrupt

READ_EVENT = 1
READ_BYTES = 65_536
GREATEST_AHEAD_BYTES = 262_144
"""Bytes of further requests that are taken while one is served."""


class CallerWatch:
    """Reads ahead on a caller's connection while a request is served.

    Use as a context manager in the greenlet that serves the request; it
    gets ``CallerGoneError`` wherever it waits when the caller closes.

    :param sock: the caller's connection.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.ahead = bytearray()
        self.is_gone = False
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
            self.ahead += data
            if len(self.ahead) > GREATEST_AHEAD_BYTES:
                self._watcher.stop()
            return
        self._watcher.stop()
        self.is_gone = True
        self._interrupt.throw(CallerGoneError('the caller closed'))
