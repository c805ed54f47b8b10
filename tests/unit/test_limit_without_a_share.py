"""Limits at an instance that has no share of them.

An instance that reaches only a minority of the others, with a tolerance of
zero, may admit nothing. Guards against an error, and so status 500, in place
of a refusal.
"""

import unittest

from lagoonbend.facts import CustomerRule
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits

RULE = CustomerRule('customer', None, 10.0, 10.0, False, 0)


class LimitWithoutAShareTest(unittest.TestCase):
    """One of three instances, by itself."""

    def test_call_is_refused_with_a_time_to_come_back(self) -> None:
        """The refusal says when to try again."""
        limits = SharedLimits(LimitTolerance())
        limits.reachable_share = 1 / 3
        self.assertEqual(0.0, limits.find_share(RULE))
        self.assertGreater(limits.take(RULE, 1.0, 0, 1_000), 0)


if __name__ == '__main__':
    unittest.main()
