"""Cached prompts against the wait for their targets.

Guards against calls that wait longer for a target than its cache saves, or
for one that will not take them; against free slots that stay idle beside
waiting calls; against a prompt that all targets read at once; and against
calls sent to a target for a prompt that it had cached before a restart.
"""

from collections.abc import Callable
import random
import statistics
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from lagoonbend.scheduling import choose_option
from lagoonbend.scheduling import HeldSlot
from lagoonbend.scheduling import TargetLoad
from lagoonbend.scheduling import TargetOption
from tests.lib.pool_world import CallKind
from tests.lib.pool_world import CallRecord
from tests.lib.pool_world import PoolWorld

HOLD_MS = 500
KIND = CallKind(0, HOLD_MS, objective_ms=2_000, prompt_tokens=20_000)
"""Reading the prompt takes 287 ms."""
SHORT_KIND = CallKind(0, HOLD_MS, objective_ms=2_000, prompt_tokens=10)
SLOTS = 4
COSTS_MS = strategies.floats(0, 2_000)
OPTIONS = strategies.lists(
    strategies.builds(
        TargetOption,
        target=strategies.uuids().map(str),
        free_slots=strategies.integers(0, 3),
        wait_ms=COSTS_MS | strategies.just(float('inf')),
        first_byte_ms=COSTS_MS,
        placement_ms=COSTS_MS,
        behind_ms=COSTS_MS,
        kept_ms=COSTS_MS,
        shared_ms=COSTS_MS,
        needed_tokens=strategies.integers(0, 100),
        free_tokens=strategies.none() | strategies.floats(0, 100),
    ).map(lambda o: o._replace(wait_ms=0.0) if o.free_slots else o),
    max_size=6,
)


class ChoiceTest(unittest.TestCase):
    """The decision alone, for any estimates."""

    @settings(deadline=None, max_examples=300)
    @given(OPTIONS, strategies.integers(-100, 2_000))
    def test_wait_never_costs_more(
        self, options: list[TargetOption], left_ms: int
    ) -> None:
        """A wait is for a target with memory, in time, and costs less."""
        now_ms = 10_000
        choice = choose_option(options, now_ms, now_ms + left_ms)
        now_costs = [o.cost_ms for o in options if o.free_slots]
        if choice is None:
            self.assertFalse(now_costs)
            return
        option = next(o for o in options if o.target == choice.target)
        if choice.wait_until_ms is None:
            self.assertTrue(option.free_slots)
            return
        self.assertLess(choice.cost_ms, min(now_costs))
        self.assertFalse(option.free_slots)
        self.assertTrue(option.fits)
        self.assertLessEqual(choice.wait_until_ms, now_ms + left_ms)
        self.assertLessEqual(
            choice.wait_until_ms + option.start_cost_ms,
            now_ms + min(now_costs),
        )


class KeptWorld(PoolWorld):
    """A pool whose answers take as long as expected."""

    answers_as_expected = True

    @property
    def holder(self) -> TargetLoad:
        """The target t0."""
        load = self.scheduler.targets.find('t0')
        assert load is not None
        return load

    def fill(self, ages_ms: tuple[int, ...], *, tokens: int = 10) -> None:
        """Let other calls use slots of t0."""
        for number, age_ms in enumerate(ages_ms):
            started_ms = self.clock.now_ms() - age_ms
            call = f'fill-{age_ms}-{number}'
            self.scheduler.register(
                HeldSlot(call, 'i1', 't0', 0, (), tokens, started_ms, 100)
            )

    def end_others(self) -> None:
        """Let these calls end."""
        self._record_decisions(self.scheduler.drop_instance('i1'))

    def find_target(self, record: CallRecord) -> str | None:
        """Return the target that a call obtained; None if it waits."""
        return record.decision.target if record.decision else None


def build_full_holder(
    *, tokens: int = 10, memory_tokens: int = 0, kept_prompts: str = 'on'
) -> tuple[KeptWorld, CallRecord]:
    """Return a pool and a call whose prompt t0, which is full, has cached.

    A slot of t0 is expected to be free in 125 ms; t1 has free slots.
    """
    world = KeptWorld(
        2,
        SLOTS,
        memory_tokens=memory_tokens,
        cold_rate_per_s=1.0,
        kept_prompts=kept_prompts,
    )
    world.arrive(KIND, session='hot', excluded=('t1',))
    world.run(HOLD_MS)
    world.fill((400, 300, 200, 100), tokens=tokens)
    return world, world.arrive(KIND, session='hot')


def leave(world: KeptWorld) -> None:
    """Remove t0 from the target list."""
    world.set_target_list(world.listed[1:])


