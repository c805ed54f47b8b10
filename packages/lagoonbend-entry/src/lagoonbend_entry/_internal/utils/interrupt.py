"""Raises an error in a waiting greenlet."""

import gevent


class Interrupt:
    """Interrupts the greenlet that creates it.

    Set ``is_over`` when the interruptible work ends: the greenlet may then
    serve another request, in which the error must not be raised.
    """

    def __init__(self) -> None:
        self._worker = gevent.getcurrent()
        self.is_over = False

    def throw(self, error: Exception) -> None:
        """Raise ``error`` in the waiting greenlet, unless ``is_over``."""
        gevent.get_hub().loop.run_callback(self._deliver, error)

    def _deliver(self, error: Exception) -> None:
        if not self.is_over and not self._worker.dead:
            self._worker.throw(error)
