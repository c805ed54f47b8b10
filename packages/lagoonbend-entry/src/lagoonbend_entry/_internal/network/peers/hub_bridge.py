"""Hands calls from native threads to the gevent hub."""

import collections
from collections.abc import Callable

import gevent


class HubBridge:
    """Runs functions in the thread of the gevent hub.

    Create it in that thread. The functions run in the hub's own greenlet
    and must not block.
    """

    def __init__(self) -> None:
        self._pending: collections.deque[Callable[[], None]]
        self._pending = collections.deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._run_pending)

    def post(self, function: Callable[[], None]) -> None:
        """Run ``function`` in the hub soon; callable from any thread."""
        self._pending.append(function)
        self._watcher.send()

    def _run_pending(self) -> None:
        while self._pending:
            self._pending.popleft()()
