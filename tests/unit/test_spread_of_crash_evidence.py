"""Evidence against prompts, in fleets of each size.

Guards against instances that go on sending prompts under which targets end,
since they have not heard of it.
"""

import gc
import random
import unittest

import gevent
import msgspec

from lagoonbend.crashes import CrashEvidence
from lagoonbend_entry._internal.coordination import crash_exchange
from lagoonbend_entry._internal.coordination import messages
from tests.unit.test_keepers_of_origins import FleetWorld

SERVICE = 'chat'
CRASH_COUNT = 5
CRASH_INTERVAL_MS = 300
MAX_SPREAD_S = 2.0
"""Time until all instances have what one has recorded; ``stable-window-ms`` of
the users is 3 s and more."""
SEND_S = 0.5
"""Time for a few batches."""
DECIDERS = 7
"""Instances with links to all others."""
LOST_CALLS = 36
"""Calls that waited for answers of the targets; so it was when ten engines
ended on the heaviest day of the largest site."""
COMMON_BLOCKS = [f'common {number}' for number in range(12)]
MAX_BYTES_PER_S = 23_000
"""What control may cost an instance."""
MAX_REPORTS = 1_333
"""Reports that an instance handles at 15 us each in 2 % of a core and second,
which is what control may cost it: 10 us were measured without decoding."""
FLEET_SIZES = ((6, 3), (84, 4), (420, 6))
"""Numbers of instances and of failure domains."""


class CrashWorld:
    """The evidence of all instances of a fleet, without a network.

    :param instance_count: number of instances.
    :param domain_count: number of failure domains.
    """

    def __init__(self, instance_count: int, domain_count: int) -> None:
        self.fleets = FleetWorld(instance_count, domain_count)
        self.linked = self.find_links()
        self.is_over = False
        self.message_count = 0
        self.byte_count = 0
        self.report_count = 0
        self.exchanges = {
            address: self.build_exchange(address)
            for address in self.fleets.fleets
        }
        self.greenlets = [
            exchange.start() for exchange in self.exchanges.values()
        ]

    def stop(self) -> None:
        """End all exchanges, and free them before another test is timed."""
        self.is_over = True
        gevent.killall(self.greenlets)
        self.exchanges.clear()
        gc.collect()

    def build_exchange(self, address: str) -> crash_exchange.CrashExchange:
        """Return the exchange of an instance."""
        fleet = self.fleets.fleets[address]
        return crash_exchange.CrashExchange(
            self.fleets.clock,
            lambda: self.linked[address],
            lambda: not fleet.is_full_mesh,
            lambda peer, message: self.deliver(address, peer, message),
        )

    def find_links(self) -> dict[str, set[str]]:
        """Return the peers of each instance, linked in either direction."""
        linked: dict[str, set[str]] = {}
        for fleet in self.fleets.fleets.values():
            for peer in fleet.list_crash_receivers():
                linked.setdefault(fleet.address, set()).add(peer)
                linked.setdefault(peer, set()).add(fleet.address)
        return linked

    def link_to_all(self, deciders: list[str]) -> None:
        """Link instances to all others."""
        for decider in deciders:
            for address in self.exchanges:
                if address != decider:
                    self.linked[decider].add(address)
                    self.linked[address].add(decider)

    def reset_counts(self) -> None:
        """Count messages, bytes and reports from now on."""
        self.message_count = self.byte_count = self.report_count = 0

    def deliver(
        self, sender: str, address: str, message: messages.Message
    ) -> bool:
        """Deliver a message to an instance, unless it is dead."""
        if self.is_over or address in self.fleets.dead:
            return False
        self.message_count += 1
        self.byte_count += len(msgspec.msgpack.encode(message))
        assert isinstance(message, messages.CrashReports)
        self.report_count += len(message.crashes) + len(message.sound)
        answer = self.exchanges[address].handle_reports(message)
        if answer is not None:
            gevent.spawn(self.deliver, address, sender, answer)
        return True

    def end_target(self, address: str, life: str, *blocks: str) -> None:
        """Let an instance record that a target has ended."""
        now_ms = self.fleets.clock.now_ms()
        self.exchanges[address].record_crashes(
            CrashEvidence(SERVICE, block, life, now_ms) for block in blocks
        )
        self.fleets.clock.advance(CRASH_INTERVAL_MS)

    def list_unblocked(self, block: str) -> list[str]:
        """Return the live instances at which a block isn't blocked."""
        return [
            address
            for address in self.fleets.alive
            if not self.exchanges[address].suspects.is_blocked(SERVICE, block)
        ]

    def wait_until_aware(self, carrier: str) -> list[str]:
        """Let all reports arrive; return the instances without evidence.

        How long that takes depends on the machine, which plays all instances.
        """
        unaware = list(self.exchanges)
        report_count = -1
        while self.report_count != report_count:
            report_count = self.report_count
            self.run_for(SEND_S)
            unaware = [
                address
                for address, exchange in self.exchanges.items()
                if not exchange.suspects.has_evidence(SERVICE, [carrier])
            ]
        return unaware

    @staticmethod
    def run_for(span_s: float) -> None:
        """Let the exchanges run; timers count from the loop's last turn."""
        gevent.get_hub().loop.update_now()
        gevent.sleep(span_s)

    def wait_until_blocked(self, block: str) -> None:
        """Wait until all live instances have blocked a block."""
        self.run_for(0)
        with gevent.Timeout(MAX_SPREAD_S, False):
            while self.list_unblocked(block):
                gevent.sleep(0.01)


