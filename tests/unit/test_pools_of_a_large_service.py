"""Pattern: a service too large for one scheduler."""

import unittest

from lagoonbend._internal.scheduling import pools
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import CallOrigin
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolPlan
from lagoonbend.scheduling import PoolWaitTimes

DOMAINS = ('d0', 'd1', 'd2', 'd3')


def list_targets(
    count: int, domains: tuple[str, ...] = ('d',)
) -> list[ListedTarget]:
    """Return targets with six places each, by turns in the domains."""
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


def count_calls(
    plan: PoolPlan, domain: str, silent: frozenset[str] = frozenset()
) -> dict[str, float]:
    """Return the part of a domain's calls that goes to each domain."""
    parts: dict[str, float] = {}
    loads = PoolWaitTimes()
    for number in range(2_000):
        origin = CallOrigin(f'k{number}', domain, silent)
        pool = plan.choose(origin, loads, 0)
        assert pool is not None
        parts[pool.domain] = parts.get(pool.domain, 0.0) + 1 / 2_000
    return parts


class PoolsTest(unittest.TestCase):
    """Each target in one pool; calls in proportion and by wait."""

    def test_each_target_belongs_to_exactly_one_pool(self) -> None:
        """Whatever their number and the number of domains."""
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
        """Otherwise every target would change its pool in a bad moment."""
        for size in (45, 56):
            for domains in (('d',), DOMAINS):
                targets = list_targets(size, domains)
                whole = PoolPlan('chat', targets).pools
                left = PoolPlan('chat', targets[size // 4 :]).pools
                self.assertEqual(4, len(whole))
                self.assertEqual(whole, left)
        self.assertEqual(1, len(PoolPlan('chat', list_targets(9)).pools))

    def test_names_travel_whole(self) -> None:
        """Also of services and domains with signs in their names."""
        for service in ('chat', 'a#b', 'x/1'):
            for domain in ('', 'north', 'a#1/2'):
                pool = Pool(service, domain, 2, 5)
                self.assertEqual(pool, Pool.parse(pool.name))

    def test_lost_target_moves_no_other_one(self) -> None:
        """While the number of shards stays."""
        targets = list_targets(50)
        before = {t.target: pools.find_shard(t.target, 3) for t in targets}
        after = {t.target: pools.find_shard(t.target, 3) for t in targets[1:]}
        for name, shard in after.items():
            self.assertEqual(before[name], shard)

    def test_calls_follow_the_places_and_sessions_stay(self) -> None:
        """In proportion to what each pool can run."""
        targets = list_targets(45)
        plan = PoolPlan('chat', targets)
        loads = PoolWaitTimes()
        counts: dict[Pool, int] = {}
        for number in range(6_000):
            origin = CallOrigin(f'k{number}', 'd')
            pool = plan.choose(origin, loads, 0)
            assert pool is not None
            self.assertEqual(pool, plan.choose(origin, loads, 0))
            counts[pool] = counts.get(pool, 0) + 1
        for pool, count in counts.items():
            size = len(pool.select(targets))
            self.assertAlmostEqual(size / 45, count / 6_000, delta=0.03)

    def test_calls_leave_a_pool_with_a_long_wait(self) -> None:
        """And come back as the news ages."""
        plan = PoolPlan('chat', list_targets(45))
        loads = PoolWaitTimes()
        origin = CallOrigin('k', 'd')
        home = plan.choose(origin, loads, 0)
        assert home is not None
        loads.record_wait(home.name, 500, 0)
        self.assertNotEqual(home, plan.choose(origin, loads, 0))
        self.assertEqual(home, plan.choose(origin, loads, 3_000))

    def test_refused_call_goes_to_each_other_pool_once(self) -> None:
        """And to none once all have refused it."""
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
    """Bytes between domains are saved, and none is overrun."""

    def test_calls_stay_where_the_places_suffice(self) -> None:
        """Equal domains each serve their own calls."""
        plan = PoolPlan('chat', list_targets(56, DOMAINS))
        for domain in DOMAINS:
            self.assertEqual({domain}, set(count_calls(plan, domain)))

    def test_domain_with_few_places_sends_the_rest_elsewhere(self) -> None:
        """In proportion, so that no domain is filled before the others."""
        targets = list_targets(56, DOMAINS)
        kept = [t for t in targets if t.failure_domain != 'd0']
        few = [t for t in targets if t.failure_domain == 'd0'][:7]
        parts = count_calls(PoolPlan('chat', kept + few), 'd0')
        self.assertAlmostEqual(4 * 7 / 49, parts['d0'], delta=0.04)
        for domain in DOMAINS[1:]:
            self.assertAlmostEqual(
                (1 - 28 / 49) / 3, parts[domain], delta=0.04
            )

    def test_silent_domain_gets_no_calls(self) -> None:
        """A domain without targets uses all that it hears of."""
        targets = list_targets(56, DOMAINS)
        kept = [t for t in targets if t.failure_domain != 'd0']
        silent = frozenset({'d1'})
        parts = count_calls(PoolPlan('chat', kept), 'd0', silent)
        self.assertEqual({'d2', 'd3'}, set(parts))


if __name__ == '__main__':
    unittest.main()
