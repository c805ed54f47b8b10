"""Customers' limits, shared by instances."""

import itertools
import unittest

from lagoonbend_devkit._internal.experiments import limit_experiment

FAULTS = ('none', 'cut 4 and 3', 'owner dead')

GREATEST_PERCENT = 102.0
LEAST_PERCENT = 90.0
GREATEST_WRONG_PERCENT = 1.0


class LimitTest(unittest.TestCase):
    """A customer asks for twice its limit."""

    def test_limit_is_not_exceeded_in_any_fault(self) -> None:
        """The shares never add up to more than the limit."""
        for spread, fault in itertools.product(('even', 'skewed'), FAULTS):
            with self.subTest(spread=spread, fault=fault):
                result = limit_experiment.measure_limit(
                    'shares by demand', spread, fault
                )
                self.assertLess(result.passed_percent, GREATEST_PERCENT)

    def test_small_demand_is_not_refused(self) -> None:
        """A fifth of the limit passes, however many instances there are."""
        for instances in (7, 64, 256):
            with self.subTest(instances=instances):
                refused = limit_experiment.measure_wrong_refusals(instances)
                self.assertLess(refused, GREATEST_WRONG_PERCENT)

    def test_limit_is_used_whole_however_requests_are_spread(self) -> None:
        """Without a fault, what is allowed passes."""
        for spread in ('even', 'skewed'):
            with self.subTest(spread=spread):
                result = limit_experiment.measure_limit(
                    'shares by demand', spread, 'none'
                )
                self.assertGreater(result.passed_percent, LEAST_PERCENT)
