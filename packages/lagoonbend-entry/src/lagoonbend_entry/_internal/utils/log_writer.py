"""Writes log lines to standard output without ever waiting for it."""

import collections
from collections.abc import Callable
import os

import msgspec

GREATEST_LINES = 4_000
"""Lines that may wait for a reader; about a minute of the heaviest load of
the sheets at one instance."""


class LogWriter:
    """Collects lines and writes them in batches.

    Lines beyond ``GREATEST_LINES`` are left out and counted.

    :param descriptor: file descriptor; it is made non-blocking.
    :param on_line: called with each first line after a flush.
    """

    def __init__(
        self, descriptor: int, on_line: Callable[[], None] | None = None
    ) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._on_line = on_line
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        os.set_blocking(descriptor, False)

    def __call__(self, fields: dict[str, object]) -> None:
        """Take a line."""
        if len(self._lines) >= GREATEST_LINES:
            self.dropped_count += 1
            return
        self._lines.append(msgspec.json.encode(fields) + b'\n')
        if len(self._lines) == 1 and self._on_line is not None:
            self._on_line()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        data = self._rest + b''.join(self._lines)
        self._lines.clear()
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                break
            except OSError:
                data = b''
        self._rest = data
        if data:
            self._bound_rest()

    @property
    def is_empty(self) -> bool:
        """True if nothing waits to be written."""
        return not self._lines and not self._rest

    def take_dropped(self) -> int:
        """Return the number of lines left out since the last call."""
        dropped, self.dropped_count = self.dropped_count, 0
        return dropped

    def _bound_rest(self) -> None:
        """Cut what waits, at the end of a line, to its bound."""
        lines = self._rest.splitlines(keepends=True)
        if len(lines) > GREATEST_LINES:
            self.dropped_count += len(lines) - GREATEST_LINES
            self._rest = b''.join(lines[:GREATEST_LINES])
