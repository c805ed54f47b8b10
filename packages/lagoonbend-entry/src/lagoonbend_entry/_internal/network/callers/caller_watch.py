"""Notices that a caller has left."""

import select

import gevent
import gevent.socket

from lagoonbend.exceptions import CallerGoneError
from lagoonbend_entry._internal.utils.interrupt import Interrupt

POLL_S = 0.2


class CallerWatch:
    """Ends the work for a caller that has closed its connection.

    Use it as a context manager in the greenlet that does the work; the
    greenlet gets a CallerGoneError wherever it waits.

    :param sock: connection of the caller.
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
            gevent.sleep(POLL_S)
        self._interrupt.throw(CallerGoneError('caller has left'))
