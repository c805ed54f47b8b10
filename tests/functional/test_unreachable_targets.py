"""Instances that reach no target, though callers and peers reach them.

Guards against callers that are refused since their instance is cut off from
all targets, and against other callers that are refused since the targets are
taken for gone.
"""

import time
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from tests.lib.first_tries import FirstTries

INSTANCE_COUNT = 4
CUT_INSTANCES = (0, 2)
"""All instances of one of two failure domains."""
STABLE_WINDOW_S = 3.0
"""Bound ``stable-window-ms`` of the users."""
JUDGED_S = 5.0
INTERVAL_S = 0.03
CUT_S = 0.1
"""Time for a cut to begin at the processes."""
SHORT_DEADLINE_MS = 663
MIN_SHARE = 2 / 3
"""The users' rule RECOVER: share of the first tries that are served at cut
instances, of the share at the others."""
MIN_OTHERS_SHARE = 0.95
"""Targets are sound and have room, so that instances which reach them serve
all but calls that are under way when a cut begins."""


class UnreachableTargetsTest(unittest.TestCase):
    """Four instances in two failure domains; both of one domain are cut."""

    def setUp(self) -> None:
        """Start a fleet."""
        self.fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, engine_count=4, service_count=3, can_cut=True
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.tries = FirstTries(self, self.fleet, CUT_INSTANCES)

    def send_for(self, span_s: float) -> None:
        """Send requests for a time; wait for all answers."""
        self.tries.send_for(span_s, INTERVAL_S)

    def assert_served_everywhere(self, kind: CutKind) -> None:
        """Cut two instances; check that callers of all are served."""
        self.send_for(1.0)
        cut_s = time.monotonic()
        for instance in CUT_INSTANCES:
            self.fleet.cut_links(instance, kind)
        self.send_for(STABLE_WINDOW_S + JUDGED_S)
        start_s = cut_s + STABLE_WINDOW_S
        others = self.tries.measure_share(start_s, cut=False)
        self.assertGreaterEqual(others, MIN_OTHERS_SHARE)
        self.assertGreaterEqual(
            self.tries.measure_share(start_s, cut=True), MIN_SHARE * others
        )
        self.tries.assert_run_once()
        mended_s = time.monotonic()
        for instance in CUT_INSTANCES:
            self.fleet.mend_links(instance)
        self.send_for(STABLE_WINDOW_S + 2.0)
        start_s = mended_s + STABLE_WINDOW_S
        self.assertGreaterEqual(
            self.tries.measure_share(start_s, cut=True), MIN_OTHERS_SHARE
        )

    # Guards against the fault of incident second1: callers of instances whose
    # connections to targets are refused get no answers.
    def test_callers_are_served_while_connections_are_refused(self) -> None:
        """Open connections end, and new ones are refused."""
        self.assert_served_everywhere(CutKind.REFUSE)

    # Guards against the same fault where new connections time out.
    def test_callers_are_served_while_connections_hang(self) -> None:
        """Open connections end, and new ones are not established."""
        self.assert_served_everywhere(CutKind.HANG)

    # Guards against the same fault where streams that have begun go on.
    def test_callers_are_served_while_only_open_connections_live(self) -> None:
        """Open connections live, and new ones are refused."""
        self.assert_served_everywhere(CutKind.NEW_ONLY)

    # Guards against the same fault where open connections fall silent first.
    def test_callers_are_served_while_connections_are_silent(self) -> None:
        """Open connections carry nothing, and new ones time out."""
        self.assert_served_everywhere(CutKind.SILENT)

    # Guards against calls that are lost one by one while each connection opens
    # and is then reset, which looks like the end of its target.
    def test_callers_are_served_while_connections_are_reset(self) -> None:
        """Open connections end, new ones are accepted and then reset."""
        self.assert_served_everywhere(CutKind.RESET)

    # Guards against callers with little time, who are refused until several
    # of them have waited for connections.
    def test_first_call_after_a_cut_is_served(self) -> None:
        """Half of its time is gone with the first connection."""
        for instance in CUT_INSTANCES:
            self.fleet.cut_links(instance, CutKind.HANG)
        gevent.sleep(CUT_S)
        for route in ('look-up', 'booking', 'stream', 'once-stream'):
            answer = exchange(
                self.fleet.callers_port(CUT_INSTANCES[0]),
                'POST',
                f'/{route}/x',
                body=b'body',
                headers={
                    **gateway_fleet.build_call_headers(f'first-{route}'),
                    'Deadline-Ms': str(SHORT_DEADLINE_MS),
                },
                timeout_s=8.0,
            )
            self.assertEqual((200, route), (answer.status, route))

    # Guards against callers of sound instances that are refused, since targets
    # are taken for gone which a cut instance doesn't reach.
    def test_targets_that_one_instance_does_not_reach_stay_in_use(
        self,
    ) -> None:
        """From the begin of the cut, for all that it isn't part of."""
        self.send_for(1.0)
        cut_s = time.monotonic()
        for instance in CUT_INSTANCES:
            self.fleet.cut_links(instance, CutKind.REFUSE)
        self.send_for(STABLE_WINDOW_S)
        others = self.tries.measure_share(cut_s, cut=False)
        self.assertGreaterEqual(others, MIN_OTHERS_SHARE)
