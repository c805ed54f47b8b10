"""Shares the event loop between greenlets that always have data to handle."""

import time

import gevent

MAX_READY_READS = 4
"""Reads in a row that need not wait, 64 kB each; a sound answer seldom has
more at once."""
MAX_HELD_S = 0.005
"""Time without a turn of the event loop; Python lets other threads run as
often."""
TURN_S = 1e-6
"""Sleep that lets the event loop turn. One of 0 s doesn't: gevent runs up to
50 greenlets that sleep so before it looks at sockets and timers again."""


class LoopTurns:
    """Lets other greenlets run while one always has data to handle.

    gevent's sockets switch to other greenlets only if a call would block. A
    loop that reads what is there already, handles items of one read, or writes
    to a caller who keeps up doesn't let the event loop turn by itself.
    """

    def __init__(self) -> None:
        self._loop = gevent.get_hub().loop
        self._read_count = 0
        self._iteration = -1
        self._turned_s = 0.0

    def begin_read(self) -> None:
        """Wait for a turn of the event loop before a read, if one is due."""
        if self._loop.iteration != self._iteration:
            self._record_turn()
        self._read_count += 1
        if self._read_count > MAX_READY_READS:
            self._wait()
            self._read_count = 1
        else:
            self.begin_item()

    def begin_item(self) -> None:
        """Wait for a turn before an item of a read is handled, if due."""
        if time.monotonic() - self._turned_s < MAX_HELD_S:
            return
        if self._loop.iteration == self._iteration:
            self._wait()
        else:
            self._record_turn()

    def _wait(self) -> None:
        gevent.sleep(TURN_S)
        self._record_turn()

    def _record_turn(self) -> None:
        self._iteration = self._loop.iteration
        self._turned_s = time.monotonic()
        self._read_count = 0
