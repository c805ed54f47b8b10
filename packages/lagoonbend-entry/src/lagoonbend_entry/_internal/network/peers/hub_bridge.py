"""Runs functions in the gevent hub on behalf of native threads."""

import collections
from collections.abc import Callable

import gevent


class HubBridge:
    """Runs functions in the thread of the gevent hub.

    Create the bridge in that thread. The functions run in the greenlet of
    the hub itself and must not block.
    """

    def __init__(self) -> None:
        self._pending: collections.deque[Callable[[], None]]
        self._pending = collections.deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._run_pending)

    def post(self, function: Callable[[], None]) -> None:
        """Schedule ``function`` in the hub; callable from any thread."""
        self._pending.append(function)
        self._watcher.send()

    def _run_pending(self) -> None:
        while self._pending:
            self._pending.popleft()()
