"""Limits of customers, divided among instances by their demand.

Shares that are out of date, for example after a network partition or a crash,
could add up to more than the limit, or refuse calls that the limit allows.
"""

import itertools
import unittest

from lagoonbend_devkit._internal.experiments import limit_experiment

FAULTS = ('none', 'cut 4 and 3', 'owner dead')

MAX_PASSED_PERCENT = 102.0
MIN_PASSED_PERCENT = 90.0
MAX_WRONG_REFUSAL_PERCENT = 1.0


class LimitTest(unittest.TestCase):
    """Measures what passes of a customer's demand.

    The demand is twice the limit unless a test says otherwise.
    """

    def test_limit_is_not_exceeded_in_any_fault(self) -> None:
        """The shares add up to at most the limit, within 2 %."""
        for spread, fault in itertools.product(('even', 'skewed'), FAULTS):
            with self.subTest(spread=spread, fault=fault):
                result = limit_experiment.measure_limit(
                    'shares by demand', spread, fault
                )
                self.assertLess(result.passed_percent, MAX_PASSED_PERCENT)

    def test_small_demand_is_not_refused(self) -> None:
        """A demand of a fifth of the limit passes at any instance count."""
        for instance_count in (7, 64, 256):
            with self.subTest(instance_count=instance_count):
                refused_percent = limit_experiment.measure_wrong_refusals(
                    instance_count
                )
                self.assertLess(refused_percent, MAX_WRONG_REFUSAL_PERCENT)

    def test_limit_is_used_whole_however_requests_are_spread(self) -> None:
        """Without a fault, nearly all of the limit is used."""
        for spread in ('even', 'skewed'):
            with self.subTest(spread=spread):
                result = limit_experiment.measure_limit(
                    'shares by demand', spread, 'none'
                )
                self.assertGreater(result.passed_percent, MIN_PASSED_PERCENT)
