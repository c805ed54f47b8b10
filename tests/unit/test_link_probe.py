"""How soon an instance knows that it reaches no target.

Pattern of load: an instance with few requests a second, of which each would
have to fail before a cut of its links is known.
"""

import random
import unittest
from unittest import mock

import gevent

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import ServiceProfile
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.scheduling import SlotOutcome
from lagoonbend_entry._internal.coordination import fleet as fleet_module
from lagoonbend_entry._internal.coordination.messages import Pong
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway import link_probe
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.reachability import Reachability
from tests.unit.test_large_fleet import LargeFleetWorld

SERVICES = ('chat', 'desk')
TARGET_COUNT = 4


class LinkProbeTest(unittest.TestCase):
    """An instance with two services of four targets each."""

    def setUp(self) -> None:
        """Create an instance whose links are sound."""
        self.clock = PausedClock(10_000)
        self.reachability = Reachability(
            self.clock, lambda service: TARGET_COUNT
        )
        self.targets = {
            service: [
                ListedTarget(
                    f'{service}-{number}',
                    service,
                    service,
                    number,
                    'd0',
                    1,
                    False,
                )
                for number in range(TARGET_COUNT)
            ]
            for service in SERVICES
        }
        self.cut: set[tuple[str, int]] = set()
        self.connected: list[tuple[str, int]] = []
        self.silent: list[tuple[str, int]] = []
        self.answer_error: Exception | None = None
        facts = mock.Mock()
        facts.rules.services = {
            service: ServiceProfile(service, health_path='/healthz')
            for service in SERVICES
        }
        facts.target_directory.list_service = self.targets.get
        self.probe = link_probe.LinkProbe(
            self.reachability,
            facts,
            self.clock,
            self.connect,
            lambda: self.silent,
        )

    def connect(self, address: tuple[str, int], timeout_ms: int) -> mock.Mock:
        """Open a connection unless its link is cut."""
        self.connected.append(address)
        if address in self.cut:
            raise target_error.NotConnectedError('timed out')
        connection = mock.Mock(address=address)
        connection.read_head.side_effect = self.answer_error
        return connection

    def cut_all(self) -> None:
        """Cut the links to all targets."""
        self.cut = {(s, n) for s in SERVICES for n in range(TARGET_COUNT)}

    def run_checks(self) -> None:
        """Run the checks that are due, and those that follow from them."""
        for _ in range(3):
            gevent.joinall(self.probe.begin_due(), raise_error=True)

    def assert_unreached(self, *services: str) -> None:
        """Check which services the instance knows that it doesn't reach."""
        self.assertEqual(
            set(services), set(self.reachability.unreached_services)
        )

    # Guards against several callers of each service that pay for one cut.
    def test_one_failed_connection_leads_to_all_services(self) -> None:
        """The links of one are checked at once, then those of the other."""
        self.cut_all()
        self.reachability.record_failed(self.targets['desk'][0])
        self.assert_unreached()
        self.run_checks()
        self.assert_unreached(*SERVICES)

    def test_one_target_that_has_ended_is_no_cut(self) -> None:
        """Another one accepts a connection."""
        self.cut = {('desk', 0)}
        self.reachability.record_failed(self.targets['desk'][0])
        self.assertTrue(self.reachability.is_doubtful('desk'))
        self.run_checks()
        self.assert_unreached()
        self.assertFalse(self.reachability.is_doubtful('desk'))
        self.assertNotIn(('desk', 0), self.connected)

    # Guards against an instance without calls, which takes calls of peers and
    # ends them since its own links are cut.
    def test_report_of_a_peer_leads_to_a_check(self) -> None:
        """Once, as the report is repeated in each pong."""
        fleet = fleet_module.Fleet('own:1', 'd0', [], self.clock)
        fleet.on_unreached = lambda service: self.reachability.doubt(
            service, self.clock.now_ms()
        )
        self.cut_all()
        for services in ([], ['desk'], ['desk']):
            fleet.record_pong(self.build_pong(services))
            self.run_checks()
        self.assert_unreached(*SERVICES)
        self.cut = set()
        self.clock.advance(link_probe.INTERVAL_MS)
        self.run_checks()
        self.assert_unreached()
        count = len(self.connected)
        fleet.record_pong(self.build_pong(['desk']))
        self.run_checks()
        self.assertEqual(count, len(self.connected))

    def build_pong(self, unreached: list[str]) -> Pong:
        """Return the heartbeat of a peer."""
        return Pong(
            self.clock.now_ms(),
            'peer:1',
            'd0',
            'x',
            9_000,
            False,
            [],
            [],
            0,
            None,
            {},
            unreached=unreached,
        )

    # Guards against a cut that isn't noticed while calls wait on connections
    # that have fallen silent.
    def test_silent_call_leads_to_one_check(self) -> None:
        """It is no cut if a connection opens; then the target is slow."""
        self.silent = [('desk', self.clock.now_ms() - 1_000)]
        self.run_checks()
        self.assert_unreached()
        self.assertEqual(link_probe.CHECKED_TARGETS, len(self.connected))
        self.clock.advance(1_000)
        self.cut_all()
        self.silent = [('desk', self.clock.now_ms() - 500)]
        self.run_checks()
        self.assert_unreached(*SERVICES)

    # Guards against a cut that isn't noticed, since connections are accepted
    # before they are reset.
    def test_connections_that_are_reset_are_a_cut(self) -> None:
        """Until a target answers; a busy one may take its time."""
        self.answer_error = target_error.ConnectionLostError('reset')
        self.reachability.record_reset(self.targets['desk'][0])
        self.run_checks()
        self.assert_unreached(*SERVICES)
        self.clock.advance(link_probe.INTERVAL_MS)
        self.run_checks()
        self.assert_unreached(*SERVICES)
        self.answer_error = target_error.TargetTimeoutError('timed out')
        self.clock.advance(link_probe.INTERVAL_MS)
        self.run_checks()
        self.assert_unreached()
        self.assertFalse(self.reachability.needs_answer('desk'))

    # Guards against calls that are handed over since one target has reset its
    # connections, as when it has too many of them.
    def test_target_that_resets_connections_is_no_cut(self) -> None:
        """Others answer."""
        self.reachability.record_reset(self.targets['desk'][0])
        self.run_checks()
        self.assert_unreached()

    # Guards against targets that all instances lose for a second, since some
    # instances have just been cut off from them.
    def test_target_is_not_reported_while_links_are_checked(self) -> None:
        """It is, once the check has shown that the links are sound."""
        self.cut = {('desk', 0)}
        self.reachability.record_failed(self.targets['desk'][0])
        self.assertIs(SlotOutcome.UNSUITED, self.release())
        self.run_checks()
        self.assertIs(SlotOutcome.NOT_REACHED, self.release())

    def release(self) -> SlotOutcome:
        """Return what the decider is told of a failed connection."""
        handler = mock.Mock(reachability=self.reachability)
        progress = mock.Mock(
            send_count=0, run_count=0, first_byte_ms=0, successor=None
        )
        opened = mock.Mock(target=self.targets['desk'][0])
        opened.attempt.is_sent = False
        call_handler.CallHandler._close_attempt(
            handler,
            progress,
            opened,
            AttemptReport(AttemptOutcome.NOT_CONNECTED),
        )
        told: SlotOutcome = handler._coordinator.release.call_args.args[2]
        return told


class HandoverLinksTest(unittest.TestCase):
    """Instances of a large fleet that reach no target."""

    # Guards against instances that ping peers of their own domain only, all
    # of which are cut as well.
    def test_cut_instances_ping_some_of_other_domains(self) -> None:
        """No more than a few, at 78, 195 and 420 instances."""
        for count in (78, 195, 420):
            world = LargeFleetWorld(count)
            world.advance(6)
            name = random.Random(34).choice(world.names)
            fleet = world.fleets[name]
            before = fleet.select_peers([], [])
            fleet.list_unreached = lambda: ['desk']
            added = fleet.select_peers([], []) - before
            others = {
                peer
                for peer in before | added
                if world.fleets[peer].failure_domain != fleet.failure_domain
            }
            with self.subTest(count=count):
                self.assertLessEqual(len(added), fleet_module.HANDOVER_LINKS)
                self.assertGreaterEqual(
                    len(others), fleet_module.HANDOVER_LINKS
                )
