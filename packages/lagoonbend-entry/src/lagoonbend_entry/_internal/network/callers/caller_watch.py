"""Detects that a caller has disconnected."""

import select

import gevent
import gevent.socket

from lagoonbend.exceptions import CallerGoneError
from lagoonbend_entry._internal.utils.interrupt import Interrupt

POLL_INTERVAL_S = 0.2


class CallerWatch:
    """Cancels the work for a caller that has closed its connection.

    Use it as a context manager in the greenlet that does the work. When the
    caller disconnects, CallerGoneError is raised in that greenlet, wherever
    it waits.

    :param sock: the caller's connection.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLRDHUP)
        self._interrupt = Interrupt()
        self._watcher: gevent.Greenlet | None = None

    def __enter__(self) -> 'CallerWatch':
        self._watcher = gevent.spawn(self._watch)
        return self

    def __exit__(self, *details: object) -> None:
        self._interrupt.is_over = True
        if self._watcher is not None:
            self._watcher.kill(block=False)

    def _watch(self) -> None:
        while not self._poll.poll(0):
            gevent.sleep(POLL_INTERVAL_S)
        self._interrupt.throw(
            CallerGoneError('the caller closed the connection')
        )
