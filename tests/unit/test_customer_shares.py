"""Shares of a pool's slot time among customers of one rank.

Load: 16 customers use most of a pool, and one of them sends seven times its
usual load for seconds, within its limit. Guards against a customer that takes
the slots of the others, against one that is held up without bound for what it
has used before, and against slots that stay idle for the sake of shares.
"""

import collections
import itertools
import random
import unittest

from lagoonbend.facts import CustomerRule
from lagoonbend.scheduling import CustomerOrderClass
from lagoonbend.scheduling import CustomerShares
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import HeldSlot
from lagoonbend.scheduling import LatestStartOrder
from lagoonbend.scheduling import RecentDenials
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import CallRecord
from tests.lib.pool_world import PoolWorld

RULES = [CustomerRule(f'c{number}') for number in range(16)]
HOT, OTHER = RULES[:2]
PATIENT = CallKind(0, 300, objective_ms=60_000, deadline_ms=90_000)
USUAL = CallKind(rank=0, hold_ms=400, objective_ms=600)
SLOTS = 20
SURGE_MS = (2_000, 8_000)
SPAN_MS = 10_000
STEP_MS = 20
MAX_GAP_MS = 1_500
"""Both sides' balance (500 ms each), and the calls that run meanwhile."""


class CustomerSharesTest(unittest.TestCase):
    """A pool of 20 slots and its customers."""

    def setUp(self) -> None:
        """Create the pool."""
        self.world = PoolWorld(customer_order='fair_share')
        self.rng = random.Random(11)

    def keep_waiting(
        self, kinds: dict[CustomerRule, CallKind], span_ms: int
    ) -> None:
        """Play a time in which each customer has 30 calls waiting."""
        for _ in range(span_ms // 25):
            counts = collections.Counter(
                request.customer
                for request in self.world.scheduler.list_waiting()
            )
            for rule, kind in kinds.items():
                for _ in range(30 - counts[rule.name]):
                    self.world.arrive(kind, rule=rule)
            self.world.run(25)

    def list_grants(self, rule: CustomerRule) -> list[CallRecord]:
        """Return the calls of a customer that got slots, by time."""
        granted = [
            record
            for record in self.world.records.values()
            if record.decision is not None
            and record.decision.denial is None
            and record.request.customer == rule.name
        ]
        return sorted(granted, key=lambda record: record.decided_ms)

    def sum_slot_time_ms(self, rule: CustomerRule, since_ms: int) -> int:
        """Return the slot time of what a customer was granted."""
        return sum(
            record.kind.hold_ms
            for record in self.list_grants(rule)
            if record.decided_ms >= since_ms
        )

    def find_longest_gap_ms(self, rule: CustomerRule, since_ms: int) -> int:
        """Return the longest time between two grants of a customer."""
        times = [since_ms]
        times += [
            record.decided_ms
            for record in self.list_grants(rule)
            if record.decided_ms > since_ms
        ]
        times.append(self.world.clock.now_ms())
        return max(end - begin for begin, end in itertools.pairwise(times))

    def test_customers_that_wait_get_equal_slot_time(self) -> None:
        """Whatever the hold times of their calls are."""
        kinds = {
            rule: PATIENT._replace(hold_ms=hold_ms)
            for rule, hold_ms in zip(
                RULES, (50, 300, 300, 1_200), strict=False
            )
        }
        self.keep_waiting(kinds, 4_000)
        since_ms = self.world.clock.now_ms()
        self.keep_waiting(kinds, 12_000)
        times_ms = [self.sum_slot_time_ms(rule, since_ms) for rule in kinds]
        print(times_ms)
        self.assertLess(max(times_ms), 1.15 * min(times_ms))

    def test_borrower_is_not_held_up_for_what_it_used_alone(self) -> None:
        """One customer has all slots until the others come, all at once."""
        self.keep_waiting({HOT: PATIENT}, 6_000)
        self.assertGreaterEqual(
            self.sum_slot_time_ms(HOT, 0), 0.95 * SLOTS * 6_000
        )
        since_ms = self.world.clock.now_ms()
        self.keep_waiting(dict.fromkeys(RULES, PATIENT), 6_000)
        gaps_ms = [self.find_longest_gap_ms(rule, since_ms) for rule in RULES]
        print(gaps_ms)
        self.assertLess(max(gaps_ms), MAX_GAP_MS)

    def test_no_slot_is_idle_and_each_call_is_decided(self) -> None:
        """Customers come and go, with two ranks and large prompts."""
        for seed in range(8):
            with self.subTest(seed=seed):
                self.rng = random.Random(seed)
                self.world = PoolWorld(
                    customer_order='fair_share', memory_tokens=50_000
                )
                self.play_random(6_000)

    def play_random(self, span_ms: int) -> None:
        """Play an overload; customers' loads change, and instances end."""
        weights = [1.0]
        scheduler = self.world.scheduler
        for step in range(span_ms // 10):
            if step % 100 == 0:
                weights = [self.rng.expovariate(1) ** 2 for _ in RULES]
            kind = USUAL._replace(
                rank=self.rng.choice((0, 0, 1)),
                hold_ms=self.rng.choice((100, 300, 900)),
                prompt_tokens=self.rng.choice((500, 500, 500, 30_000)),
            )
            rule = self.rng.choices(RULES, weights)[0]
            is_lost = self.rng.random() < 0.2
            instance = 'lost' if is_lost else 'i0'
            self.world.arrive(kind, rule=rule, instance=instance)
            if step % 50 == 0:
                self.world.lose_instance('lost')
            self.world.run(10)
            now_ms = self.world.clock.now_ms()
            for request in scheduler.list_waiting():
                self.assertIsNone(scheduler.targets.choose(request, now_ms))
        self.world.run(5_000)
        for record in self.world.records.values():
            if record.request.instance == 'i0':
                self.assertIsNotNone(record.decision)
                wait_ms = record.decided_ms - record.arrived_ms
                self.assertLessEqual(wait_ms, 1_250)

    def test_new_decider_shares_equally_from_its_start(self) -> None:
        """It learns of the slots in use, not of what was used before."""
        targets = self.world.scheduler.targets
        for number in range(SLOTS):
            target = self.world.listed[number % 4].target
            self.world.scheduler.register(
                HeldSlot(f's{number}', 'i1', target, 0, (), 500, 0, 120)
            )
        self.assertEqual(SLOTS, targets.held_count)
        for rule in (HOT,) * 60 + (OTHER,) * 60:
            self.world.arrive(PATIENT, rule=rule)
        self.world.lose_instance('i1')
        self.world.run(900)
        used_ms = [self.sum_slot_time_ms(rule, 0) for rule in (HOT, OTHER)]
        self.assertLessEqual(abs(used_ms[0] - used_ms[1]), 2 * 300)

    def test_only_the_customer_above_its_share_is_told_to_wait(self) -> None:
        """And its instances don't refuse others' calls for that."""
        for _ in range(90):
            self.world.arrive(USUAL, rule=HOT)
        refused = self.world.arrive(USUAL, rule=HOT)
        assert refused.decision is not None
        self.assertIs(Denial.OVERLOADED, refused.decision.denial)
        other = self.world.arrive(USUAL, rule=OTHER)
        self.assertIsNone(other.decision)
        orders: tuple[CustomerOrderClass, ...]
        orders = (CustomerShares, LatestStartOrder)
        for order in orders:
            denials = RecentDenials(self.world.clock, order)
            denials.record(refused.request, refused.decision)
            same, less_urgent, others = (
                denials.find(request._replace(objective_ms=400))
                for request in (
                    refused.request,
                    other.request._replace(rank=1),
                    other.request,
                )
            )
            self.assertIsNotNone(same)
            self.assertIsNotNone(less_urgent)
            self.assertEqual(order is CustomerShares, others is None)
            # With two customers denied, it is the pool that is short.
            second = refused.request._replace(customer='c2')
            denials.record(second, refused.decision)
            third = other.request._replace(objective_ms=400)
            self.assertIsNotNone(denials.find(third))

    def test_log_names_the_customers_with_the_most_slot_time(self) -> None:
        """In a line of bounded size."""
        rules = [CustomerRule(str(number) * 99) for number in range(9)]
        self.keep_waiting({HOT: PATIENT}, 2_000)
        self.keep_waiting(dict.fromkeys([HOT, *rules], PATIENT), 300)
        now_ms = self.world.clock.now_ms()
        lines = self.world.scheduler.customer_order.describe(now_ms)
        self.assertRegex(lines[0], r'^c0 0 \d+\.\d 30$')
        self.assertEqual(5, len(lines))
        self.assertLess(max(map(len, lines)), 60)


def measure_others(order: str, load: float, factor: int, seed: int) -> float:
    """Return the part of the usual customers' calls that were on time.

    :param load: usual load of all customers, as a multiple of the slots.
    :param factor: multiple of its usual load that one customer sends.
    """
    world = PoolWorld(customer_order=order)
    rng = random.Random(seed)
    others: list[CallRecord] = []
    per_step = load * SLOTS * STEP_MS / USUAL.hold_ms / len(RULES)
    for at_ms in range(0, SPAN_MS, STEP_MS):
        is_surge = SURGE_MS[0] <= at_ms < SURGE_MS[1]
        for rule in RULES:
            mean = per_step * (factor if rule is HOT and is_surge else 1)
            while rng.random() < mean / (1 + mean):
                record = world.arrive(USUAL, rule=rule)
                if rule is not HOT and is_surge:
                    others.append(record)
        world.run(STEP_MS)
    world.run(3_000)
    return sum(record.is_on_time for record in others) / len(others)


class SurgeTest(unittest.TestCase):
    """One of 16 customers at seven times its usual load for 6 s."""

    def test_others_lose_no_more_than_its_fair_share_takes(self) -> None:
        """Which is a sixteenth of the slots, whatever the usual load is."""
        for load, seed in itertools.product((0.8, 0.95, 1.3), range(3)):
            with self.subTest(load=load, seed=seed):
                usual, surge = (
                    measure_others('fair_share', load, factor, seed)
                    for factor in (1, 7)
                )
                before = measure_others('latest_start', load, 7, seed)
                print(f'{load}: {usual:.3f} {surge:.3f}, before {before:.3f}')
                self.assertGreater(surge, usual - 1 / len(RULES))
                if load > 0.9:
                    self.assertGreater(surge, before + 0.1)


if __name__ == '__main__':
    unittest.main()
