"""Instances that reach no target, in a fleet of many instances.

Pattern of load: 78 instances in two failure domains with few requests a second
each; nearly all instances of one domain are cut off from all targets.
"""

import time
import unittest

from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from tests.lib.first_tries import FirstTries

INSTANCE_COUNT = 78
CUT_INSTANCES = tuple(range(2, INSTANCE_COUNT, 2))
"""All instances of one of two failure domains but one."""
ENGINE_COUNT = 28
SERVICE_COUNT = 4
STABLE_WINDOW_S = 3.0
"""Smallest bound ``stable-window-ms`` of the users."""
WARM_UP_S = 6.0
JUDGED_S = 6.0
INTERVAL_S = 0.02
MIN_SHARE = 2 / 3
FAILED_COUNT = 10
FAILED_SHARE = 1 / 50
"""The users' rule RECOVER: share of the first tries that are served at cut
instances, of the share at the others, and failures that are allowed, as a
number and as a share of all first tries. Either suffices; both are checked."""
MIN_OTHERS_SHARE = 0.95


class UnreachableTargetsAtScaleTest(unittest.TestCase):
    """38 of the 39 instances of one failure domain are cut."""

    # Guards against callers of cut instances that are refused, since calls are
    # handed over to peers which are cut as well and don't know it yet.
    def test_callers_are_served_while_nearly_a_domain_is_cut(self) -> None:
        """Open connections fall silent, and new ones time out."""
        fleet = gateway_fleet.GatewayFleet(
            INSTANCE_COUNT, ENGINE_COUNT, SERVICE_COUNT, can_cut=True
        )
        with fleet:
            tries = FirstTries(self, fleet, CUT_INSTANCES)
            tries.send_for(WARM_UP_S, INTERVAL_S)
            cut_s = time.monotonic()
            for instance in CUT_INSTANCES:
                fleet.cut_links(instance, CutKind.SILENT)
            tries.send_for(STABLE_WINDOW_S + JUDGED_S, INTERVAL_S)
            start_s = cut_s + STABLE_WINDOW_S
            others = tries.measure_share(start_s, cut=False)
            share = tries.measure_share(start_s, cut=True)
            failed_count, sent_count = tries.count_failed(start_s)
            tries.assert_run_once()
        self.assertGreaterEqual(others, MIN_OTHERS_SHARE)
        self.assertGreaterEqual(share, MIN_SHARE * others)
        self.assertLessEqual(
            failed_count, FAILED_COUNT + FAILED_SHARE * sent_count
        )
