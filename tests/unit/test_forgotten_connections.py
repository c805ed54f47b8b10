"""Pattern: targets forget idle connections without notice."""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.gateway import connection_pool
from lagoonbend_entry._internal.gateway import target_connection

ADDRESS = ('10.0.0.1', 80)
FORGOTTEN_MS = 300


class ForgottenConnectionsTest(unittest.TestCase):
    """What is sent on a forgotten connection is reset."""

    def setUp(self) -> None:
        """Keep one connection that was used just now."""
        self.clock = PausedClock(1_000_000)
        self.pool = connection_pool.ConnectionPool(self.clock)
        self.kept = mock.Mock(spec=target_connection.TargetConnection)
        self.kept.address = ADDRESS
        self.kept.is_reusable = True
        self.kept.is_quiet.return_value = True
        self.pool.release(self.kept)

    def acquire(self, *, may_repeat: bool) -> object:
        """Return the connection for a request."""
        with mock.patch.object(
            target_connection.TargetConnection, 'connect'
        ) as connect:
            taken = self.pool.acquire(ADDRESS, may_repeat=may_repeat)
        return 'new' if taken is connect.return_value else taken

    def test_call_that_must_not_run_twice_goes_on_a_new_one(self) -> None:
        """After a reset nobody could say whether it ran."""
        self.clock.advance(FORGOTTEN_MS)
        self.assertEqual('new', self.acquire(may_repeat=False))

    def test_repeatable_call_saves_the_handshake(self) -> None:
        """It can be sent again."""
        self.clock.advance(FORGOTTEN_MS)
        self.assertIs(self.kept, self.acquire(may_repeat=True))

    def test_connection_used_just_now_serves_all(self) -> None:
        """No target forgets it so soon."""
        self.clock.advance(100)
        self.assertIs(self.kept, self.acquire(may_repeat=False))


if __name__ == '__main__':
    unittest.main()
