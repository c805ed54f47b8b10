"""Division of a large service into pools, each with its own scheduler.

The tests guard against targets in no pool or in two, pools that change when
targets are lost, pools or failure domains that receive more calls than their
slots can take, and traffic between domains that isn't needed.
"""

import unittest
import unittest.mock

from lagoonbend._internal.scheduling import pools
from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import CallOrigin
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolPlan
from lagoonbend.scheduling import PoolWaitTimes
from lagoonbend_entry._internal.coordination.pool_chooser import PoolChooser

DOMAINS = ('d0', 'd1', 'd2', 'd3')


def list_targets(
    count: int, domains: tuple[str, ...] = ('d',)
) -> list[ListedTarget]:
    """Return targets with six slots each, spread over the domains."""
    return [
        ListedTarget(
            f's{n}',
            'chat',
            '10.0.0.1',
            80,
            domains[n % len(domains)],
            6,
            False,
        )
        for n in range(count)
    ]


def measure_call_shares(
    plan: PoolPlan,
    domain: str,
    unreachable_domains: frozenset[str] = frozenset(),
) -> dict[str, float]:
    """Return the share of a domain's calls that goes to each domain."""
    shares: dict[str, float] = {}
    wait_times = PoolWaitTimes()
    for number in range(2_000):
        origin = CallOrigin(f'k{number}', domain, unreachable_domains)
        pool = plan.choose(origin, wait_times, 0)
        assert pool is not None
        shares[pool.domain] = shares.get(pool.domain, 0.0) + 1 / 2_000
    return shares


class PoolChooserTest(unittest.TestCase):
    """Choice of the pool of a call that some targets must not run."""

    def setUp(self) -> None:
        """Create the chooser of an instance for a service of many pools."""
        self.targets = list_targets(120, DOMAINS)
        facts = unittest.mock.Mock()
        facts.target_directory.list_service.return_value = self.targets
        fleet = unittest.mock.Mock(address='i1', failure_domain='d0')
        fleet.list_unreachable_domains.return_value = frozenset()
        self.chooser = PoolChooser(fleet, facts, PausedClock())

    # Guards against a stream that is refused although targets of its version
    # are left, in pools that it isn't offered to.
    def test_pool_has_a_target_that_may_run_the_call(self) -> None:
        """Two targets of 120 are permitted."""
        permitted = self.targets[17:19]
        excluded = tuple(
            target.target for target in self.targets if target not in permitted
        )
        for _ in range(20):
            pool = Pool.parse(self.chooser.choose('chat', (), excluded))
            self.assertTrue(set(pool.select(permitted)), pool)

    def test_call_that_no_target_may_run_gets_a_pool(self) -> None:
        """Its decider refuses the call."""
        excluded = tuple(target.target for target in self.targets)
        pool = Pool.parse(self.chooser.choose('chat', (), excluded))
        self.assertGreater(pool.shard_count, 1)

    def test_targets_of_pools_are_not_selected_for_each_call(self) -> None:
        """Guards against a cost of each call that grows with the targets."""
        excluded = (self.targets[0].target,)
        self.chooser.choose('chat', ())
        with unittest.mock.patch.object(
            Pool, 'select', return_value=()
        ) as select:
            self.chooser.choose('chat', (), excluded)
        select.assert_not_called()


