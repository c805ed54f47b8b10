"""Reads the log of an instance while it is written."""

import json
import pathlib
from typing import Any


class LogReader:
    """Keeps the lines of some events.

    :param path: log file.
    :param event_numbers: numbers of the events.
    """

    def __init__(
        self, path: pathlib.Path, event_numbers: tuple[str, ...]
    ) -> None:
        self._path = path
        self._event_numbers = event_numbers
        self._position_bytes = 0
        self._incomplete_line = b''
        self._lines: list[dict[str, Any]] = []

    def skip(self) -> None:
        """Drop all lines that were written so far."""
        self._read()
        self._lines = []

    def find(self, *event_numbers: str) -> list[dict[str, Any]]:
        """Return the lines of events since the last ``skip``."""
        self._read()
        return [
            line
            for line in self._lines
            if line['message_type'] in event_numbers
        ]

    def _read(self) -> None:
        with self._path.open('rb') as log:
            log.seek(self._position_bytes)
            data = log.read()
        self._position_bytes += len(data)
        *lines, self._incomplete_line = (self._incomplete_line + data).split(
            b'\n'
        )
        for line in lines:
            if any(f'"{n}"'.encode() in line for n in self._event_numbers):
                self._lines.append(json.loads(line))
