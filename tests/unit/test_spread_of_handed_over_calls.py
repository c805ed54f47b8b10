"""Which instances run the calls of many that reach no target, at scale.

Pattern of load: a third of a large fleet is cut off from the targets, and
hands over the calls of its callers.
"""

import collections
import random
import unittest

from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.gateway.handover_peers import HandoverPeers
from tests.unit.test_keepers_of_origins import FleetWorld

SERVICE = 'chat'
FLEET_SIZES = ((84, 4), (195, 6), (420, 6))
"""Numbers of instances and of failure domains."""
CALLS_PER_INSTANCE = 100
MAX_FACTOR = 4
"""Multiple of the mean that one instance may get of the calls handed over:
with a third of the fleet cut, three times its usual calls in all."""


class CutWorld(FleetWorld):
    """A fleet in which a third of the instances reach no target.

    :param instance_count: number of instances.
    :param domain_count: number of failure domains, each with one decider.
    """

    def __init__(self, instance_count: int, domain_count: int) -> None:
        self.deciders: set[str] = set()
        self.cut: set[str] = set()
        super().__init__(instance_count, domain_count)
        rng = random.Random(51)
        self.deciders = set(self.alive[:domain_count])
        others = self.alive[domain_count:]
        self.cut = set(rng.sample(others, instance_count // 3))
        for address in self.cut:
            self.fleets[address].list_unreached = lambda: [SERVICE]
        self.run_rounds(2)

    def build_pong(
        self, address: str, members: list[messages.WireMember]
    ) -> messages.Pong:
        """Return the answer of an instance to a ping."""
        pong = super().build_pong(address, members)
        pong.callers_endpoint = address
        if address in self.deciders:
            pong.decides = [f'{SERVICE}#d0#0/1']
        if address in self.cut:
            pong.unreached = [SERVICE]
        return pong

    def run_rounds(self, count: int) -> None:
        """Let each instance ping its peers and all deciders."""
        super().run_rounds(count)
        for address, fleet in self.fleets.items():
            for decider in self.deciders - {address}:
                fleet.record_pong(self.build_pong(decider, []))

    def count_calls(self) -> collections.Counter[str]:
        """Return how many calls each instance is asked to run first."""
        counts: collections.Counter[str] = collections.Counter()
        for number, address in enumerate(sorted(self.cut)):
            fleet = self.fleets[address]
            peers = HandoverPeers(
                fleet.find_handover_candidates,
                lambda service: 1_000,
                fleet.failure_domain,
                self.clock,
                random.Random(number),
            )
            for _ in range(CALLS_PER_INSTANCE):
                counts[peers.choose(SERVICE)[0].address] += 1
        return counts


class SpreadOfHandedOverCallsTest(unittest.TestCase):
    """Each instance that is cut chooses peers for itself."""

    # Guards against the instances that grant slots, which got most of the
    # calls handed over, so that the links over which they grant were full.
    def test_calls_are_spread_over_the_fleet(self) -> None:
        """Deciders are asked last, and no other instance gets very many."""
        for instance_count, domain_count in FLEET_SIZES:
            with self.subTest(instances=instance_count):
                world = CutWorld(instance_count, domain_count)
                counts = world.count_calls()
                call_count = CALLS_PER_INSTANCE * len(world.cut)
                self.assertEqual(call_count, counts.total())
                running = len(world.alive) - len(world.cut)
                most = counts.most_common(1)[0]
                mean = call_count / running
                for decider in world.deciders:
                    self.assertLessEqual(counts[decider], mean)
                self.assertLessEqual(most[1], MAX_FACTOR * mean)
