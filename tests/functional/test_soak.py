"""Real processes under overlapping faults, seeded."""

import unittest

from lagoonbend_devkit.soak import Soak

SPAN_S = 8.0
SEEDS: dict[int, str] = {
    3: 'drains, planned stops and pauses overlap',
    19: 'an answer at 4.1 s: its instance was paused at the time-out, 1.1 s',
    31: 'an answer at 4.6 s: the same',
}
"""Seeds that CI plays, and why: each one that ever failed, with its cause."""


class SoakTest(unittest.TestCase):
    """``python -m lagoonbend_devkit soak 1 50 8`` plays more."""

    def test_promises_hold_for_each_kept_seed(self) -> None:
        """From what callers and targets saw."""
        for seed, cause in SEEDS.items():
            with self.subTest(seed=seed, cause=cause):
                report = Soak(seed, SPAN_S).run()
                self.assertEqual([], report.violations)
                self.assertGreater(report.statuses.get(200, 0), 50)


if __name__ == '__main__':
    unittest.main()