class SpreadOfCrashEvidenceTest(unittest.TestCase):
    """Targets end under calls of different instances, without a full mesh."""

    # Guards against instances that learn too late, or not at all.
    def test_evidence_reaches_all_instances(self) -> None:
        """Each of five ends is seen by another instance."""
        for instance_count, domain_count in FLEET_SIZES:
            with self.subTest(instances=instance_count):
                world = CrashWorld(instance_count, domain_count)
                rng = random.Random(22)
                for number in range(CRASH_COUNT):
                    address = rng.choice(world.fleets.alive)
                    world.end_target(address, f't{number}', 'system', 'bad')
                world.wait_until_blocked('bad')
                self.assertEqual([], world.list_unblocked('bad'))
                # What is still under way would delay the next fleet.
                world.stop()
                print(
                    f'{instance_count} instances, {CRASH_COUNT} ends:'
                    f' {world.message_count / instance_count:.1f} messages,'
                    f' {world.byte_count / instance_count:.0f} bytes each'
                )

    # Guards against evidence that is lost with the instances that had it.
    def test_evidence_survives_the_kill_of_a_third(self) -> None:
        """Those that have seen the targets end are among them."""
        world = CrashWorld(84, 4)
        self.addCleanup(world.stop)
        rng = random.Random(22)
        killed = rng.sample(world.fleets.alive, 28)
        for number in range(CRASH_COUNT):
            world.end_target(killed[number], f't{number}', 'bad')
        world.run_for(SEND_S)
        world.fleets.dead.update(killed)
        self.assertEqual([], world.list_unblocked('bad'))

    # Guards against sound calls that are refused at instances which have not
    # seen any of them.
    def test_instances_that_know_a_block_as_sound_clear_it(self) -> None:
        """One instance in four has begun answers with the block."""
        world = CrashWorld(84, 4)
        self.addCleanup(world.stop)
        for address in world.fleets.alive[::4]:
            world.exchanges[address].record_begun(SERVICE, ['system'])
        for number in range(CRASH_COUNT):
            address = world.fleets.alive[4 * number + 1]
            world.end_target(address, f't{number}', 'system', 'bad')
            world.run_for(0.1)
        world.wait_until_blocked('bad')
        self.assertEqual([], world.list_unblocked('bad'))
        self.assertEqual(84, len(world.list_unblocked('system')))

    # Guards against instances that have no time for calls, since all tell each
    # other what they know of targets that have ended.
    def test_ends_of_many_targets_cost_little(self) -> None:
        """Ten end at once, under calls with blocks that others have too.

        Each instance has begun answers with half of those blocks. Deciders
        have links to all instances.
        """
        for instance_count, domain_count in ((195, 6), (420, 6)):
            world = CrashWorld(instance_count, domain_count)
            rng = random.Random(29)
            addresses = list(world.exchanges)
            world.link_to_all(addresses[:DECIDERS])
            for exchange in world.exchanges.values():
                exchange.record_begun(SERVICE, rng.sample(COMMON_BLOCKS, 6))
            world.run_for(SEND_S)
            world.reset_counts()
            for number in range(LOST_CALLS):
                name = f'request {number}'
                now_ms = world.fleets.clock.now_ms()
                world.exchanges[rng.choice(addresses)].record_crashes(
                    CrashEvidence(SERVICE, carrier, f't{number % 10}', now_ms)
                    for carrier in (
                        rng.choice(COMMON_BLOCKS),
                        f'block {number}',
                        name,
                    )
                )
                if number % 6 == 0:
                    world.run_for(0.02)
            unaware = world.wait_until_aware(name)
            world.stop()
            mean_bytes = world.byte_count / instance_count
            mean_reports = world.report_count / instance_count
            print(
                f'{instance_count}: {mean_reports:.0f} reports and'
                f' {mean_bytes:.0f} bytes an instance'
            )
            with self.subTest(instances=instance_count):
                self.assertEqual([], unaware)
                self.assertLessEqual(mean_reports, MAX_REPORTS)
                self.assertLessEqual(
                    mean_bytes, MAX_SPREAD_S * MAX_BYTES_PER_S
                )

    # Guards against calls that are blocked in the whole fleet, since one
    # instance lost its links to targets that others use.
    def test_answers_elsewhere_end_the_evidence_everywhere(self) -> None:
        """One instance takes targets for ended that answer another one."""
        world = CrashWorld(84, 4)
        self.addCleanup(world.stop)
        cut, other = world.fleets.alive[0], world.fleets.alive[7]
        for number in range(CRASH_COUNT):
            world.end_target(cut, f't{number}', 'common')
            world.run_for(0.1)
            world.exchanges[other].record_answered(
                SERVICE, f't{number}', world.fleets.clock.now_ms()
            )
            world.run_for(SEND_S)
        self.assertEqual(84, len(world.list_unblocked('common')))
        for exchange in world.exchanges.values():
            self.assertEqual(0, len(exchange.suspects))
