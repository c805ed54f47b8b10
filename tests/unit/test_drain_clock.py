"""The time that a stopping instance has left.

Guards against calls that are cut without an answer, since the machine was
suspended in the grace time: the platform ends it by the time of day.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.gateway import gateway

GRACE_S = 8
SUSPENDED_MS = 4_000


class DrainClockTest(unittest.TestCase):
    """An instance with an open call is stopped, and suspended once."""

    # Guards against a drain that lasts longer than the grace time.
    def test_suspended_time_counts(self) -> None:
        """The last calls get their answers before the process is killed."""
        clock = PausedClock(1_000)
        stopped = mock.Mock(_clock=clock)
        stopped._settings.bounds.grace_s = GRACE_S
        stopped._close_idle_connections.return_value = False
        ended_ms: list[int] = []
        stopped._end_calls.side_effect = lambda: ended_ms.append(
            clock.now_ms()
        )
        polls = iter(range(10**6))

        def sleep(duration_s: float) -> None:
            if next(polls) == 1:
                clock.advance(SUSPENDED_MS)
            clock.advance(int(1_000 * duration_s))
            if clock.now_ms() > 1_000 + 2 * 1_000 * GRACE_S:
                raise AssertionError('the drain goes on after the grace time')

        with mock.patch('gevent.sleep', sleep):
            gateway.Gateway._drain(stopped, mock.Mock())
        self.assertLess(ended_ms[0], 1_000 + 1_000 * GRACE_S)
        self.assertLess(
            stopped._call_handler.latest_end_ms, 1_000 + 1_000 * GRACE_S
        )


if __name__ == '__main__':
    unittest.main()
