"""Failures of connections that concern one instance alone.

Guards against targets that are taken for gone by all instances, since one
doesn't reach them, and against an instance that hands over calls because one
target has ended.
"""

import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.scheduling import SlotOutcome
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.reachability import Reachability

SERVICE = 'desk'


def build_target(number: int, service: str = SERVICE) -> ListedTarget:
    """Return a target of a service."""
    return ListedTarget(
        f'{service}-{number}', service, '10.0.1.1', 80, 'd0', 1, False
    )


class ReachabilityTest(unittest.TestCase):
    """An instance with two services of three targets each."""

    def setUp(self) -> None:
        """Create notes without a failure."""
        self.target_count = 3
        self.clock = PausedClock(1_000)
        self.reachability = Reachability(
            self.clock, lambda service: self.target_count
        )

    def fail_connections(self, *numbers: int) -> None:
        """Let connections to targets fail."""
        for number in numbers:
            self.reachability.record_failed(build_target(number))

    # Guards against calls that are handed over since one target has ended.
    def test_one_target_is_no_cut(self) -> None:
        """Its connections fail again and again."""
        self.fail_connections(1, 1, 1)
        self.assertFalse(self.reachability.is_unreached(SERVICE))
        self.fail_connections(2)
        self.assertTrue(self.reachability.is_unreached(SERVICE))

    # Guards against calls that are handed over beside targets that answer.
    def test_answer_in_between_is_a_link(self) -> None:
        """Two targets have failed, with an answer of another between."""
        self.fail_connections(1)
        self.reachability.record_reached(build_target(3), self.clock.now_ms())
        self.fail_connections(2)
        self.assertFalse(self.reachability.is_unreached(SERVICE))

    # Guards against a cut that is forgotten again and again, as answers still
    # arrive on connections which were opened before it.
    def test_connection_from_before_the_cut_is_no_link(self) -> None:
        """One that was opened after it is."""
        before_ms = self.clock.now_ms()
        self.clock.advance(10)
        self.fail_connections(1)
        self.reachability.record_reached(build_target(3), before_ms)
        self.fail_connections(2)
        self.assertTrue(self.reachability.is_unreached(SERVICE))
        self.reachability.record_reached(build_target(3), before_ms)
        self.assertTrue(self.reachability.is_unreached(SERVICE))
        self.clock.advance(10)
        self.reachability.record_reached(build_target(3), self.clock.now_ms())
        self.assertFalse(self.reachability.is_unreached(SERVICE))

    # Guards against a service with one target, whose cut is never noticed.
    def test_only_target_suffices(self) -> None:
        """There is no second one that could fail."""
        self.target_count = 1
        self.fail_connections(1)
        self.assertTrue(self.reachability.is_unreached(SERVICE))

    # Guards against all services that are handed over since one is down.
    def test_other_service_is_not_concerned(self) -> None:
        """Its targets have not failed."""
        self.fail_connections(1, 2)
        self.assertFalse(self.reachability.is_unreached('other'))
        self.reachability.record_reached(
            build_target(1, 'other'), self.clock.now_ms()
        )
        self.assertTrue(self.reachability.is_unreached(SERVICE))

    def release(self, outcome: AttemptOutcome, *, absent: bool) -> SlotOutcome:
        """Return the outcome that the decider is told."""
        handler = mock.Mock(reachability=self.reachability)
        progress = mock.Mock(
            send_count=0, run_count=0, first_byte_ms=0, successor=None
        )
        opened = mock.Mock(target=build_target(1))
        opened.attempt.is_sent = False
        call_handler.CallHandler._close_attempt(
            handler,
            progress,
            opened,
            AttemptReport(outcome, is_target_absent=absent),
        )
        release = handler._coordinator.release
        told: SlotOutcome = release.call_args.args[2]
        return told

    # Guards against the fault of incident second1 by which sound instances
    # lost their targets: one that is cut off reported them as gone.
    def test_cut_instance_reports_no_target_as_gone(self) -> None:
        """One that reaches others does."""
        outcome = AttemptOutcome.NOT_CONNECTED
        gone = self.release(outcome, absent=True)
        self.assertIs(SlotOutcome.GONE, gone)
        self.fail_connections(1, 2)
        for absent in (True, False):
            told = self.release(outcome, absent=absent)
            self.assertIs(SlotOutcome.UNSUITED, told)
