"""Throws an error into a greenlet that waits."""

import gevent


class Interrupt:
    """Ends the work of the greenlet that creates it.

    Set ``is_over`` when the work ends: the greenlet may then serve another
    request, which must not get the error.
    """

    def __init__(self) -> None:
        self._worker = gevent.getcurrent()
        self.is_over = False

    def throw(self, error: Exception) -> None:
        """Throw ``error`` wherever the greenlet waits, if it still works."""
        gevent.get_hub().loop.run_callback(self._deliver, error)

    def _deliver(self, error: Exception) -> None:
        if not self.is_over and not self._worker.dead:
            self._worker.throw(error)
