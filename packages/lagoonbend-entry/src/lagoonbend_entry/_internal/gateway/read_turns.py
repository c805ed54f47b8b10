"""Shares the processor between connections that always have data to read."""

import gevent

MAX_READY_READS = 4
"""Reads of one connection in a row that need not wait, 64 kB each; a sound
answer seldom has more at once."""


class ReadTurns:
    """Lets other greenlets run after several reads that didn't wait.

    A read of gevent's sockets switches to other greenlets only if no data is
    there. The event loop hasn't turned between two reads that didn't wait.
    """

    def __init__(self) -> None:
        self._count = 0
        self._loop_iteration = -1

    def begin_read(self) -> None:
        """Wait for a turn of the event loop if one is due."""
        iteration = gevent.get_hub().loop.iteration
        if iteration != self._loop_iteration:
            self._loop_iteration = iteration
            self._count = 0
        self._count += 1
        if self._count > MAX_READY_READS:
            self._count = 1
            gevent.sleep(0)
