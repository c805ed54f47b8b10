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
    """Gives prepared results, one for each read; then the end.

    :param pending_error: number of an error behind the end; 0 for none.
    """

    def __init__(
        self, *results: bytes | OSError, pending_error: int = 0
    ) -> None:
        self._results = list(results)
        self._pending_error = pending_error

    def getsockopt(self, level: int, option: int) -> int:
        """Return the error that is pending."""
        return self._pending_error

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
        self, *results: bytes | OSError, pending_error: int = 0
    ) -> target_connection.TargetConnection:
        """Read the head of the answer; return its connection."""
        sock = DyingSocket(
            HEAD + b'first', *results, pending_error=pending_error
        )
        return target_connection.TargetConnection(sock, ('127.0.0.1', 1))

    def test_connection_given_up_by_the_system_is_lost(self) -> None:
        """The answer is not whole, now or when it is read further."""
        connection = self.read(OSError(errno.ETIMEDOUT, 'timed out'))
        answer = connection.read_head(100)
        for _ in range(2):
            with self.assertRaises(ConnectionLostError):
                list(connection.read_body(answer, 100))
        self.assertFalse(answer.is_complete)

    # Guards against a part of a body that counts as whole since the end of
    # the data was read before the reset behind it.
    def test_reset_behind_the_end_is_a_loss(self) -> None:
        """The system reports the end, and keeps the error."""
        for error in (errno.EPIPE, errno.ECONNRESET):
            connection = self.read(pending_error=error)
            answer = connection.read_head(100)
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
