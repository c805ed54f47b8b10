"""Membership in fleets of up to 420 instances.

Each instance of a large fleet pings a bounded number of peers and learns of
the others from relayed heartbeats. The tests guard against instances that miss
members, choose different deciders for a pool, notice a partition late, or
spend too much time on heartbeats.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.scheduling import Pool
from lagoonbend_entry._internal.coordination import fleet as fleet_module
from lagoonbend_entry._internal.coordination.messages import Pong

POOLS = ('chat#0/3', 'chat#1/3', 'chat#2/3')
PING_INTERVAL_MS = 1_000


class LargeFleetWorld:
    """Instances that ping the peers that they select, once a second."""

    def __init__(self, count: int) -> None:
        self.clock = PausedClock(1_000_000)
        self.names = [f'10.0.{n // 200}.{n % 200}:80' for n in range(count)]
        self.fleets = {
            name: fleet_module.Fleet(
                name, f'd{n % 4}', self.names[:3], self.clock
            )
            for n, name in enumerate(self.names)
        }
        self.partitioned: set[str] = set()
        self.max_peer_count = 0
        self.pong_count = 0

    def advance(self, seconds: int) -> None:
        """Advance the clock, with a round of pings in each second.

        Pings do not cross the partition.
        """
        for _ in range(seconds):
            self.clock.advance(PING_INTERVAL_MS)
            for name, fleet in self.fleets.items():
                self._ping_peers(name, fleet)

    def _ping_peers(self, name: str, fleet: fleet_module.Fleet) -> None:
        peers = fleet.select_peers([], [])
        if not fleet.is_full_mesh:
            self.max_peer_count = max(self.max_peer_count, len(peers))
        for peer in peers:
            if (name in self.partitioned) != (peer in self.partitioned):
                fleet.record_unreachable(peer)
                continue
            receiver = self.fleets[peer]
            receiver.record_ping(name, fleet.failure_domain, fleet.uptime_ms)
            self.pong_count += 1
            fleet.record_pong(self.write_pong(peer))

    def write_pong(self, name: str) -> Pong:
        """Return the heartbeat of an instance."""
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

    def count_reachable(self, names: list[str]) -> list[int]:
        """Return how many instances each of ``names`` reaches."""
        return [self.fleets[name].count_alive() for name in names]


class LargeFleetTest(unittest.TestCase):
    """All members become known with a bounded number of peers."""

    def test_every_instance_learns_of_all_from_three_seeds(self) -> None:
        """Each instance reaches nine in ten of all within 25 s."""
        for count, seconds in ((84, 12), (420, 25)):
            with self.subTest(count=count):
                world = LargeFleetWorld(count)
                world.advance(seconds)
                reachable_counts = world.count_reachable(world.names)
                self.assertGreaterEqual(min(reachable_counts), 0.9 * count)
                self.assertLessEqual(world.max_peer_count, 16)

    def test_all_choose_the_same_deciders(self) -> None:
        """At least 76 of 84 instances choose the same decider."""
        world = LargeFleetWorld(84)
        world.advance(15)
        for pool in POOLS:
            chosen = [
                fleet.find_decider(pool, decides=False, is_leaving=False)
                for fleet in world.fleets.values()
            ]
            largest_count = max(chosen.count(name) for name in set(chosen))
            self.assertGreaterEqual(largest_count, 76)

    def test_decider_stands_in_the_domain_of_its_targets(self) -> None:
        """The decider of a pool is in the failure domain of its targets.

        It can then schedule them while that domain is isolated.
        """
        world = LargeFleetWorld(84)
        world.advance(15)
        for number in range(4):
            pool = Pool('chat', f'd{number}').name
            deciders = [
                fleet.find_decider(pool, decides=False, is_leaving=False)
                for fleet in world.fleets.values()
                if fleet.failure_domain == f'd{number}'
            ]
            domains = {world.fleets[name].failure_domain for name in deciders}
            self.assertEqual({f'd{number}'}, domains)

    def test_cut_is_noticed_and_heals(self) -> None:
        """Each side of a partition soon counts only its own instances.

        The other side still counts as known. Both numbers determine the share
        of the customers' limits that an instance uses.
        """
        world = LargeFleetWorld(84)
        world.advance(15)
        world.partitioned = set(world.names[::4])
        world.advance(16)
        majority = [
            name for name in world.names if name not in world.partitioned
        ]
        self.assertLessEqual(max(world.count_reachable(majority)), 66)
        self.assertLessEqual(
            max(world.count_reachable(list(world.partitioned))), 24
        )
        self.assertGreaterEqual(world.fleets[majority[0]].count_known(), 80)
        world.partitioned = set()
        world.advance(20)
        self.assertGreaterEqual(min(world.count_reachable(world.names)), 74)

    def test_cut_off_domain_is_silent_within_seconds(self) -> None:
        """An isolated failure domain counts as unreachable within 4 s.

        Relayed heartbeats of its single instances time out much later.
        """
        world = LargeFleetWorld(84)
        world.advance(15)
        isolated = {
            name
            for name, fleet in world.fleets.items()
            if fleet.failure_domain == 'd0'
        }
        majority = [
            fleet for n, fleet in world.fleets.items() if n not in isolated
        ]
        for fleet in majority:
            self.assertEqual(frozenset(), fleet.list_unreachable_domains())
        world.partitioned = isolated
        world.advance(4)
        unreachable_domains = [
            fleet.list_unreachable_domains() for fleet in majority
        ]
        self.assertGreaterEqual(
            unreachable_domains.count(frozenset({'d0'})), 60
        )
        world.partitioned = set()
        world.advance(4)
        for fleet in majority:
            self.assertEqual(frozenset(), fleet.list_unreachable_domains())

    def test_signs_of_life_without_news_cost_little(self) -> None:
        """The view of the fleet is computed at most ten times a second.

        Heartbeats that report no change don't cause a new view.
        """
        world = LargeFleetWorld(84)
        world.advance(15)
        fleet = world.fleets[world.names[0]]
        peers = world.fleets[world.names[0]].select_peers([], [])
        with mock.patch.object(
            fleet_module.Fleet,
            '_compute_view',
            autospec=True,
            side_effect=fleet_module.Fleet._compute_view,
        ) as compute_view:
            for _ in range(50):
                world.clock.advance(20)
                for peer in peers:
                    fleet.record_pong(world.write_pong(peer))
                    fleet.count_known()
        own_calls = [
            call for call in compute_view.call_args_list if call[0][0] is fleet
        ]
        self.assertTrue(own_calls)
        self.assertLessEqual(len(own_calls), 10)


if __name__ == '__main__':
    unittest.main()
