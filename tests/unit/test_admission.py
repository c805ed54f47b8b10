"""No urgent call is shed while lower work that could make room is kept."""

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
    """Refuses whoever comes last."""

    def offer(self, item: object, rank: int, deadline_ms: int) -> Offer:
        """Refuse the newcomer of a full queue."""
        if len(self) < self._capacity:
            return super().offer(item, rank, deadline_ms)
        self._sequence += 1
        self._check_shed(
            self._waiters[0]._replace(rank=rank, sequence=self._sequence)
        )
        return Offer(None, None)


class NoPreemption(AdmissionControl):
    """Lets lower tiers run to their end."""

    def _preempt_for(self, waiter: object) -> bool:
        return False


class AdmissionTest(unittest.TestCase):
    """Seeded runs, and the order of single decisions."""

    def test_no_seed_breaks_the_order_of_shedding(self) -> None:
        """The invariant holds, and calls of all tiers are answered."""
        ends: collections.Counter[str] = collections.Counter()
        for seed in SEEDS:
            world = AdmissionWorld(seed)
            world.run(STEPS)
            for queued_call in world.queued_calls:
                self.assertLessEqual(len(queued_call.outcomes), 1)
                ends.update(queued_call.outcomes)
        for end in ('answered', 'preempted', 'displaced', 'queue_full'):
            self.assertGreater(ends[end], 0, end)

    def test_broken_variants_are_caught(self) -> None:
        """The same check fails without displacement or preemption."""
        with self.assertRaises(InvariantViolation):
            for seed in SEEDS:
                AdmissionWorld(seed, queue_type=NoDisplacement).run(STEPS)
        with self.assertRaises(InvariantViolation):
            for seed in SEEDS:
                AdmissionWorld(seed, control_type=NoPreemption).run(STEPS)

    def test_urgent_call_takes_the_place_of_the_last_draft(self) -> None:
        """A full queue sheds its lowest tier, latest deadline first."""
        world = AdmissionWorld(1)
        drafts = []
        while len(world.queue) < 6:
            drafts.append(world.arrive(2))
        waiting = [d for d in drafts if d.assignment is None]
        world.arrive(0)
        self.assertEqual(['displaced'], waiting[-1].outcomes)

    def test_running_draft_makes_room_in_time(self) -> None:
        """An urgent call short of time takes the place of a draft."""
        world = AdmissionWorld(1)
        while len(world.queue) < 3:
            world.arrive(2)
        urgent = [world.arrive(0) for _ in range(4)]
        for _ in range(40):
            world.clock.advance(50)
            world.control.tick()
        self.assertTrue(all(item.assignment for item in urgent))

    def test_refusals_come_at_once_and_say_when_to_return(self) -> None:
        """A call of the lowest tier is refused on arrival, not later."""
        world = AdmissionWorld(1)
        for _ in range(40):
            last = world.arrive(2)
        self.assertEqual(['queue_full'], last.outcomes)
        self.assertGreaterEqual(world.control.estimate_wait_ms(), 500)

    def test_unreported_target_is_the_last_choice(self) -> None:
        """Targets beyond the shared loads do not look idle."""
        world = AdmissionWorld(1)
        for state in list(world.table)[:-1]:
            name = state.target.target
            state.report = LoadReport(name, 1, 10, world.clock.now_ms())
        unreported = list(world.table)[-1]
        first = [world.arrive(2) for _ in range(2)]
        self.assertEqual(0, unreported.outstanding)
        self.assertTrue(all(item.assignment for item in first))

    def test_woken_instance_waits_for_confirmed_facts(self) -> None:
        """Nothing is assigned on old facts until a peer has answered."""
        world = AdmissionWorld(1)
        world.control.hold(world.clock.now_ms() + 2_000)
        waiting = world.arrive(0)
        self.assertIsNone(waiting.assignment)
        world.control.resume()
        self.assertIsNotNone(waiting.assignment)

    def test_hold_ends_in_a_cut(self) -> None:
        """An instance that can ask nobody goes on after a while."""
        world = AdmissionWorld(1)
        world.control.hold(world.clock.now_ms() + 500)
        waiting = world.arrive(0)
        world.clock.advance(500)
        world.control.tick()
        self.assertIsNotNone(waiting.assignment)
