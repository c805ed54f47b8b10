"""Targets that drop idle connections without notice.

A request sent on such a connection is reset, and it is unknown whether it ran.
So a request that must not run twice gets a new connection.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.gateway import connection_pool
from lagoonbend_entry._internal.gateway import target_connection

ADDRESS = ('10.0.0.1', 80)
TARGET_IDLE_LIMIT_MS = 300
"""Idle time after which a target may drop a connection without notice."""


class ForgottenConnectionsTest(unittest.TestCase):
    """Reuse of an idle connection by the kind of request."""

    def setUp(self) -> None:
        """Put a connection into the pool that has no idle time yet."""
        self.clock = PausedClock(1_000_000)
        self.pool = connection_pool.ConnectionPool(self.clock)
        self.idle_connection = mock.Mock(
            spec=target_connection.TargetConnection
        )
        self.idle_connection.address = ADDRESS
        self.idle_connection.is_reusable = True
        self.idle_connection.is_quiet.return_value = True
        self.pool.release(self.idle_connection)

    def acquire(self, *, may_repeat: bool) -> object:
        """Return the connection acquired, or ``new`` if one was opened."""
        with mock.patch.object(
            target_connection.TargetConnection, 'connect'
        ) as connect:
            acquired = self.pool.acquire(ADDRESS, may_repeat=may_repeat)
        return 'new' if acquired is connect.return_value else acquired

    def test_unrepeatable_call_gets_a_new_connection(self) -> None:
        """After a reset it would be unknown whether the call ran."""
        self.clock.advance(TARGET_IDLE_LIMIT_MS)
        self.assertEqual('new', self.acquire(may_repeat=False))

    def test_repeatable_call_saves_the_handshake(self) -> None:
        """A repeatable call is sent again after a reset."""
        self.clock.advance(TARGET_IDLE_LIMIT_MS)
        self.assertIs(self.idle_connection, self.acquire(may_repeat=True))

    def test_recently_used_connection_is_reused(self) -> None:
        """After 100 ms idle, below the limit, no target has dropped it."""
        self.clock.advance(100)
        self.assertIs(self.idle_connection, self.acquire(may_repeat=False))


if __name__ == '__main__':
    unittest.main()
