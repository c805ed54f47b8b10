"""Configurations of two instances that serve one call."""

import random
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.facts import PublishedItem
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform.rules_codec import decode_rules

NOW_MS = 1_000_000
RULES = b"""{"version": 5, "services": [], "limits": {"max-header-bytes": 1,
"max-body-bytes": 1, "header-timeout-ms": 1, "idle-timeout-ms": 1},
"routes": [{"name": "r", "hostname": "h", "prefix": "/a/", "service": "s",
"route-kind": "safe", "timeout-ms": 9, "target-latency-ms": 9,
"max-attempts": 1}]}"""


class RulesOfHandedOverCallsTest(unittest.TestCase):
    """A call that an instance with version 5 gets from a peer."""

    def setUp(self) -> None:
        """Let the instance have its configuration."""
        clock = PausedClock(NOW_MS)
        facts = FactsCache(clock, decode_rules, lambda item: None, 'rules')
        item = PublishedItem('rules', 3, RULES, 1)
        facts.apply_listing([item], 3, NOW_MS, 1)
        self.admission = Admission(facts, clock, 3_600, random.Random(1))

    def admit(
        self, headers: dict[str, str], path: str = '/a/b'
    ) -> AdmittedCall | RefusalReason:
        """Admit a request with some headers."""
        header_map = {'host': 'h', **headers}
        return self.admission.admit(
            IncomingRequest(
                'GET',
                path,
                list(header_map.items()),
                header_map,
                b'',
                True,
                True,
                NOW_MS,
            )
        )

    # Guards against an instance whose callers get answers by an older
    # configuration again, as a peer that lags behind runs their calls.
    def test_call_that_newer_rules_have_admitted_is_handed_back(self) -> None:
        """It isn't run by the old rules, nor rejected by them."""
        newer = {handover_mark.HEADER_RULES_VERSION: '6'}
        for path in ('/a/b', '/added/'):
            reason = self.admit(newer, path)
            self.assertIs(RefusalReason.FACTS_TOO_OLD, reason)
        self.assertTrue(RefusalReason.FACTS_TOO_OLD.concerns_instance)

    def test_other_calls_are_admitted(self) -> None:
        """Older rules, the same ones, none (an earlier build), odd values."""
        for value in ('4', '5', '', 'x', '-7'):
            headers = {handover_mark.HEADER_RULES_VERSION: value}
            self.assertIsInstance(self.admit(headers), AdmittedCall)
        self.assertIsInstance(self.admit({}), AdmittedCall)

    def test_version_is_named_to_peers_and_to_no_target(self) -> None:
        """What a caller has sent under that name is dropped."""
        name = handover_mark.HEADER_RULES_VERSION
        marked = handover_mark.mark_rules_version([(name, '99')], 5)
        self.assertEqual([(name, '5')], list(marked))
        to_target = call_headers.encode_target_headers(
            [(name, '99')],
            (),
            target='t',
            customer='',
            deadline_ms=5,
            last_event=None,
        )
        self.assertNotIn(name, dict(to_target))


if __name__ == '__main__':
    unittest.main()
