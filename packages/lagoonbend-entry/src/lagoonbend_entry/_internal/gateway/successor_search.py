"""Search for another target while the target of a call is silent."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import gevent

from lagoonbend_entry._internal.utils.guarded_loop import log_failure

RETRY_INTERVAL_S = 0.5
MAX_INTERVAL_S = 2.0
"""Range of the pause after a search without success, which doubles each time;
a silent target may answer again any time, so the next may not be needed."""


Found = TypeVar('Found')


class SuccessorSearch(Generic[Found]):
    """Looks for a target that accepts a call, in a greenlet of its own.

    A silent target may be about to go on. Therefore a call stays there until
    another one has accepted it, and the search ends if the target goes on.

    :param find: sends the call to another target; returns None if none
        accepts it.
    :param drop: ends what was found and is not used.
    """

    def __init__(
        self,
        find: Callable[[], Found | None],
        drop: Callable[[Found], None],
    ) -> None:
        self._find = find
        self._drop = drop
        self._found: Found | None = None
        self._interval_s = RETRY_INTERVAL_S
        self._greenlet: gevent.Greenlet | None = None

    @property
    def has_found(self) -> bool:
        """True if a successor has been found and not been taken."""
        return self._found is not None

    def start(self) -> None:
        """Begin the search unless it is under way."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)

    def take(self) -> Found | None:
        """Return the successor, which then belongs to the caller."""
        found, self._found = self._found, None
        if found is not None:
            self._greenlet = None
        return found

    def cancel(self) -> None:
        """End the search and drop a successor that was not taken."""
        greenlet, self._greenlet = self._greenlet, None
        found = self.take()
        if found is not None:
            self._drop(found)
        if greenlet is not None:
            greenlet.kill(block=False)

    def _run(self) -> None:
        while self._found is None:
            found = self._find_guarded()
            if found is None:
                gevent.sleep(self._interval_s)
                self._interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
            elif self._greenlet is gevent.getcurrent():
                self._found = found
            else:
                # The search was cancelled while the successor was found.
                self._drop(found)
                return

    def _find_guarded(self) -> Found | None:
        try:
            return self._find()
        except Exception as error:
            log_failure('successor search', error)
            return None