def restart(world: KeptWorld) -> None:
    """Holder restarts: list t0 with a later start."""
    target = world.listed[0]
    for born_ms in (2, 3):
        world.set_target_list(
            [target._replace(born_ms=born_ms), world.listed[1]]
        )


def eject(world: KeptWorld) -> None:
    """Let t0 be ejected."""
    world.holder.faults.ejected_until_ms = world.clock.now_ms() + 1_000


def slow_down(world: KeptWorld) -> None:
    """Let answers of t0 take three times as long."""
    world.holder.slowness *= 3


def cool(world: KeptWorld) -> None:
    """Let t0 become cold."""
    target = world.listed[0]._replace(cold_ms=5_000)
    world.cold.record(target, is_known=False, is_first=False)


def use_memory(world: KeptWorld) -> None:
    """Let the calls at t0 need more memory."""
    world.holder.held_tokens += 45_000


def evict(world: KeptWorld) -> None:
    """Let prompts at t0 take the place of the one that it has cached."""
    world.holder.cache.record_prompt((), 10**9)


def fill_further(world: KeptWorld) -> None:
    """Let calls that another scheduler granted run at t0."""
    world.fill((0, 1, 2))


CAUSES: list[Callable[[KeptWorld], object]] = [
    leave,
    restart,
    eject,
    slow_down,
    cool,
    evict,
    use_memory,
    fill_further,
]


class FullHolderTest(unittest.TestCase):
    """Load: the only target with a prompt cached has no free slot."""

    def test_call_waits_for_a_slot_that_is_free_soon(self) -> None:
        """With ``off`` it reads the prompt at the other target."""
        world, call = build_full_holder(kept_prompts='off')
        self.assertEqual('t1', world.find_target(call))
        world, call = build_full_holder()
        self.assertIsNone(world.find_target(call))
        world.run(100)
        world.end_others()
        self.assertEqual('t0', world.find_target(call))
        self.assertEqual((1, 0), (world.totals.waits, world.totals.abandoned))
        self.assertAlmostEqual(187, world.totals.saved_ms, delta=60)

    def test_waiting_call_leaves_the_free_slot_to_others(self) -> None:
        """A call behind it starts at once."""
        world, call = build_full_holder()
        other = world.arrive(SHORT_KIND)
        self.assertEqual('t1', world.find_target(other))
        self.assertIsNone(world.find_target(call))

    def test_wait_ends_when_it_no_longer_pays(self) -> None:
        """No slot of t0 becomes free."""
        world, call = build_full_holder()
        world.run(300)
        self.assertEqual('t1', world.find_target(call))
        self.assertEqual(1, world.totals.abandoned)

    def test_wait_ends_when_the_target_changes(self) -> None:
        """The call takes the other target within a check."""
        world, call = build_full_holder(memory_tokens=60_000)
        world.run(50)
        self.assertIsNone(world.find_target(call))
        for cause in CAUSES:
            with self.subTest(cause=cause.__name__):
                world, call = build_full_holder(memory_tokens=60_000)
                self.assertIsNone(world.find_target(call))
                cause(world)
                world.run(50)
                self.assertEqual('t1', world.find_target(call))

    def test_caller_without_time_does_not_wait(self) -> None:
        """Its latest start comes before the slot is expected to be free."""
        world, _ = build_full_holder()
        kind = KIND._replace(objective_ms=700)
        self.assertEqual(
            't1', world.find_target(world.arrive(kind, session='hot'))
        )

    def test_wait_ends_before_the_latest_start(self) -> None:
        """The cache would save 573 ms, but a start is due after 225 ms."""
        kind = KIND._replace(prompt_tokens=40_000, objective_ms=1_300)
        world = KeptWorld(2, SLOTS, kept_prompts='on')
        world.arrive(kind, session='hot', excluded=('t1',))
        world.run(HOLD_MS)
        world.fill((400, 300, 200, 100))
        call = world.arrive(kind, session='hot')
        self.assertIsNone(world.find_target(call))
        world.run(200)
        self.assertEqual('t1', world.find_target(call))

    def test_call_that_does_not_fit_does_not_wait(self) -> None:
        """Memory short: 54,000 tokens may be used, 20,000 are needed."""
        for tokens, target in ((8_400, None), (8_600, 't1')):
            world, call = build_full_holder(
                tokens=tokens, memory_tokens=60_000
            )
            self.assertEqual(target, world.find_target(call))

    def test_evicted_prompt_is_not_waited_for(self) -> None:
        """Holder evicts: a longer prompt has run there since."""
        world, _ = build_full_holder(memory_tokens=60_000)
        evicting = KIND._replace(prompt_tokens=50_000)
        world.end_others()
        world.run(HOLD_MS)
        world.arrive(evicting, excluded=('t1',))
        world.run(HOLD_MS)
        world.fill((400, 300, 200, 100))
        call = world.arrive(KIND, session='hot')
        self.assertEqual('t1', world.find_target(call))

    def test_new_decider_knows_nothing(self) -> None:
        """Failure: it neither knows the prompt, nor how long calls run."""
        world = KeptWorld(2, SLOTS, kept_prompts='on')
        world.fill((400, 300, 200, 100))
        call = world.arrive(KIND, session='hot')
        self.assertEqual('t1', world.find_target(call))
        world.scheduler.register(
            HeldSlot('c', 'i1', 't0', 0, call.request.prompt, 10, 0, 100)
        )
        later = world.arrive(KIND, session='hot')
        self.assertEqual('t1', world.find_target(later))