class PoolsTest(unittest.TestCase):
    """Assignment of targets to pools, and choice of the pool of a call."""

    def test_each_target_belongs_to_exactly_one_pool(self) -> None:
        """Pools partition the targets, for any number of them and domains."""
        for count in (3, 45, 56, 600):
            for domains in (('d',), DOMAINS):
                targets = list_targets(count, domains)
                chosen = [
                    target.target
                    for pool in PoolPlan('chat', targets).pools
                    for target in pool.select(targets)
                ]
                names = sorted(target.target for target in targets)
                self.assertEqual(names, sorted(chosen))

    def test_pools_outlive_the_loss_of_a_quarter(self) -> None:
        """The pools stay the same when a quarter of the targets is lost.

        A new division would move targets between pools during the outage.
        """
        for size in (45, 56):
            for domains in (('d',), DOMAINS):
                targets = list_targets(size, domains)
                all_pools = PoolPlan('chat', targets).pools
                remaining_pools = PoolPlan('chat', targets[size // 4 :]).pools
                self.assertEqual(4, len(all_pools))
                self.assertEqual(all_pools, remaining_pools)
        self.assertEqual(1, len(PoolPlan('chat', list_targets(9)).pools))

    def test_names_travel_whole(self) -> None:
        """Names with special characters parse to the same pool."""
        for service in ('chat', 'a#b', 'x/1'):
            for domain in ('', 'north', 'a#1/2'):
                pool = Pool(service, domain, 2, 5)
                self.assertEqual(pool, Pool.parse(pool.name))

    def test_lost_target_moves_no_other_one(self) -> None:
        """The shard of a target depends only on the number of shards."""
        targets = list_targets(50)
        before = {t.target: pools.find_shard(t.target, 3) for t in targets}
        after = {t.target: pools.find_shard(t.target, 3) for t in targets[1:]}
        for name, shard in after.items():
            self.assertEqual(before[name], shard)

    def test_calls_follow_the_slots_and_sessions_stay(self) -> None:
        """Calls are proportional to slots, and a session keeps its pool."""
        targets = list_targets(45)
        plan = PoolPlan('chat', targets)
        wait_times = PoolWaitTimes()
        counts: dict[Pool, int] = {}
        for number in range(6_000):
            origin = CallOrigin(f'k{number}', 'd')
            pool = plan.choose(origin, wait_times, 0)
            assert pool is not None
            self.assertEqual(pool, plan.choose(origin, wait_times, 0))
            counts[pool] = counts.get(pool, 0) + 1
        for pool, count in counts.items():
            size = len(pool.select(targets))
            self.assertAlmostEqual(size / 45, count / 6_000, delta=0.03)

    def test_calls_leave_a_pool_with_a_long_wait(self) -> None:
        """Calls return as the reported wait decays with its age."""
        plan = PoolPlan('chat', list_targets(45))
        wait_times = PoolWaitTimes()
        origin = CallOrigin('k', 'd')
        home = plan.choose(origin, wait_times, 0)
        assert home is not None
        wait_times.record_wait(home.name, 500, 0)
        self.assertNotEqual(home, plan.choose(origin, wait_times, 0))
        self.assertEqual(home, plan.choose(origin, wait_times, 3_000))

    def test_refused_call_goes_to_each_other_pool_once(self) -> None:
        """No pool is tried twice, and none is left once all have refused."""
        plan = PoolPlan('chat', list_targets(45, DOMAINS))
        tried: tuple[str, ...] = ()
        for _ in plan.pools:
            origin = CallOrigin('k', 'd1', tried=tried)
            pool = plan.choose(origin, PoolWaitTimes(), 0)
            assert pool is not None
            self.assertNotIn(pool.name, tried)
            tried = (*tried, pool.name)
        origin = CallOrigin('k', 'd1', tried=tried)
        self.assertIsNone(plan.choose(origin, PoolWaitTimes(), 0))


class DomainsTest(unittest.TestCase):
    """Calls stay in their domain unless its slots are too few."""

    def test_calls_stay_where_the_slots_suffice(self) -> None:
        """Domains of equal size each serve their own calls."""
        plan = PoolPlan('chat', list_targets(56, DOMAINS))
        for domain in DOMAINS:
            self.assertEqual({domain}, set(measure_call_shares(plan, domain)))

    def test_domain_with_few_slots_sends_the_rest_elsewhere(self) -> None:
        """Calls are spread by slots, so that all domains fill up equally."""
        targets = list_targets(56, DOMAINS)
        other_targets = [t for t in targets if t.failure_domain != 'd0']
        d0_targets = [t for t in targets if t.failure_domain == 'd0'][:7]
        shares = measure_call_shares(
            PoolPlan('chat', other_targets + d0_targets), 'd0'
        )
        self.assertAlmostEqual(4 * 7 / 49, shares['d0'], delta=0.04)
        for domain in DOMAINS[1:]:
            self.assertAlmostEqual(
                (1 - 28 / 49) / 3, shares[domain], delta=0.04
            )

    def test_silent_domain_gets_no_calls(self) -> None:
        """Calls of a domain without targets go to reachable domains only."""
        targets = list_targets(56, DOMAINS)
        other_targets = [t for t in targets if t.failure_domain != 'd0']
        unreachable_domains = frozenset({'d1'})
        shares = measure_call_shares(
            PoolPlan('chat', other_targets), 'd0', unreachable_domains
        )
        self.assertEqual({'d2', 'd3'}, set(shares))


if __name__ == '__main__':
    unittest.main()
