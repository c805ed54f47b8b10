"""Many instances ask one decider while calls need several times its slots.

So it was on a heavy day of 195 instances: deciders on small instances had
thousands of requests a second to deny, and no processor time left to answer.
Guards against requests for slots that there aren't, and against calls that are
denied without a request although their decider would have granted a slot.
"""

import collections
import random
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import RANK_ORDERS
from lagoonbend.scheduling import RecentDenials
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

RANKS = [RANK_ORDERS['customer_first'](None, rank) for rank in range(3)]
KINDS = (
    CallKind(RANKS[0], hold_ms=750, objective_ms=618),
    CallKind(RANKS[1], hold_ms=450, objective_ms=1_209),
    CallKind(RANKS[2], hold_ms=2_400, objective_ms=1_507),
)
INSTANCES = 33
"""Instances of one of six domains."""
SPAN_S = 8
MAX_ASKED_SHARE = 0.5
"""Largest share of the calls for which the decider may be asked in the peak of
that day, when it had no processor time left: it is to have half of it."""


def build_request(rank: int, objective_ms: int) -> SlotRequest:
    """Return the request of a call that has just arrived."""
    return SlotRequest(
        call='c',
        instance='i',
        failure_domain='d0',
        pool='chat',
        rank=rank,
        route_rank=rank,
        customer='',
        cost_units=0.0,
        waited_ms=0,
        objective_ms=objective_ms,
        deadline_ms=5_000,
    )


class OverloadTest(unittest.TestCase):
    """One pool of 7 targets with 8 slots each."""

    def play(
        self, rates_per_s: tuple[int, ...], seed: int, *, remembers: bool
    ) -> tuple[float, dict[int, int]]:
        """Return the share of calls asked for, and the grants by rank."""
        source = random.Random(seed)
        world = PoolWorld(targets=7, slots=8)
        memories = [RecentDenials(world.clock) for _ in range(INSTANCES)]
        arrivals = sorted(
            (source.uniform(0, SPAN_S), number, kind)
            for kind, rate in zip(KINDS, rates_per_s, strict=True)
            for number in range(rate * SPAN_S)
        )
        start_ms = world.clock.now_ms()
        asked_count = 0
        for at_s, _, kind in arrivals:
            due_ms = start_ms + int(at_s * 1000)
            world.run(max(0, due_ms - world.clock.now_ms()))
            memory = source.choice(memories)
            request = build_request(kind.rank, kind.objective_ms)
            if remembers and memory.find(request) is not None:
                continue
            asked_count += 1
            record = world.arrive(kind)
            if record.decision is not None:
                memory.record(request, record.decision)
        world.run(3_000)
        granted: collections.Counter[int] = collections.Counter(
            record.kind.rank
            for record in world.records.values()
            if record.decision is not None and record.decision.denial is None
        )
        return asked_count / len(arrivals), granted

    def test_decider_is_asked_for_few_of_the_calls_that_it_would_deny(
        self,
    ) -> None:
        """No rank gets fewer slots than if it were asked for all."""
        for rates_per_s in ((90, 350, 300), (60, 120, 100)):
            for seed in range(3):
                _, before = self.play(rates_per_s, seed, remembers=False)
                share, after = self.play(rates_per_s, seed, remembers=True)
                print(f'{rates_per_s}: asked {share:.2f}, {before} {after}')
                with self.subTest(rates=rates_per_s, seed=seed):
                    for rank in RANKS[:2]:
                        self.assertGreaterEqual(
                            after.get(rank, 0), 0.95 * before.get(rank, 0)
                        )
                    if sum(rates_per_s) > 500:
                        self.assertLessEqual(share, MAX_ASKED_SHARE)

    def test_decider_is_asked_for_all_calls_without_an_overload(self) -> None:
        """Nothing is denied, so nothing is remembered."""
        share, _ = self.play((20, 30, 5), 0, remembers=True)
        self.assertEqual(1.0, share)


class RecentDenialsTest(unittest.TestCase):
    """The memory of one instance, on a paused clock."""

    def setUp(self) -> None:
        """Let the decider deny a call of rank 1 for a wait of 1.2 s."""
        self.clock = PausedClock(1_000_000)
        self.memory = RecentDenials(self.clock)
        self.denied = build_request(1, 1_200)
        self.memory.record(self.denied, self.deny(1_200))

    def deny(self, wait_ms: int) -> SlotDecision:
        """Return a denial for an expected wait."""
        return SlotDecision(
            'c', 'i', denial=Denial.OVERLOADED, pool_wait_ms=wait_ms
        )

    def test_calls_of_the_rank_and_below_are_denied(self) -> None:
        """The time to return is what is left of the wait."""
        self.clock.advance(100)
        for rank in (1, 2):
            decision = self.memory.find(build_request(rank, 1_200))
            assert decision is not None
            self.assertIs(Denial.OVERLOADED, decision.denial)
            self.assertEqual(1_100, decision.retry_after_ms)

    def test_decider_is_asked_for_calls_that_it_may_grant(self) -> None:
        """More urgent ones, patient ones, and those of other pools."""
        for request in (
            build_request(0, 1_200),
            build_request(1, 2_000),
            build_request(1, 1_200)._replace(pool='other'),
            build_request(1, 1_200)._replace(excluded=('t1',)),
        ):
            self.assertIsNone(self.memory.find(request))

    def test_denial_is_forgotten_soon(self) -> None:
        """Targets may have come back meanwhile."""
        self.memory.record(self.denied, self.deny(60_000))
        self.clock.advance(399)
        self.assertIsNotNone(self.memory.find(self.denied))
        self.clock.advance(1)
        self.assertIsNone(self.memory.find(self.denied))

    def test_grant_of_a_less_urgent_call_ends_a_denial(self) -> None:
        """One of a more urgent call doesn't."""
        granted = SlotDecision('c', 'i', target='t1')
        self.memory.record(build_request(0, 600), granted)
        self.assertIsNotNone(self.memory.find(self.denied))
        self.memory.record(build_request(2, 600), granted)
        self.assertIsNone(self.memory.find(self.denied))


if __name__ == '__main__':
    unittest.main()
