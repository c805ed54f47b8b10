"""Scheduling while the load is several times what the targets can run.

The load lasts for some seconds. The tests guard against urgent calls that wait
behind long calls of a lower rank, calls that wait only to be refused, and
slots spent on calls that are late anyway.
"""

import random
import unittest

from lagoonbend.scheduling import Denial
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

URGENT = CallKind(rank=0, hold_ms=300)
NORMAL = CallKind(rank=1, hold_ms=250, objective_ms=1_200)
SLOW = CallKind(rank=2, hold_ms=1_500, objective_ms=1_500, deadline_ms=15_000)
MIX = ((URGENT, 20), (NORMAL, 28), (SLOW, 24))


def run_load(factor: float, seconds: int, seed: int) -> PoolWorld:
    """Run a mix of calls against 20 slots.

    A ``factor`` of 1 occupies 22 slots on average, if all calls run.
    """
    world = PoolWorld()
    generator = random.Random(seed)
    per_s = {kind: rate * factor / 2.2 for kind, rate in MIX}
    for _ in range(seconds * 100):
        for kind, rate in per_s.items():
            if generator.random() < rate / 100:
                world.arrive(kind)
        world.run(10)
    world.run(16_000)
    return world


class BurstTest(unittest.TestCase):
    """Urgent calls are on time, and refusals come early."""

    def test_urgent_calls_are_on_time_at_three_times_the_load(self) -> None:
        """Long calls of a low rank don't make urgent ones late."""
        for seed in range(5):
            with self.subTest(seed=seed):
                world = run_load(3.0, 10, seed)
                self.assertGreaterEqual(
                    world.measure_on_time_share(URGENT), 0.97
                )
                self.assertGreaterEqual(
                    world.measure_on_time_share(NORMAL), 0.9
                )

    def test_targets_never_get_more_than_they_run_at_once(self) -> None:
        """Calls beyond the slots wait at the scheduler."""
        world = run_load(3.0, 5, 1)
        self.assertEqual(20, world.max_held_count)

    def test_every_call_gets_exactly_one_decision(self) -> None:
        """A slot is granted, or denied with a time for the retry."""
        world = run_load(4.0, 5, 2)
        for record in world.records.values():
            self.assertIsNotNone(record.decision)
            if record.decision and record.decision.denial:
                self.assertGreater(record.decision.retry_after_ms, 0)

    def test_hopeless_calls_are_refused_early(self) -> None:
        """A refusal comes within twice the objective, or within 1 s."""
        world = run_load(4.0, 10, 3)
        waits = [
            (record.decided_ms - record.arrived_ms, record.kind.objective_ms)
            for record in world.records.values()
            if record.decision and record.decision.denial
        ]
        self.assertTrue(waits)
        for wait_ms, objective_ms in waits:
            self.assertLessEqual(wait_ms, max(2 * objective_ms, 1_000) + 50)

    def test_calls_that_obtain_no_slot_are_denied_on_arrival(self) -> None:
        """Most denials come within an eighth of the objective.

        The scheduler takes expected arrivals of more urgent calls into
        account when it decides whether a new call can obtain a slot.
        """
        for factor, kind in ((3.0, SLOW), (5.0, NORMAL)):
            with self.subTest(factor=factor):
                world = run_load(factor, 10, 1)
                waits = [
                    record.decided_ms - record.arrived_ms
                    for record in world.records.values()
                    if record.kind is kind
                    and record.decision
                    and record.decision.denial
                ]
                late_waits = [w for w in waits if w > kind.objective_ms / 8]
                self.assertGreater(len(waits), 100)
                self.assertLessEqual(len(late_waits), 0.15 * len(waits))

    def test_calls_that_obtain_a_slot_are_on_time(self) -> None:
        """At most 5 % of the calls that obtain a slot are late."""
        for factor, kind in ((3.0, SLOW), (5.0, NORMAL)):
            with self.subTest(factor=factor):
                world = run_load(factor, 10, 1)
                served = [
                    record
                    for record in world.records.values()
                    if record.kind is kind
                    and record.decision
                    and record.decision.denial is None
                ]
                late = [record for record in served if not record.is_on_time]
                self.assertGreater(len(served), 20)
                self.assertLessEqual(len(late), 0.05 * len(served))

    def test_no_urgent_call_is_refused_while_others_obtain_slots(self) -> None:
        """The urgent calls alone fit the slots, so none of them is refused."""
        world = run_load(3.0, 10, 4)
        refused = [
            record
            for record in world.records.values()
            if record.kind is URGENT
            and record.decision
            and record.decision.denial
        ]
        self.assertEqual([], refused)

    def test_steady_load_within_capacity_is_all_on_time(self) -> None:
        """No call is refused at 89 % of the capacity."""
        world = run_load(0.8, 10, 5)
        denials = [
            record.decision.denial
            for record in world.records.values()
            if record.decision and record.decision.denial
        ]
        self.assertEqual([], denials)
        self.assertEqual(1.0, world.measure_on_time_share(URGENT))


class GiveUpTest(unittest.TestCase):
    """Calls that are withdrawn, or that no target can serve."""

    def test_withdrawn_call_frees_its_slot(self) -> None:
        """One withdrawn call still waits, the other has obtained its slot."""
        world = PoolWorld(targets=1, slots=1)
        first = world.arrive(NORMAL)
        second = world.arrive(NORMAL)
        third = world.arrive(NORMAL)
        self.assertIsNone(second.decision)
        list(world.scheduler.withdraw('i0', second.request.call))
        decisions = list(world.scheduler.withdraw('i0', first.request.call))
        self.assertEqual([third.request.call], [d.call for d in decisions])

    def test_service_without_targets_is_refused_at_once(self) -> None:
        """A call to a service without targets does not wait."""
        world = PoolWorld(targets=0)
        record = world.arrive(URGENT)
        assert record.decision is not None
        self.assertIs(Denial.NO_TARGET, record.decision.denial)


if __name__ == '__main__':
    unittest.main()
