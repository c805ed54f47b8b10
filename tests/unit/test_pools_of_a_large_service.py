"""Pattern: a service too large for one scheduler."""

import unittest

from lagoonbend._internal.scheduling import pools
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import choose_pool
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import PoolLoads


def list_targets(count: int) -> list[ListedTarget]:
    """Return targets with six places each."""
    return [
        ListedTarget(f's{n}', 'chat', '10.0.0.1', 80, 'd', 6, False)
        for n in range(count)
    ]


class PoolsTest(unittest.TestCase):
    """Each target in one pool; calls in proportion and by wait."""

    def test_each_target_belongs_to_exactly_one_pool(self) -> None:
        """Whatever their number."""
        for count in (3, 45, 56, 600):
            targets = list_targets(count)
            parts = pools.count_parts(targets)
            chosen = [
                target.target
                for part in range(parts)
                for target in Pool('chat', part, parts).select(targets)
            ]
            self.assertEqual(sorted(t.target for t in targets), sorted(chosen))

    def test_number_of_pools_outlives_the_loss_of_a_quarter(self) -> None:
        """Otherwise every target would change its pool in a bad moment."""
        for size in (45, 56):
            whole = pools.count_parts(list_targets(size))
            left = pools.count_parts(list_targets(size - size // 4))
            self.assertEqual((4, 4), (whole, left))
        self.assertEqual(1, pools.count_parts(list_targets(9)))

    def test_names_travel_whole(self) -> None:
        """Also of a service with a sign in its name."""
        for service in ('chat', 'a#b', 'x/1'):
            pool = Pool(service, 2, 5)
            self.assertEqual(pool, Pool.parse(pool.name))

    def test_lost_target_moves_no_other_one(self) -> None:
        """While the number of pools stays."""
        targets = list_targets(50)
        before = {t.target: pools.find_part(t.target, 3) for t in targets}
        after = {t.target: pools.find_part(t.target, 3) for t in targets[1:]}
        for name, part in after.items():
            self.assertEqual(before[name], part)

    def test_calls_follow_the_places_and_sessions_stay(self) -> None:
        """In proportion to what each pool can run."""
        targets = list_targets(45)
        loads = PoolLoads()
        counts: dict[int, int] = {}
        for number in range(6_000):
            pool = choose_pool('chat', targets, f'k{number}', loads, 0)
            again = choose_pool('chat', targets, f'k{number}', loads, 0)
            self.assertEqual(pool, again)
            counts[pool.part] = counts.get(pool.part, 0) + 1
        for part, count in counts.items():
            size = len(Pool('chat', part, len(counts)).select(targets))
            self.assertAlmostEqual(size / 45, count / 6_000, delta=0.03)

    def test_calls_leave_a_pool_with_a_long_wait(self) -> None:
        """And come back as the news ages."""
        targets = list_targets(45)
        loads = PoolLoads()
        home = choose_pool('chat', targets, 'k', loads, 0)
        loads.note(home.name, 500, 0)
        self.assertNotEqual(home, choose_pool('chat', targets, 'k', loads, 0))
        self.assertEqual(home, choose_pool('chat', targets, 'k', loads, 3_000))


if __name__ == '__main__':
    unittest.main()
