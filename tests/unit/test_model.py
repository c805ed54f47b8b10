"""Results of the simulation model against their required bounds.

The tests guard against a choice of targets that serves the most urgent tier
worse than an oracle that knows the current load, and against runs that can't
be reproduced from their seed.
"""

import unittest

from lagoonbend_devkit._internal.model.model_run import ModelResult
from lagoonbend_devkit._internal.model.model_run import ModelRun
from lagoonbend_devkit._internal.model.model_settings import ModelSettings
from lagoonbend_devkit._internal.model.workload import WORKLOADS

SEED = 1
DURATION_MS = 30_000
MAX_LOSS_PERCENT = 3.0


class ModelTest(unittest.TestCase):
    """Short seeded runs at a load of 90 % with reports delayed by 1 s."""

    def test_urgent_tier_is_served(self) -> None:
        """The goodput of the top tier is within 3 % of the oracle's."""
        for name in WORKLOADS:
            with self.subTest(workload=name):
                chosen = _run(name, 'expected_time', is_oracle=False)
                oracle = _run(name, 'expected_time', is_oracle=True)
                top = WORKLOADS[name].kinds[0].name
                loss = (
                    oracle.goodput_percent[top] - chosen.goodput_percent[top]
                )
                self.assertLessEqual(loss, MAX_LOSS_PERCENT)

    def test_naive_policy_is_not(self) -> None:
        """The policy of the least reported load misses the same bound."""
        chosen = _run('office', 'least_reported', is_oracle=False)
        oracle = _run('office', 'expected_time', is_oracle=True)
        loss = oracle.goodput_percent['flag'] - chosen.goodput_percent['flag']
        self.assertGreater(loss, MAX_LOSS_PERCENT)

    def test_same_seed_gives_same_outcome(self) -> None:
        """A run can be reproduced from its seed."""
        first = _run('lakeshore', 'expected_time', is_oracle=False)
        second = _run('lakeshore', 'expected_time', is_oracle=False)
        self.assertEqual(first, second)


def _run(name: str, policy: str, *, is_oracle: bool) -> ModelResult:
    settings = ModelSettings(
        policy=policy,
        seed=SEED,
        is_oracle=is_oracle,
        duration_ms=DURATION_MS,
    )
    return ModelRun(WORKLOADS[name], settings).run()
