"""Connections to targets that the system gives up.

Guards against an answer without a length that counts as whole although its
connection was lost, and against a lost connection that counts as silence.
"""

import errno
import unittest

import gevent.socket

from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.target_error import ConnectionLostError
from lagoonbend_entry._internal.gateway.target_error import TargetTimeoutError

HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n'


class DyingSocket:
    """Gives prepared results, one for each read; then the end."""

    def __init__(self, *results: bytes | OSError) -> None:
        self._results = list(results)

    def settimeout(self, timeout_s: float) -> None:
        """Ignore the time-out."""

    def recv(self, size: int) -> bytes:
        """Return or raise the next result."""
        result = self._results.pop(0) if self._results else b''
        if isinstance(result, OSError):
            raise result
        return result


class EndOfAConnectionTest(unittest.TestCase):
    """An answer whose end is the end of its connection."""

    def read(
        self, *results: bytes | OSError
    ) -> target_connection.TargetConnection:
        """Read the head of the answer; return its connection."""
        sock = DyingSocket(HEAD + b'first', *results)
        return target_connection.TargetConnection(sock, ('127.0.0.1', 1))

    def test_connection_given_up_by_the_system_is_lost(self) -> None:
        """The answer is not whole, now or when it is read further."""
        connection = self.read(OSError(errno.ETIMEDOUT, 'timed out'))
        answer = connection.read_head(100)
        for _ in range(2):
            with self.assertRaises(ConnectionLostError):
                list(connection.read_body(answer, 100))
        self.assertFalse(answer.is_complete)

    def test_silence_is_no_loss(self) -> None:
        """The answer goes on after a wait that ended."""
        connection = self.read(gevent.socket.timeout('timed out'), b'second')
        answer = connection.read_head(100)
        with self.assertRaises(TargetTimeoutError):
            list(connection.read_body(answer, 100))
        self.assertEqual([b'second'], list(connection.read_body(answer, 100)))


if __name__ == '__main__':
    unittest.main()
