"""Notices that a caller has left."""

import select

import gevent
import gevent.socket

from lagoonbend.exceptions import CallerGoneError

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
        self._worker = gevent.getcurrent()
        self._watcher: gevent.Greenlet | None = None

    def __enter__(self) -> 'CallerWatch':
        self._watcher = gevent.spawn(self._watch)
        return self

    def __exit__(self, *details: object) -> None:
        if self._watcher is not None:
            self._watcher.kill(block=False)

    def _watch(self) -> None:
        while not self._poll.poll(0):
            gevent.sleep(POLL_S)
        gevent.kill(self._worker, CallerGoneError('caller has left'))
