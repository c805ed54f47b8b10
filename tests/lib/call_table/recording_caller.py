"""Caller that records all bytes that come back on its connection."""

from collections.abc import Callable
import contextlib
import time

import gevent
import gevent.event
import gevent.socket

from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.answer_parser import AnswerParser

READ_BYTES = 65_536


class RecordingCaller:
    """Sends raw bytes and reads until the connection ends.

    ``received`` has all bytes that came; ``ended_s`` is the time at which the
    connection ended, None while it is open.

    :param port: port of the instance.
    """

    def __init__(self, port: int) -> None:
        self.received = bytearray()
        self.ended_s: float | None = None
        self._parser = AnswerParser()
        self._changed = gevent.event.Event()
        self._sock = gevent.socket.create_connection(('127.0.0.1', port))
        self._reader = gevent.spawn(self._read)

    @property
    def answers(self) -> list[Answer]:
        """Final answers so far; the last one may be incomplete."""
        return [a for a in self._parser.answers if not a.is_interim]

    @property
    def has_continue(self) -> bool:
        """True once the instance has asked for the body of a request."""
        return any(answer.is_interim for answer in self._parser.answers)

    def send(self, data: bytes) -> float:
        """Send bytes; return the time of the last one."""
        with contextlib.suppress(OSError):
            self._sock.sendall(data)
        return time.monotonic()

    def count_complete(self) -> int:
        """Return the number of complete final answers."""
        return sum(answer.is_complete for answer in self.answers)

    def wait_until(self, is_met: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition or the end; return whether it is met."""
        end_s = time.monotonic() + timeout_s
        while not is_met():
            left_s = end_s - time.monotonic()
            if self.ended_s is not None or left_s <= 0:
                return False
            self._changed.wait(left_s)
        return True

    def close(self) -> None:
        """Close the connection."""
        self._reader.kill()
        self._sock.close()

    def _read(self) -> None:
        data = b'-'
        while data:
            try:
                data = self._sock.recv(READ_BYTES)
            except OSError:
                data = b''
            self.received += data
            self._parser.feed(data)
            if not data:
                self.ended_s = time.monotonic()
            changed, self._changed = self._changed, gevent.event.Event()
            changed.set()