class HotPromptTest(unittest.TestCase):
    """Load: many calls ask for one prompt at once."""

    def check_first_reader(
        self, *domains: str, count: int = 10, gap_ms: int = 0
    ) -> None:
        """Check where calls go that arrive after one another."""
        world = KeptWorld(3, SLOTS, kept_prompts='on')
        targets = []
        for number in range(count):
            domain = domains[number % len(domains)]
            call = world.arrive(KIND, session='hot', failure_domain=domain)
            targets.append(world.find_target(call))
            world.run(gap_ms)
        self.assertNotIn(None, targets)
        self.assertEqual(1, len(set(targets[: SLOTS - 1])))
        self.assertNotEqual(targets[0], targets[SLOTS - 1])
        self.assertEqual(targets[SLOTS - 1], targets[SLOTS])

    def test_one_target_reads_first(self) -> None:
        """A second one reads it before the first one is full."""
        self.check_first_reader('d0')

    def test_second_target_reads_while_the_first_has_a_slot(self) -> None:
        """Also once the first one has read the prompt."""
        self.check_first_reader('d0', count=SLOTS + 1, gap_ms=90)

    def test_callers_of_two_domains_share_the_reader(self) -> None:
        """The way to another domain takes less time than the prompt."""
        self.check_first_reader('d0', 'd1')


class MixedLoadTest(unittest.TestCase):
    """Load: twelve sessions with long prompts use most slots of a pool."""

    def play(self, kept_prompts: str) -> tuple[float, int]:
        """Return the mean time to the first byte, and the waits."""
        world = KeptWorld(4, SLOTS, kept_prompts=kept_prompts)
        chance = random.Random(5)
        for _ in range(600):
            session = f's{chance.randrange(12)}'
            domain = f'd{chance.randrange(2)}'
            world.arrive(KIND, session=session, failure_domain=domain)
            self.check_no_idle_slot(world)
            world.run(chance.choice((10, 20, 50)))
            self.check_no_idle_slot(world)
        world.run(3_000)
        self.assertEqual(0, len(world.scheduler))
        decisions = [r.decision for r in world.records.values() if r.decision]
        times_ms = [
            decision.waited_ms + decision.expected_ms
            for decision in decisions
            if decision.denial is None
        ]
        return statistics.mean(times_ms), world.totals.waits

    def check_no_idle_slot(self, world: KeptWorld) -> None:
        """Check that no call waits beside a free slot that it may take."""
        scheduler = world.scheduler
        for request in scheduler.list_waiting():
            if not scheduler.kept_prompts.is_waiting(request):
                self.assertIsNone(
                    scheduler.targets.choose(request, world.clock.now_ms())
                )

    def test_no_slot_is_idle_beside_a_waiting_call(self) -> None:
        """First bytes don't come later than without waits."""
        off_ms, _ = self.play('off')
        on_ms, waits = self.play('on')
        self.assertGreater(waits, 0)
        self.assertLessEqual(on_ms, off_ms)


class RestartedTargetTest(unittest.TestCase):
    """Load: the holder of a prompt restarts between two calls with it."""

    def test_only_a_later_start_clears_the_cache(self) -> None:
        """Also with ``off``; an older copy of a registration is no restart."""
        for born_ms, new_tokens in ((1, 0), (2, 0), (3, 20_000)):
            world = PoolWorld(targets=1)
            target = world.listed[0]
            world.set_target_list([target._replace(born_ms=2)])
            prompt = world.arrive(KIND).request.prompt
            world.set_target_list([target._replace(born_ms=born_ms)])
            load = world.scheduler.targets.find('t0')
            assert load is not None
            self.assertEqual(new_tokens, load.cache.count_new_tokens(prompt))


if __name__ == '__main__':
    unittest.main()
