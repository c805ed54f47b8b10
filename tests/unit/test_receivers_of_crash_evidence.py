"""Links over which a large fleet shares evidence against prompts.

Guards against deciders that have no time for calls while targets end, and
against instances that are told of no end since deciders pass on less.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import functools
import random
from typing import Any
import unittest
from unittest import mock

import msgspec

from lagoonbend.crashes import CrashEvidence
from lagoonbend_entry._internal.coordination import message_channel
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import peer_links
from lagoonbend_entry._internal.coordination import peer_service
from lagoonbend_entry._internal.coordination.peer_service import PeerService
from tests.unit import test_spread_of_crash_evidence as spread
from tests.unit.test_keepers_of_origins import FleetWorld

FLEET_SIZES = ((84, 4), (195, 6), (420, 6))
"""Numbers of instances and of failure domains."""
DECIDER_COUNT = 7
FIRST_DECIDER = 20
"""Number of the first decider; those before and after read no store."""
DOMAIN_OF_DECIDERS = 2


class LinkedFleet:
    """Instances of a large fleet, all of which have links to the deciders.

    :param instance_count: number of instances.
    :param domain_count: number of failure domains.
    :param reader_decides: True if the store readers of a domain decide, too.
    """

    def __init__(
        self,
        instance_count: int,
        domain_count: int,
        *,
        reader_decides: bool = False,
    ) -> None:
        self.world = FleetWorld(instance_count, domain_count)
        self.fleets = self.world.fleets
        addresses = list(self.fleets)
        self.deciders = addresses[FIRST_DECIDER:][:DECIDER_COUNT]
        if reader_decides:
            self.deciders += [
                address
                for address in self.list_domain(DOMAIN_OF_DECIDERS)
                if self.fleets[address].is_store_reader()
            ]
        self.connected: dict[str, set[str]] = {}
        for address, fleet in self.fleets.items():
            for decider in self.deciders:
                if decider != address:
                    fleet.record_pong(self.world.build_pong(decider, []))
            for peer in self.list_links(address):
                self.connected.setdefault(peer, set()).add(address)

    def list_links(self, address: str) -> set[str]:
        """Return the peers of which an instance wants evidence."""
        return self.fleets[address].select_gossip_peers()

    def list_domain(self, number: int) -> list[str]:
        """Return the instances of a failure domain."""
        return [
            address
            for address, fleet in self.fleets.items()
            if fleet.failure_domain == f'd{number}'
        ]

    def list_receivers(self, address: str) -> set[str]:
        """Return the peers to which an instance sends evidence."""
        return {
            *self.fleets[address].list_crash_receivers(),
            *self.connected.get(address, ()),
        }

    def count_unreached(self, instances: Iterable[str]) -> int:
        """Return how many of some instances evidence may not reach or leave.

        :param instances: those that run and reach each other.
        """
        members = set(instances)
        receivers = {
            address: self.list_receivers(address) & members
            for address in members
        }
        senders: dict[str, set[str]] = {address: set() for address in members}
        for address, peers in receivers.items():
            for peer in peers:
                senders[peer].add(address)
        first = min(members)
        return sum(
            len(members - find_reached(first, links))
            for links in (receivers, senders)
        )


@functools.lru_cache
def build_fleet(
    instance_count: int, domain_count: int, *, reader_decides: bool = False
) -> LinkedFleet:
    """Return a fleet that tests only look at."""
    return LinkedFleet(
        instance_count, domain_count, reader_decides=reader_decides
    )


class StandInLink:
    """A link that is open, and records what is sent."""

    is_open = True
    last_ping_ms = 0

    def __init__(self, address: str, *unused: Any, **unused_too: Any) -> None:
        self.address = address
        self.sent: list[Any] = []

    def run(self) -> None:
        """Do nothing."""

    def close_if_silent(self, interval_ms: int) -> None:
        """Stay open."""

    def send(self, message: messages.Message) -> bool:
        """Record a message."""
        self.sent.append(message)
        return True


class LinkedCrashWorld(spread.CrashWorld):
    """Evidence that goes over the links which the fleet chooses.

    :param linked_fleet: the instances and their links.
    """

    def __init__(self, linked_fleet: LinkedFleet) -> None:
        self.linked_fleet = linked_fleet
        self.received_bytes = dict.fromkeys(linked_fleet.fleets, 0)
        self.sent_bytes = dict.fromkeys(linked_fleet.fleets, 0)
        self.handled_reports = dict.fromkeys(linked_fleet.fleets, 0)
        super().__init__(
            len(linked_fleet.fleets),
            len({f.failure_domain for f in linked_fleet.fleets.values()}),
        )

    def find_links(self) -> dict[str, set[str]]:
        """Return the peers to which each instance sends evidence."""
        return {
            address: self.linked_fleet.list_receivers(address)
            for address in self.linked_fleet.fleets
        }

    def deliver(
        self, sender: str, address: str, message: messages.Message
    ) -> bool:
        """Deliver a message, and count it at its sender and receiver."""
        assert isinstance(message, messages.CrashReports)
        size = len(msgspec.msgpack.encode(message))
        self.sent_bytes[sender] += size
        self.received_bytes[address] += size
        self.handled_reports[address] += len(message.crashes)
        self.handled_reports[address] += len(message.sound)
        return super().deliver(sender, address, message)


def find_reached(first: str, links: dict[str, set[str]]) -> set[str]:
    """Return the instances that are reached from one over links."""
    reached = {first}
    pending = [first]
    while pending:
        for peer in links[pending.pop()] - reached:
            reached.add(peer)
            pending.append(peer)
    return reached


class ReceiversOfCrashEvidenceTest(unittest.TestCase):
    """Fleets that are no full mesh, of several sizes."""

    # Guards against deciders whose links are taken up by evidence: calls got
    # no answer from them for 200 ms, while engines ended on the largest site.
    def test_deciders_have_room_for_calls_while_targets_end(self) -> None:
        """Ten targets end under calls, none of which is known as sound."""
        for instance_count, domain_count in FLEET_SIZES[1:]:
            linked_fleet = build_fleet(instance_count, domain_count)
            world = LinkedCrashWorld(linked_fleet)
            rng = random.Random(29)
            name = ''
            for number in range(spread.LOST_CALLS):
                name = f'request {number}'
                now_ms = world.fleets.clock.now_ms()
                address = rng.choice(list(world.exchanges))
                world.exchanges[address].record_crashes(
                    CrashEvidence(
                        spread.SERVICE, carrier, f't{number % 10}', now_ms
                    )
                    for carrier in (f'block {number}', name)
                )
            unaware = world.wait_until_aware(name)
            world.stop()
            for counts, bound in (
                (
                    world.received_bytes,
                    spread.MAX_SPREAD_S * spread.MAX_BYTES_PER_S,
                ),
                (
                    world.sent_bytes,
                    spread.MAX_SPREAD_S * spread.MAX_BYTES_PER_S,
                ),
                (
                    world.handled_reports,
                    spread.MAX_REPORTS,
                ),
            ):
                highest = max(counts[a] for a in linked_fleet.deciders)
                print(f'{instance_count}: {highest} of {bound} at a decider')
                with self.subTest(instances=instance_count, bound=bound):
                    self.assertEqual([], unaware)
                    self.assertLessEqual(highest, bound)

    # Guards against deciders that are sent, and send on, what each instance
    # has, since no ping tells which links are for evidence.
    def test_pings_want_evidence_over_links_for_gossip_alone(self) -> None:
        """An instance has links to peers for gossip and to deciders."""
        linked_fleet = build_fleet(*FLEET_SIZES[0])
        address = min(linked_fleet.fleets)
        fleet = linked_fleet.fleets[address]
        wanted: dict[str, bool] = {}
        with mock.patch.object(peer_links, 'PeerLink', StandInLink):
            links = peer_links.PeerLinks(
                fleet,
                linked_fleet.world.clock,
                on_message=mock.Mock(),
                on_open=mock.Mock(),
                on_lost=mock.Mock(),
            )
            links.update_links(linked_fleet.deciders, ())
            links.send_due_pings(set(linked_fleet.deciders), wants_gossip=True)
        for peer in {*linked_fleet.deciders, *fleet.select_gossip_peers()}:
            link = links.find(peer)
            assert isinstance(link, StandInLink)
            (ping,) = link.sent
            wanted[peer] = ping.reads_reports
        self.assertEqual(
            fleet.select_gossip_peers(),
            {
                peer
                for peer, wants_evidence in wanted.items()
                if wants_evidence
            },
        )
        self.assertIn(False, wanted.values())

    # Guards against evidence over links for which it is wanted no more, or
    # which is not sent since the first ping didn't want it.
    def test_evidence_goes_to_those_whose_last_ping_wants_it(self) -> None:
        """A peer that has connected wants evidence for a while."""
        service = PeerService(*(mock.MagicMock() for _ in range(10)))
        seen = []

        def receive() -> Iterator[messages.Message]:
            """Yield messages of the peer; record what the one before did."""
            yield messages.Greeting(messages.PROTOCOL_VERSION, 'peer', 'd0')
            for wants_evidence in (False, True, False):
                yield messages.Ping(0, 0, False, reads_reports=wants_evidence)
                seen.append(service.list_crash_receivers())

        with (
            mock.patch.object(peer_service, 'set_tcp_options'),
            mock.patch.object(message_channel, 'MessageChannel') as channel,
        ):
            channel.return_value.receive = receive
            service.serve(mock.Mock(), ('127.0.0.1', 1))
        self.assertEqual([set(), {'peer'}, set()], seen)

    # Guards against instances that are told of no end after a large kill.
    def test_evidence_reaches_all_after_kills(self) -> None:
        """A third of the instances, in turn from three seeds."""
        for instance_count, domain_count in FLEET_SIZES:
            fleet = build_fleet(instance_count, domain_count)
            addresses = list(fleet.fleets)
            for seed in range(3):
                killed = set(
                    random.Random(seed).sample(addresses, instance_count // 3)
                )
                with self.subTest(instances=instance_count, seed=seed):
                    self.assertEqual(0, fleet.count_unreached(addresses))
                    self.assertEqual(
                        0, fleet.count_unreached(set(addresses) - killed)
                    )

    # Guards against instances that are told of no end since their domain is
    # cut off, and its store readers decide for pools.
    def test_evidence_reaches_all_of_a_domain_that_is_cut_off(self) -> None:
        """Both store readers of one domain are deciders."""
        for instance_count, domain_count in FLEET_SIZES:
            fleet = build_fleet(
                instance_count, domain_count, reader_decides=True
            )
            for number in range(domain_count):
                with self.subTest(instances=instance_count, domain=number):
                    self.assertEqual(
                        0, fleet.count_unreached(fleet.list_domain(number))
                    )


if __name__ == '__main__':
    unittest.main()
