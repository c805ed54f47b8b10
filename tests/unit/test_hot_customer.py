"""Rate limits while one customer sends far more than its limit.

The tests guard against delays for the other customers, against urgent calls
of that customer that are refused while its less urgent ones pass, and against
an admitted total beyond the limit and its tolerance: several instances count,
and a network partition can separate them.
"""

import random
import unittest

from lagoonbend.facts import CustomerRule
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

URGENT = CallKind(rank=0, hold_ms=300)
SLOW = CallKind(rank=2, hold_ms=1_000, objective_ms=1_500)
HOT = CustomerRule('hot', rate_per_s=30_000.0, burst=30_000.0)
OTHER = CustomerRule('other', rate_per_s=60_000.0, burst=60_000.0)
TOLERANCE = LimitTolerance(0.25, 110_000.0, 8.0)
WINDOW_MS = 8_000


def count_admitted(
    limits: SharedLimits, rule: CustomerRule, per_s: int, units: float
) -> float:
    """Return the units admitted in one window at a steady demand."""
    admitted = 0.0
    for step in range(WINDOW_MS * per_s // 1_000):
        now_ms = 5_000 + step * 1_000 // per_s
        if not limits.take(rule, units, 0, now_ms):
            admitted += units
    return admitted


DECIDERS = 7
REPORT_INTERVAL_MS = 750
"""Pings to deciders are due every 500 ms, as a check each 250 ms finds."""
CALLS_PER_STEP = 6
"""Every 10 ms; with ``CALL_UNITS`` each, ten times the limit."""
CALL_UNITS = 6_600.0


class HotCustomerTest(unittest.TestCase):
    """Isolation of customers, and accuracy of their limits."""

    def test_others_are_on_time(self) -> None:
        """A customer at twelve times its limit delays nobody else."""
        world = PoolWorld()
        others = []
        for _ in range(400):
            for _ in range(3):
                world.arrive(URGENT, rule=HOT, cost_units=3_000)
            others.append(world.arrive(URGENT, rule=OTHER, cost_units=1_000))
            world.run(25)
        world.run(5_000)
        on_time = sum(record.is_on_time for record in others)
        self.assertGreaterEqual(on_time / len(others), 0.98)

    def test_urgent_calls_of_the_hot_customer_go_first(self) -> None:
        """Less urgent calls leave a part of the limit to urgent ones."""
        world = PoolWorld(targets=8)
        for _ in range(400):
            world.arrive(SLOW, rule=HOT, cost_units=1_000)
            world.arrive(URGENT, rule=HOT, cost_units=1_000)
            world.run(25)
        urgent, slow = (
            sum(
                record.decision is not None and record.decision.denial is None
                for record in world.records.values()
                if record.kind is kind
            )
            for kind in (URGENT, SLOW)
        )
        self.assertGreater(urgent, 3 * slow)

    def test_limit_is_kept_and_used(self) -> None:
        """The units admitted in a window are within the tolerance."""
        limits = SharedLimits(TOLERANCE)
        admitted = count_admitted(limits, HOT, 100, 2_000.0)
        limit = HOT.rate_per_s * 8 + HOT.burst
        self.assertLessEqual(admitted, limit * 1.25 + 110_000)
        self.assertGreaterEqual(admitted, HOT.rate_per_s * 8)

    def test_all_sides_of_any_cut_stay_within_the_tolerance(self) -> None:
        """Both sides of a partition together stay within the tolerance.

        Each side counts on its own.
        """
        for fleet_size in (6, 7, 84, 420):
            for first_side in range(1, fleet_size):
                with self.subTest(
                    fleet_size=fleet_size, first_side=first_side
                ):
                    admitted = 0.0
                    for side_size in (first_side, fleet_size - first_side):
                        limits = SharedLimits(TOLERANCE)
                        limits.reachable_share = side_size / fleet_size
                        admitted += count_admitted(limits, HOT, 40, 2_000.0)
                    limit = HOT.rate_per_s * 8 + HOT.burst
                    # The last call on a side may overdraw its bucket.
                    bound = limit * 1.25 + 110_000 + 2 * 2_000
                    self.assertLessEqual(admitted, bound)

    def test_use_at_other_instances_counts(self) -> None:
        """Units that a peer has admitted are charged here too."""
        limits = SharedLimits(TOLERANCE)
        limits.take(HOT, 1.0, 0, 0)
        limits.record_peer_usage('peer', {'hot': 0.0}, 0)
        limits.record_peer_usage('peer', {'hot': 500_000.0}, 500)
        self.assertGreater(limits.take(HOT, 1.0, 0, 600), 0)

    # Guards against a customer whose load rises tenfold within a second just
    # after all instances have started: each decider has counted the first
    # second of its own part only.
    def test_first_second_at_all_deciders_stays_within_the_limit(self) -> None:
        """Seven deciders tell each other their use."""
        rule = CustomerRule('hot', rate_per_s=385_000.0, burst=385_000.0)
        tolerance = LimitTolerance(0.25, 140_000.0, 8.0)
        deciders = [SharedLimits(tolerance) for _ in range(DECIDERS)]
        source = random.Random(3)
        admitted = 0.0
        for now_ms in range(-2_000, 8_000, 10):
            for number, limits in enumerate(deciders):
                if (now_ms + 100 * number) % REPORT_INTERVAL_MS == 0:
                    used = dict(limits.get_used_units())
                    for other in deciders:
                        if other is not limits:
                            other.record_peer_usage(
                                f'peer {number}', used, now_ms
                            )
            if now_ms < 0:
                continue
            for _ in range(CALLS_PER_STEP):
                limits = source.choice(deciders)
                if not limits.take(rule, CALL_UNITS, 0, now_ms):
                    admitted += CALL_UNITS
        allowed = (rule.rate_per_s * 8 + rule.burst) * 1.25 + 140_000
        print(f'{admitted:.0f} of {allowed:.0f}')
        self.assertLessEqual(admitted, allowed)
        self.assertGreaterEqual(admitted, rule.rate_per_s * 8)

    def test_call_without_a_slot_is_not_charged(self) -> None:
        """Denied calls are not charged, but those that still wait are."""
        world = PoolWorld(targets=1, slots=1)
        rule = CustomerRule('hot', rate_per_s=10_000.0, burst=10_000.0)
        kind = CallKind(rank=0, hold_ms=60_000)
        world.arrive(kind)
        for _ in range(40):
            world.arrive(kind, rule=rule, cost_units=500)
            world.run(100)
        used = world.limits.get_used_units().get('hot', 0.0)
        waiting = len(world.scheduler)
        self.assertEqual(500.0 * waiting, used)

    def test_use_of_long_ago_is_no_debt(self) -> None:
        """A new decider receives the totals that its peers have admitted.

        They used half of the limit for 28 s; the bucket has refilled since.
        """
        limits = SharedLimits(TOLERANCE)
        per_s = HOT.rate_per_s / 2
        limits.record_peer_usage('peer', {'hot': per_s}, 1_000)
        limits.take(HOT, 1.0, 0, 29_000)
        limits.record_peer_usage('peer', {'hot': 29 * per_s}, 29_000)
        admitted = sum(
            1_000.0
            for step in range(40)
            if not limits.take(HOT, 1_000.0, 0, 29_100 + 100 * step)
        )
        self.assertGreaterEqual(admitted, 4 * per_s / 2)
        self.assertEqual(0, limits.take(HOT, 1_000.0, 0, 33_200))

    def test_refused_calls_are_asked_to_return_one_after_the_other(
        self,
    ) -> None:
        """Retry delays are spread at the rate of the limit."""
        limits = SharedLimits(LimitTolerance())
        while not limits.take(HOT, 3_000.0, 0, 0):
            continue
        waits = [limits.take(HOT, 3_000.0, 0, 0) for _ in range(5)]
        self.assertEqual(sorted(waits), waits)
        self.assertGreaterEqual(waits[-1] - waits[0], 390)


if __name__ == '__main__':
    unittest.main()
