"""Services of a route that is divided among several.

Guards against a stream that goes on at another service than the one that began
it, and against shares that differ from the weights.
"""

import collections
import unittest

from lagoonbend.rendezvous import choose_by_weight

KEYS = [f'attempt-{number}' for number in range(8_000)]
MAX_ERROR = 0.02
"""More than four standard errors of a share of 8,000 calls."""


class DividedRoutesTest(unittest.TestCase):
    """Which service gets a call, by the call's identity."""

    def test_shares_follow_the_weights(self) -> None:
        """They are relative, and a service without one gets nothing."""
        weights = {'a': 1.0, 'b': 3.0, 'c': 0.0, 'd': 6.0}
        counts = collections.Counter(
            choose_by_weight(weights, key) for key in KEYS
        )
        for name, weight in weights.items():
            share = counts[name] / len(KEYS)
            self.assertAlmostEqual(weight / 10, share, delta=MAX_ERROR)
        self.assertIsNone(choose_by_weight({'c': 0.0}, KEYS[0]))

    def test_change_of_a_weight_moves_its_own_calls_only(self) -> None:
        """Other services exchange none."""
        before = {'a': 1.0, 'b': 1.0, 'c': 1.0}
        after = before | {'c': 2.0}
        for key in KEYS:
            chosen = choose_by_weight(after, key)
            self.assertIn(chosen, (choose_by_weight(before, key), 'c'))


if __name__ == '__main__':
    unittest.main()
