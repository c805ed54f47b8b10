"""Calls to cold targets: all instances together keep to their rate.

Guards against a wave of calls that ends a target which has just started,
comes back cold, or whose failure domain is used again; against two deciders
in a partition that send twice the rate; against slow cold targets that count
as faulty; and against callers that are told to come back long after targets
are warm.
"""

import collections
from collections.abc import Iterable
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import ColdTargets
from lagoonbend.facts import ColdTolerance
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import ServiceProfile
from lagoonbend.facts import TargetDirectory
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import PoolScheduler
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.platform import rules_codec
from lagoonbend_entry._internal.platform import target_codec

COLD_MS = 3_000
RATE_PER_S = 17.0
TOLERANCE = ColdTolerance(1.5, 5.0)
PROFILE = ServiceProfile(
    'chat', is_engine=True, cold_start_ms=COLD_MS, cold_rate_per_s=RATE_PER_S
)
STEP_MS = 10
HOLD_MS = 60
"""A slot is free again so soon that slots alone allow 66 calls a second."""
INSTANCES = 12


def list_target(
    name: str, *, born_ms: int = 1, cold_ms: int | None = None
) -> ListedTarget:
    """Return a target with four slots."""
    return ListedTarget(
        name, 'chat', '10.0.0.1', 80, 'd', 4, False, None, born_ms, cold_ms
    )


