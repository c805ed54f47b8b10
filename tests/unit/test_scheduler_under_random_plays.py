"""A pool scheduler under random events, for each customer order and setting.

Guards against a call that gets two decisions or none, against counts and
indexes of waiting calls that no longer agree with the queue (for example when
a call becomes late, is displaced from a full queue, or is lost with its
instance), and against state that remains after the last call has ended.
"""

import itertools
import random
import unittest
from unittest import mock

from lagoonbend.facts import CustomerRule
from lagoonbend.scheduling import CUSTOMER_ORDERS
from lagoonbend.scheduling import KEPT_PROMPTS
from lagoonbend.scheduling import SlotOutcome
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import PoolWorld

RULES = [None, *(CustomerRule(f'c{number}') for number in range(4))]
KINDS = [
    CallKind(rank, hold_ms, objective_ms, 2_000, prompt_tokens)
    for rank, hold_ms, objective_ms, prompt_tokens in itertools.product(
        range(3), (40, 900), (250, 1_500), (60, 14_000)
    )
]
SEEDS = (1, 2)
STEPS = 2_000
QUEUE_CAPACITY = 24
"""Small enough to be full, so that urgent calls displace others."""
SETTLE_MS = 6_000
"""Longer than the deadline and the hold time of any call."""
CAPACITY_NAME = 'lagoonbend._internal.scheduling.pool_scheduler.QUEUE_CAPACITY'


class _World(PoolWorld):
    """A pool whose calls may be withdrawn."""

    def withdraw(self, call: str) -> None:
        """Withdraw a call, whether it waits, runs or has ended."""
        record = self.records[call]
        record.has_ended = True
        request = record.request
        self._record_decisions(self.scheduler.withdraw(request.instance, call))


@mock.patch(CAPACITY_NAME, QUEUE_CAPACITY)
class RandomPlaysTest(unittest.TestCase):
    """Submits, withdraws and ends calls while targets and instances leave."""

    def test_each_call_is_decided_once_and_no_state_remains(self) -> None:
        for play in itertools.product(CUSTOMER_ORDERS, KEPT_PROMPTS, SEEDS):
            with self.subTest(play=play):
                self._play(*play)

    def _play(self, order: str, kept_prompts: str, seed: int) -> None:
        rng = random.Random(seed)
        world = _World(customer_order=order, kept_prompts=kept_prompts)
        left: set[str] = set()
        for step in range(STEPS):
            self._do_something(world, rng, left)
            if step % 10 == 0:
                self._check_indexes(world)
        world.set_target_list(world.listed)
        world.run(SETTLE_MS)
        self._check_indexes(world)
        self.assertEqual(len(world.scheduler), 0)
        self.assertEqual(world.scheduler.targets.held_count, 0)
        self.assertEqual(world.scheduler.kept_prompts.waiting_count, 0)
        for call, record in world.records.items():
            self.assertTrue(record.decision or call in left, f'lost {call}')

    def _do_something(
        self, world: _World, rng: random.Random, left: set[str]
    ) -> None:
        instance = f'i{rng.randrange(6)}'
        recent = list(world.records)[-40:]
        event = rng.random()
        if event < 0.7 or not recent:
            world.arrive(
                rng.choice(KINDS),
                instance=instance,
                failure_domain=f'd{rng.randrange(2)}',
                rule=rng.choice(RULES),
                session=f's{rng.randrange(2)}',
                waited_ms=rng.choice([0, 0, 400]),
            )
        elif event < 0.8:
            world.end(rng.choice(recent), rng.choice(list(SlotOutcome)))
        elif event < 0.86:
            call = rng.choice(recent)
            left.add(call)
            world.withdraw(call)
        elif event < 0.87:
            for call, record in world.records.items():
                if record.request.instance == instance:
                    left.add(call)
            world.lose_instance(instance)
        elif event < 0.88:
            listed = rng.sample(world.listed, rng.randint(0, 4))
            slots = rng.randint(1, 5)
            world.set_target_list([t._replace(slots=slots) for t in listed])
        else:
            world.run(rng.choice([1, 20, 90]))

    def _check_indexes(self, world: _World) -> None:
        scheduler = world.scheduler
        waiting = list(scheduler.list_waiting())
        self.assertEqual(len(waiting), len(scheduler))
        self.assertLessEqual(
            scheduler.kept_prompts.waiting_count, len(waiting)
        )
        for call in waiting:
            self.assertTrue(scheduler.is_waiting(call.instance, call.call))
        if scheduler.customer_order.is_by_customer:
            ordered = list(scheduler.customer_order.iterate([]))
            self.assertEqual(len(ordered), len(scheduler))


class RepeatedRequestTest(unittest.TestCase):
    """An instance asks again, since its link was lost with the decision."""

    def test_call_waits_once_and_holds_one_slot(self) -> None:
        """Whether its first request waits or has obtained a slot."""
        for order in CUSTOMER_ORDERS:
            with self.subTest(order=order):
                world = PoolWorld(targets=2, slots=1, customer_order=order)
                scheduler = world.scheduler
                requests = [world.arrive(KINDS[0]).request for _ in range(4)]
                for request in requests:
                    list(scheduler.submit(request, None))
                    self.assertEqual(2, scheduler.targets.held_count)
                    self.assertLessEqual(len(scheduler), 2)
                for request in requests:
                    list(scheduler.withdraw(request.instance, request.call))
                list(scheduler.expire())
                self.assertEqual(0, scheduler.targets.held_count)
                self.assertEqual(0, len(scheduler))


if __name__ == '__main__':
    unittest.main()
