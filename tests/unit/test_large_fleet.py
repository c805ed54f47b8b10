"""Pattern: many instances, of which each asks only a few."""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.scheduling import Pool
from lagoonbend_entry._internal.coordination import fleet as fleet_module
from lagoonbend_entry._internal.coordination.messages import Pong

POOLS = ('chat#0/3', 'chat#1/3', 'chat#2/3')
STEP_MS = 1_000


class LargeFleetWorld:
    """Instances that ask those that they want links to, each second."""

    def __init__(self, count: int) -> None:
        self.clock = PausedClock(1_000_000)
        self.names = [f'10.0.{n // 200}.{n % 200}:80' for n in range(count)]
        self.fleets = {
            name: fleet_module.Fleet(
                name, f'd{n % 4}', self.names[:3], self.clock
            )
            for n, name in enumerate(self.names)
        }
        self.cut: set[str] = set()
        self.greatest_links = 0
        self.pongs = 0

    def advance(self, seconds: int) -> None:
        """Let time pass, with questions between those that are joined."""
        for _ in range(seconds):
            self.clock.advance(STEP_MS)
            for name, fleet in self.fleets.items():
                self._ask_all(name, fleet)

    def _ask_all(self, name: str, fleet: fleet_module.Fleet) -> None:
        links = fleet.select_peers([], [])
        if not fleet.is_full_mesh:
            self.greatest_links = max(self.greatest_links, len(links))
        for peer in links:
            if (name in self.cut) != (peer in self.cut):
                fleet.record_unreachable(peer)
                continue
            asked = self.fleets[peer]
            asked.record_ping(name, fleet.failure_domain, fleet.uptime_ms)
            self.pongs += 1
            fleet.record_pong(self.write_pong(peer))

    def write_pong(self, name: str) -> Pong:
        """Return the sign of life of an instance."""
        fleet = self.fleets[name]
        return Pong(
            self.clock.now_ms(),
            name,
            fleet.failure_domain,
            'x',
            fleet.uptime_ms,
            False,
            [],
            fleet.list_relayed_members(),
            0,
            None,
            {},
        )

    def count_reached(self, names: list[str]) -> list[int]:
        """Return the instances within reach of each."""
        return [self.fleets[name].count_alive() for name in names]


class LargeFleetTest(unittest.TestCase):
    """Everybody is heard of at a bounded price."""

    def test_every_instance_hears_of_all_from_three_seeds(self) -> None:
        """At 84 and at 420 instances, within seconds."""
        for count, seconds in ((84, 12), (420, 25)):
            with self.subTest(count=count):
                world = LargeFleetWorld(count)
                world.advance(seconds)
                reached = world.count_reached(world.names)
                self.assertGreaterEqual(min(reached), 0.9 * count)
                self.assertLessEqual(world.greatest_links, 16)

    def test_all_choose_the_same_deciders(self) -> None:
        """Nearly all instances ask the same one for a pool."""
        world = LargeFleetWorld(84)
        world.advance(15)
        for pool in POOLS:
            chosen = [
                fleet.find_decider(pool, decides=False, is_leaving=False)
                for fleet in world.fleets.values()
            ]
            most = max(chosen.count(name) for name in set(chosen))
            self.assertGreaterEqual(most, 76)

    def test_decider_stands_in_the_domain_of_its_targets(self) -> None:
        """So that it goes on with them when the domain is cut off."""
        world = LargeFleetWorld(84)
        world.advance(15)
        for number in range(4):
            pool = Pool('chat', f'd{number}').name
            near = [
                fleet.find_decider(pool, decides=False, is_leaving=False)
                for fleet in world.fleets.values()
                if fleet.failure_domain == f'd{number}'
            ]
            domains = {world.fleets[name].failure_domain for name in near}
            self.assertEqual({f'd{number}'}, domains)

    def test_cut_is_noticed_and_heals(self) -> None:
        """Parts of limits follow the instances within reach."""
        world = LargeFleetWorld(84)
        world.advance(15)
        world.cut = set(world.names[::4])
        world.advance(16)
        near = [name for name in world.names if name not in world.cut]
        self.assertLessEqual(max(world.count_reached(near)), 66)
        self.assertLessEqual(max(world.count_reached(list(world.cut))), 24)
        self.assertGreaterEqual(world.fleets[near[0]].count_known(), 80)
        world.cut = set()
        world.advance(20)
        self.assertGreaterEqual(min(world.count_reached(world.names)), 74)

    def test_cut_off_domain_is_silent_within_seconds(self) -> None:
        """Long before each of its instances counts as out of reach."""
        world = LargeFleetWorld(84)
        world.advance(15)
        lost = {
            name
            for name, fleet in world.fleets.items()
            if fleet.failure_domain == 'd0'
        }
        near = [fleet for n, fleet in world.fleets.items() if n not in lost]
        for fleet in near:
            self.assertEqual(frozenset(), fleet.list_unreachable_domains())
        world.cut = lost
        world.advance(4)
        silent = [fleet.list_unreachable_domains() for fleet in near]
        self.assertGreaterEqual(silent.count(frozenset({'d0'})), 60)
        world.cut = set()
        world.advance(4)
        for fleet in near:
            self.assertEqual(frozenset(), fleet.list_unreachable_domains())

    def test_signs_of_life_without_news_cost_little(self) -> None:
        """Who is within reach is worked out ten times a second at most."""
        world = LargeFleetWorld(84)
        world.advance(15)
        asked = world.fleets[world.names[0]]
        peers = world.fleets[world.names[0]].select_peers([], [])
        with mock.patch.object(
            fleet_module.Fleet,
            '_compute_view',
            autospec=True,
            side_effect=fleet_module.Fleet._compute_view,
        ) as work_out:
            for _ in range(50):
                world.clock.advance(20)
                for peer in peers:
                    asked.record_pong(world.write_pong(peer))
                    asked.count_known()
        own = [call for call in work_out.call_args_list if call[0][0] is asked]
        self.assertTrue(own)
        self.assertLessEqual(len(own), 10)


if __name__ == '__main__':
    unittest.main()
