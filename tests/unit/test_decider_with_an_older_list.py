"""A decider that hasn't yet read the list that this instance has."""

import unittest
from unittest import mock

import gevent

from lagoonbend.clock import PausedClock
from lagoonbend.facts import ListedTarget
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from tests.lib.coordinator_facts import build_facts

OWN_ADDRESS = '10.0.0.1:1'
TARGET = ListedTarget('t', 's', '10.0.1.1', 80, 'd0', 1, False)
WAIT_MS = 1_000


class DeciderWithAnOlderListTest(unittest.TestCase):
    """Guards against a call denied although its instance knows a target."""

    def acquire(
        self,
        denial: Denial,
        excluded: tuple[str, ...] = (),
        targets: tuple[ListedTarget, ...] = (TARGET,),
    ) -> SlotDecision:
        """Return the decision on a call that another instance denies."""
        facts = build_facts(lambda service: targets)
        fleet = mock.Mock(address=OWN_ADDRESS, failure_domain='d0')
        fleet.list_unreachable_domains.return_value = frozenset()
        coordinator = Coordinator(
            fleet,
            facts,
            PausedClock(),
            Invariants(strict=True),
            'start',
            LimitTolerance(),
        )
        request = SlotRequest(
            call='c',
            instance=OWN_ADDRESS,
            failure_domain='d0',
            pool=Pool('s').name,
            rank=0,
            route_rank=0,
            customer='',
            cost_units=0.0,
            waited_ms=0,
            objective_ms=WAIT_MS,
            deadline_ms=WAIT_MS,
            excluded=excluded,
        )
        denied = SlotDecision(
            'c', OWN_ADDRESS, denial=denial, retry_after_ms=WAIT_MS
        )

        def answer(*unused: object) -> bool:
            gevent.spawn(coordinator._deliver, denied)
            return True

        coordinator.deciders = mock.Mock()
        coordinator.deciders.find.return_value = '10.0.0.2:1'
        coordinator._links = mock.Mock()
        coordinator._links.send_when_open.side_effect = answer
        return coordinator.acquire(request, None, WAIT_MS)

    def test_known_target_is_used(self) -> None:
        """The instance grants a slot there from its own share."""
        self.assertEqual('t', self.acquire(Denial.NO_TARGET).target)

    def test_target_that_failed_is_not_used(self) -> None:
        """A call isn't offered to a target that must not run it."""
        decision = self.acquire(Denial.NO_TARGET, excluded=('t',))
        self.assertIs(Denial.NO_TARGET, decision.denial)

    def test_denial_holds_without_a_known_target(self) -> None:
        """Both instances know none."""
        decision = self.acquire(Denial.NO_TARGET, targets=())
        self.assertIs(Denial.NO_TARGET, decision.denial)

    def test_other_denials_hold(self) -> None:
        """A decider that knows the targets has the last word."""
        decision = self.acquire(Denial.OVERLOADED)
        self.assertIs(Denial.OVERLOADED, decision.denial)


if __name__ == '__main__':
    unittest.main()