class ColdWorld:
    """Schedulers that share cold targets on a paused clock.

    :param decider_shares: share of the rate of each decider.
    :param fallbacks: number of fallback schedulers beside them.
    """

    def __init__(self, decider_shares: list[float], fallbacks: int) -> None:
        self.clock = PausedClock(100_000)
        self.cold = ColdTargets(self.clock, TOLERANCE)
        self.sent_ms: dict[str, list[int]] = collections.defaultdict(list)
        self.denied: list[int] = []
        self._count = 0
        self._ends: list[tuple[int, PoolScheduler, str, str]] = []
        self.schedulers = []
        for share in decider_shares:
            self.schedulers.append(self.add(share, is_fallback=False))
        for _ in range(fallbacks):
            self.schedulers.append(self.add(1 / INSTANCES, is_fallback=True))

    def add(self, share: float, *, is_fallback: bool) -> PoolScheduler:
        """Return a scheduler of one instance."""
        scheduler = PoolScheduler(
            PROFILE,
            self.clock,
            SharedLimits(LimitTolerance(0.25, 0.0, 8.0)),
            Invariants(strict=True),
            None,
            self.cold,
        )
        scheduler.targets.rate_share = share
        scheduler.targets.is_fallback = is_fallback
        return scheduler

    def list_targets(self, *targets: ListedTarget) -> None:
        """Apply a list of targets that have just become cold."""
        for target in targets:
            self.cold.record(target, is_known=False, is_first=False)
        for scheduler in self.schedulers:
            list(scheduler.set_targets(PROFILE, targets))

    def submit(self, scheduler: PoolScheduler) -> None:
        """Submit a call of the most urgent rank."""
        self._count += 1
        request = SlotRequest(
            call=f'c{self._count}',
            instance='i',
            failure_domain='d',
            pool='chat',
            rank=0,
            route_rank=0,
            customer='',
            cost_units=0.0,
            waited_ms=0,
            objective_ms=600,
            deadline_ms=5_000,
        )
        self.take(scheduler, scheduler.submit(request, None))

    def take(
        self, scheduler: PoolScheduler, decisions: Iterable[SlotDecision]
    ) -> None:
        """Record decisions; granted calls are sent at once."""
        for decision in list(decisions):
            if decision.denial is not None:
                self.denied.append(decision.retry_after_ms)
                continue
            now_ms = self.clock.now_ms()
            self.sent_ms[decision.target].append(now_ms)
            self._ends.append(
                (now_ms + HOLD_MS, scheduler, decision.call, decision.target)
            )

    def run(self, span_ms: int, *, calls_per_step: int = 2) -> None:
        """Let calls arrive at each scheduler."""
        for _ in range(span_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            due, self._ends = (
                [e for e in self._ends if e[0] <= self.clock.now_ms()],
                [e for e in self._ends if e[0] > self.clock.now_ms()],
            )
            for _, scheduler, call, target in due:
                self.take(
                    scheduler,
                    scheduler.release(
                        'i', call, target, SlotOutcome.ANSWERED, 900, 'd'
                    ),
                )
            for scheduler in self.schedulers:
                for _ in range(calls_per_step):
                    self.submit(scheduler)
                self.take(scheduler, scheduler.expire())

    def count_worst_second(self, target: str) -> int:
        """Return the most calls that a target got in a second."""
        times = self.sent_ms[target]
        return max(
            (
                sum(start <= at_ms < start + 1_000 for at_ms in times)
                for start in times
            ),
            default=0,
        )


class RateTest(unittest.TestCase):
    """Load of several times what targets serve, while they are cold."""

    def check(self, world: ColdWorld, target: str = 't0') -> None:
        """Check that no second exceeds what is tolerated."""
        allowed = RATE_PER_S * TOLERANCE.overshoot_ratio + TOLERANCE.slack
        self.assertLessEqual(world.count_worst_second(target), allowed)

    def test_one_decider_keeps_to_the_rate(self) -> None:
        """The targets get that many calls, and all once they are warm."""
        world = ColdWorld([1.0], 0)
        world.list_targets(list_target('t0', cold_ms=COLD_MS))
        world.run(COLD_MS - STEP_MS)
        self.check(world)
        cold_count = len(world.sent_ms['t0'])
        self.assertGreaterEqual(cold_count, 0.9 * RATE_PER_S * COLD_MS / 1_000)
        world.run(1_000)
        self.assertGreater(len(world.sent_ms['t0']) - cold_count, 40)

    def test_both_sides_of_a_partition_keep_to_it_together(self) -> None:
        """Beside the fallback schedulers of all instances."""
        for share in (0.5, 0.25, 0.08):
            world = ColdWorld([share, 1.0 - share], INSTANCES)
            world.list_targets(list_target('t0', cold_ms=COLD_MS))
            world.run(COLD_MS - STEP_MS)
            self.check(world)

    def test_killed_decider_does_not_start_the_rate_anew(self) -> None:
        """The next one begins without calls that it may send at once."""
        world = ColdWorld([1.0], 0)
        world.list_targets(list_target('t0', cold_ms=COLD_MS))
        for _ in range(4):
            world.run(500)
            world.schedulers = [world.add(1.0, is_fallback=False)]
            world.list_targets(list_target('t0', cold_ms=COLD_MS))
        self.check(world)

    def test_slow_answers_of_a_cold_target_are_no_fault(self) -> None:
        """Neither its speed nor its fault rate changes."""
        world = ColdWorld([1.0], 0)
        world.list_targets(list_target('t0', cold_ms=COLD_MS))
        world.run(1_000)
        load = world.schedulers[0].targets.find('t0')
        assert load is not None
        world.schedulers[0].targets.record_outcome(
            load, SlotOutcome.SILENT, 'd'
        )
        self.assertEqual(1.0, load.slowness)
        self.assertEqual(0.0, load.faults.fault_rate)

    def test_callers_return_when_targets_are_warm(self) -> None:
        """All targets become cold, under half of the load that they serve."""
        world = ColdWorld([1.0], 0)
        world.list_targets(list_target('t0', cold_ms=0))
        for _ in range(50):
            world.run(2 * STEP_MS, calls_per_step=0)
            world.submit(world.schedulers[0])
        self.assertEqual([], world.denied)
        world.list_targets(list_target('t0', cold_ms=1_000))
        for _ in range(40):
            world.run(3 * STEP_MS, calls_per_step=0)
            world.submit(world.schedulers[0])
            for retry_after_ms in world.denied:
                self.assertLessEqual(retry_after_ms, 1_000)
        self.assertTrue(world.denied)


class ColdTimeTest(unittest.TestCase):
    """What one instance takes for cold, by the registrations."""

    def setUp(self) -> None:
        """Create a directory that has read its first list."""
        self.clock = PausedClock(100_000)
        self.cold = ColdTargets(self.clock, TOLERANCE)
        self.states: dict[str, ListedTarget | None] = {}
        self.directory = TargetDirectory(
            lambda item: self.states[item.key], self.cold
        )
        self.revision = 0
        self.apply(list_target('old'))

    def apply(self, target: ListedTarget) -> None:
        """Apply the registration of a target."""
        self.revision += 1
        key = f'servers/{target.target}'
        self.states[key] = target
        item = PublishedItem(key, self.revision, b'')
        self.directory.apply([item], self.clock.now_ms())

    def find_left_ms(self, name: str) -> int:
        """Return for how long a target is cold."""
        target = self.directory.find(name)
        assert target is not None
        return self.cold.find_left_ms(target, PROFILE)

    def test_registration_tells(self) -> None:
        """Also of a target that becomes cold again in the same life."""
        self.assertEqual(0, self.find_left_ms('old'))
        self.apply(list_target('old', cold_ms=2_000))
        self.clock.advance(500)
        self.assertEqual(1_500, self.find_left_ms('old'))
        self.apply(list_target('old', cold_ms=0))
        self.assertEqual(0, self.find_left_ms('old'))

    def test_new_life_without_a_value_is_cold(self) -> None:
        """Under a new identity or the old one, for the configured time."""
        self.apply(list_target('new'))
        self.apply(list_target('old', born_ms=2))
        self.clock.advance(1_000)
        for name in ('new', 'old'):
            self.assertEqual(COLD_MS - 1_000, self.find_left_ms(name))

    def test_targets_of_a_domain_that_is_used_again_are_cold(self) -> None:
        """Until they say otherwise."""
        self.directory.evacuate({'d'}, self.clock.now_ms())
        self.directory.evacuate(set(), self.clock.now_ms())
        self.assertEqual(COLD_MS, self.find_left_ms('old'))
        self.apply(list_target('old', cold_ms=0))
        self.assertEqual(0, self.find_left_ms('old'))

    def test_end_of_an_evacuation_does_not_shorten_a_cold_time(self) -> None:
        """The target has said that it is cold for longer."""
        self.apply(list_target('old', cold_ms=4 * COLD_MS))
        self.directory.evacuate({'d'}, self.clock.now_ms())
        self.directory.evacuate(set(), self.clock.now_ms())
        self.assertEqual(4 * COLD_MS, self.find_left_ms('old'))

    def test_target_that_is_gone_is_forgotten(self) -> None:
        """Its key in the store isn't its identity."""
        self.apply(list_target('new', cold_ms=COLD_MS))
        target = self.directory.find('new')
        assert target is not None
        removal = PublishedItem('servers/new', self.revision + 1, None)
        self.states['servers/new'] = None
        self.directory.apply([removal], self.clock.now_ms())
        self.assertEqual(0, self.cold.find_left_ms(target, PROFILE))

    def test_service_without_a_rate_has_no_cold_targets(self) -> None:
        """Other deployments are served as before."""
        self.apply(list_target('old', cold_ms=2_000))
        target = self.directory.find('old')
        assert target is not None
        profile = PROFILE._replace(cold_rate_per_s=0.0)
        self.assertEqual(0, self.cold.find_left_ms(target, profile))


class DecodingTest(unittest.TestCase):
    """Values that any writer may have written."""

    def test_odd_times_count_as_unknown(self) -> None:
        """The registration is used all the same."""
        for value, expected in (
            ('0', 0),
            ('2500', 2_500),
            ('-1', None),
            ('1e9', None),
            ('600001', None),
            ('"soon"', None),
            ('true', None),
            ('null', None),
        ):
            content = (
                '{"service": "chat", "address": "10.0.0.1:80", "zone": "d",'
                ' "slots": 4, "state": "ready", "cold-remaining-ms": %s}'
            )
            item = PublishedItem('servers/t', 1, (content % value).encode())
            target = target_codec.decode_target(item)
            assert target is not None
            self.assertEqual(expected, target.cold_ms)

    def test_odd_rates_are_an_error(self) -> None:
        """The configuration before stays in force."""
        content = (
            '{"version": 1, "routes": [], "limits": {"max-header-bytes": 1,'
            ' "max-body-bytes": 1, "header-timeout-ms": 1,'
            ' "idle-timeout-ms": 1}, "services": [{"name": "chat",'
            ' "cold-start-s": 3.5, "cold-per-s": %s}]}'
        )
        rules = rules_codec.decode_rules((content % '17.0').encode())
        profile = rules.services['chat']
        self.assertEqual(3_500, profile.cold_start_ms)
        self.assertEqual(17.0, profile.cold_rate_per_s)
        for value in ('-1', '"many"', '1e99'):
            with self.assertRaises(DocumentError):
                rules_codec.decode_rules((content % value).encode())

    def test_tolerance_bounds_the_rate_of_deciders(self) -> None:
        """A burst of a quarter of a second must fit into it."""
        exact = ColdTolerance(1.0, 0.0)
        self.assertEqual(8.0, exact.find_decider_rate_per_s(10.0, 0.25))
        self.assertEqual(10.0, TOLERANCE.find_decider_rate_per_s(10.0, 0.25))


if __name__ == '__main__':
    unittest.main()
