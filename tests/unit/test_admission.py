"""Order in which admission control sheds calls.

The tests guard against an urgent call that is refused while less urgent work
is kept that could make room for it, in the queue or at an engine. Seeded
random runs check the invariant; variants without displacement or preemption
must violate it.
"""

import collections
import unittest

from lagoonbend.exceptions import InvariantViolation
from lagoonbend.queueing import AdmissionControl
from lagoonbend.queueing import Offer
from lagoonbend.queueing import TierQueue
from lagoonbend.routing import LoadReport
from tests.lib.admission_world import AdmissionWorld

SEEDS = range(30)
STEPS = 1_000


class NoDisplacement(TierQueue):
    """Queue that never displaces a waiting call of a lower tier."""

    def offer(self, item: object, rank: int, deadline_ms: int) -> Offer:
        """Refuse any new call while the queue is full."""
        if len(self) < self._capacity:
            return super().offer(item, rank, deadline_ms)
        self._sequence += 1
        self._check_shed(
            self._waiters[0]._replace(rank=rank, sequence=self._sequence)
        )
        return Offer(None, None)


class NoPreemption(AdmissionControl):
    """Admission control that never preempts a running call."""

    def _preempt_for(self, waiter: object) -> bool:
        return False


class AdmissionTest(unittest.TestCase):
    """Seeded random runs and single decisions."""

    def test_no_seed_breaks_the_order_of_shedding(self) -> None:
        """The invariant holds, and every outcome occurs."""
        outcome_counts: collections.Counter[str] = collections.Counter()
        for seed in SEEDS:
            world = AdmissionWorld(seed)
            world.run(STEPS)
            for queued_call in world.queued_calls:
                self.assertLessEqual(len(queued_call.outcomes), 1)
                outcome_counts.update(queued_call.outcomes)
        for outcome in ('answered', 'preempted', 'displaced', 'queue_full'):
            self.assertGreater(outcome_counts[outcome], 0, outcome)

    def test_broken_variants_are_caught(self) -> None:
        """The invariant fails without displacement or preemption."""
        with self.assertRaises(InvariantViolation):
            for seed in SEEDS:
                AdmissionWorld(seed, queue_type=NoDisplacement).run(STEPS)
        with self.assertRaises(InvariantViolation):
            for seed in SEEDS:
                AdmissionWorld(seed, control_type=NoPreemption).run(STEPS)

    def test_urgent_call_displaces_the_last_draft(self) -> None:
        """A full queue sheds the lowest tier, latest deadline first."""
        world = AdmissionWorld(1)
        drafts = []
        while len(world.queue) < 6:
            drafts.append(world.arrive(2))
        waiting = [d for d in drafts if d.assignment is None]
        world.arrive(0)
        self.assertEqual(['displaced'], waiting[-1].outcomes)

    def test_running_draft_makes_room_in_time(self) -> None:
        """An urgent call near its deadline preempts a running draft."""
        world = AdmissionWorld(1)
        while len(world.queue) < 3:
            world.arrive(2)
        urgent = [world.arrive(0) for _ in range(4)]
        for _ in range(40):
            world.clock.advance(50)
            world.control.tick()
        self.assertTrue(all(item.assignment for item in urgent))

    def test_refusals_come_at_once_and_say_when_to_return(self) -> None:
        """The refusal comes on arrival; the wait is estimated for retries."""
        world = AdmissionWorld(1)
        for _ in range(40):
            last = world.arrive(2)
        self.assertEqual(['queue_full'], last.outcomes)
        self.assertGreaterEqual(world.control.estimate_wait_ms(), 500)

    def test_unreported_target_is_the_last_choice(self) -> None:
        """A target without a load report is not taken to be idle."""
        world = AdmissionWorld(1)
        for state in list(world.table)[:-1]:
            name = state.target.target
            state.report = LoadReport(name, 1, 10, world.clock.now_ms())
        unreported = list(world.table)[-1]
        calls = [world.arrive(2) for _ in range(2)]
        self.assertEqual(0, unreported.outstanding)
        self.assertTrue(all(item.assignment for item in calls))

    def test_resumed_instance_waits_for_confirmed_facts(self) -> None:
        """After a pause, calls wait until the facts are confirmed."""
        world = AdmissionWorld(1)
        world.control.hold(world.clock.now_ms() + 2_000)
        waiting = world.arrive(0)
        self.assertIsNone(waiting.assignment)
        world.control.resume()
        self.assertIsNotNone(waiting.assignment)

    def test_hold_ends_in_a_partition(self) -> None:
        """An instance that reaches no peer resumes after a time limit."""
        world = AdmissionWorld(1)
        world.control.hold(world.clock.now_ms() + 500)
        waiting = world.arrive(0)
        world.clock.advance(500)
        world.control.tick()
        self.assertIsNotNone(waiting.assignment)
