"""Limits of customers in a fleet in which few instances use all pools.

A customer's load rises tenfold within a second, at the pools of all domains.
Each decider counts the calls of its own pools, and has to know what the others
have admitted. Guards against deciders that hear of each other only once calls
overflow to the pools of other domains.
"""

import unittest
from unittest import mock

from lagoonbend.facts import ListedTarget
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from tests.lib.coordinator_facts import build_facts
from tests.unit.test_keepers_of_origins import FleetWorld

SERVICES = ('chat', 'desk')
FLEETS = ((72, 3), (195, 6))
"""Numbers of instances and of failure domains."""


def list_targets(service: str, domain_count: int) -> list[ListedTarget]:
    """Return the targets of a service: engines in each domain, or three."""
    count = 3 if service == 'desk' else 13 * domain_count
    return [
        ListedTarget(
            f'{service}-{n}',
            service,
            '10.1.0.1',
            80 + n,
            f'd{n % domain_count}',
            6,
            False,
        )
        for n in range(count)
    ]


class ReportsBetweenDecidersTest(unittest.TestCase):
    """Fleets after their start, in which each pool has been used."""

    def build_coordinator(
        self, world: FleetWorld, address: str, domain_count: int
    ) -> Coordinator:
        """Return the coordinator of an instance, without its loops."""
        facts = build_facts(
            lambda service: list_targets(service, domain_count), SERVICES
        )
        return Coordinator(
            world.fleets[address],
            facts,
            world.clock,
            Invariants(strict=True),
            'start',
            LimitTolerance(),
        )

    def test_each_decider_pings_all_others(self) -> None:
        """The answers carry what customers have used there."""
        for instance_count, domain_count in FLEETS:
            world = FleetWorld(instance_count, domain_count)
            any_address = next(iter(world.fleets))
            pools = list(
                self.build_coordinator(
                    world, any_address, domain_count
                ).pools.list_all()
            )
            deciders = {
                pool: world.fleets[any_address].find_decider(
                    pool, decides=False, is_leaving=False
                )
                for pool in pools
            }
            self.assertGreater(len(pools), domain_count)
            for own_pool, address in deciders.items():
                coordinator = self.build_coordinator(
                    world, address, domain_count
                )
                coordinator.pool_schedulers.get_or_create(own_pool)
                with mock.patch.object(
                    coordinator._links, 'update_links'
                ) as update_links:
                    coordinator._update_links()
                linked = set(update_links.call_args.args[0])
                others = set(deciders.values()) - {address}
                with self.subTest(instances=instance_count, decider=address):
                    self.assertEqual(set(), others - linked)


if __name__ == '__main__':
    unittest.main()
