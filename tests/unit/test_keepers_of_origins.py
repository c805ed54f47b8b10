"""Instances of a large fleet that keep the origins of streams.

Guards against a stream that is refused since the instance at which its caller
takes it up asks others than those that were told of it.
"""

import random
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination.fleet import Fleet

ROUND_MS = 500
MIN_FOUND_SHARE = 0.5
"""The users' rule: of the streams that callers take up, at least half as many
go on as of the new streams that begin."""
KEYS_PER_FLEET = 200


class FleetWorld:
    """All instances of a fleet, which ping their peers on a paused clock.

    :param instance_count: number of instances.
    :param domain_count: number of failure domains.

    ``earlier`` has the instances of an earlier build.
    """

    def __init__(self, instance_count: int, domain_count: int) -> None:
        self.clock = PausedClock(1_000_000)
        self.dead: set[str] = set()
        self.earlier: set[str] = set()
        addresses = [
            f'10.0.{n // 200}.{n % 200}:80' for n in range(instance_count)
        ]
        self.fleets = {
            address: Fleet(
                address, f'd{n % domain_count}', addresses[:3], self.clock
            )
            for n, address in enumerate(addresses)
        }
        self.clock.advance(20_000)
        members = [
            messages.WireMember(
                address, fleet.failure_domain, 100, 20_000, False
            )
            for address, fleet in self.fleets.items()
        ]
        for address, fleet in self.fleets.items():
            fleet.record_pong(self.build_pong(address, members))
        self.run_rounds(3)

    @property
    def alive(self) -> list[str]:
        """Addresses of the instances that run."""
        return [a for a in self.fleets if a not in self.dead]

    def build_pong(
        self, address: str, members: list[messages.WireMember]
    ) -> messages.Pong:
        """Return the answer of an instance to a ping."""
        fleet = self.fleets[address]
        return messages.Pong(
            self.clock.now_ms(),
            address,
            fleet.failure_domain,
            'incarnation',
            fleet.uptime_ms,
            False,
            [],
            members,
            0,
            None,
            {},
            keeps_origins=True,
            reads_reports=True,
            weighs_prompts=True,
            binds_streams=address not in self.earlier,
        )

    def run_rounds(self, count: int) -> None:
        """Let each instance ping the peers that it has links to."""
        for _ in range(count):
            self.clock.advance(ROUND_MS)
            for address in self.alive:
                fleet = self.fleets[address]
                for peer in fleet.select_peers((), (), shares_origins=True):
                    if peer in self.dead:
                        fleet.record_refused(peer)
                        continue
                    relayed = self.fleets[peer].list_relayed_members()
                    fleet.record_pong(self.build_pong(peer, relayed))

    def find_keepers(self, address: str, key: int) -> set[str]:
        """Return the instances that know or are asked for an origin."""
        return {address, *self.fleets[address].list_origin_keepers(key)}


class KeepersOfOriginsTest(unittest.TestCase):
    """Streams begin everywhere and are taken up at any other instance."""

    def measure_found_share(
        self, world: FleetWorld, killed: list[str]
    ) -> float:
        """Return the share of the killed instances' streams that is known."""
        source = random.Random(1)
        streams = [
            (source.choice(killed), source.getrandbits(64))
            for _ in range(KEYS_PER_FLEET)
        ]
        told = [world.find_keepers(*stream) for stream in streams]
        world.dead.update(killed)
        world.run_rounds(4)
        found_count = 0
        for (_, key), keepers in zip(streams, told, strict=True):
            asked = world.find_keepers(source.choice(world.alive), key)
            found_count += bool(asked & keepers - world.dead)
        return found_count / len(streams)

    def test_origins_are_found_after_kills(self) -> None:
        """Of one instance and of a third of all, for fleets of each size."""
        for instance_count, domain_count, killed_count in (
            (24, 3, 1),
            (24, 3, 8),
            (84, 6, 1),
            (84, 3, 28),
            (420, 6, 140),
        ):
            world = FleetWorld(instance_count, domain_count)
            killed = random.Random(2).sample(world.alive, killed_count)
            share = self.measure_found_share(world, killed)
            context = f'{instance_count} {domain_count} {killed_count}'
            print(f'{context}: found {share:.2f}')
            with self.subTest(fleet=context):
                self.assertGreaterEqual(share, MIN_FOUND_SHARE)


if __name__ == '__main__':
    unittest.main()
