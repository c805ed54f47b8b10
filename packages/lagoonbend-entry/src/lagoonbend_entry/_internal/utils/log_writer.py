"""Non-blocking writer of log lines."""

import collections
from collections.abc import Callable
import os

import msgspec

MAX_PENDING_LINES = 4_000
"""Lines that are buffered while nobody reads the output; about a minute of
the heaviest load of the users' deployments at one instance."""


class LogWriter:
    """Buffers lines and writes them in batches without ever blocking.

    Lines beyond ``MAX_PENDING_LINES`` are dropped and counted.

    :param descriptor: file descriptor; it is set to non-blocking mode.
    :param on_line: called when a line is added to an empty buffer.
    """

    def __init__(
        self, descriptor: int, on_line: Callable[[], None] | None = None
    ) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._on_line = on_line
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def __call__(self, fields: dict[str, object]) -> None:
        """Add a line with ``fields`` as JSON to the buffer."""
        if len(self._lines) >= MAX_PENDING_LINES:
            self.dropped_count += 1
            return
        self._lines.append(msgspec.json.encode(fields) + b'\n')
        if len(self._lines) == 1 and self._on_line is not None:
            self._on_line()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        data = self._unwritten + b''.join(self._lines)
        self._lines.clear()
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                break
            except OSError:
                data = b''
        self._unwritten = data
        if data:
            self._trim_unwritten()

    @property
    def is_empty(self) -> bool:
        """True if there is nothing left to write."""
        return not self._lines and not self._unwritten

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped_count = self.dropped_count, 0
        return dropped

    def _trim_unwritten(self) -> None:
        """Drop lines of the unwritten rest beyond the limit."""
        lines = self._unwritten.splitlines(keepends=True)
        if len(lines) > MAX_PENDING_LINES:
            self.dropped_count += len(lines) - MAX_PENDING_LINES
            self._unwritten = b''.join(lines[:MAX_PENDING_LINES])
