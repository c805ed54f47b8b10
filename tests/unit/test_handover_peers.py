"""Which peers run the calls of an instance that reaches no target.

Pattern of load: nearly all instances of a failure domain are cut off from all
targets, and most of them don't know it yet.
"""

import random
import unittest
from unittest import mock

from lagoonbend.clock import PausedClock
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat
from lagoonbend_entry._internal.coordination.messages import Pong
from lagoonbend_entry._internal.gateway import handover
from lagoonbend_entry._internal.gateway import handover_peers
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.refusal_sender import send_refusal
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.platform import call_headers

SERVICE = 'desk'
OWN_DOMAIN = 'd0'
OTHER_DOMAIN = 'd1'
CALL_COUNT = 400


class HandoverPeersTest(unittest.TestCase):
    """An instance of one of two failure domains, with its peers' pongs."""

    def setUp(self) -> None:
        """Create an instance without peers."""
        self.clock = PausedClock(1_000 + handover_peers.SETTLE_MS)
        self.unreached_since_ms: int | None = 1_000
        self.fleet = Fleet('own:1', OWN_DOMAIN, [], self.clock)
        self.peers = handover_peers.HandoverPeers(
            self.fleet.find_handover_candidates,
            lambda service: self.unreached_since_ms,
            OWN_DOMAIN,
            self.clock,
            random.Random(34),
        )

    def add_peers(
        self, domain: str, count: int, *, unreached: bool = False
    ) -> None:
        """Add instances of a failure domain that have answered a ping."""
        for number in range(count):
            address = f'{domain}-{unreached}-{number}:1'
            self.fleet.record_pong(
                Pong(
                    self.clock.now_ms(),
                    address,
                    domain,
                    'x',
                    9_000,
                    False,
                    [],
                    [],
                    0,
                    None,
                    {},
                    callers_endpoint=address,
                    unreached=[SERVICE] if unreached else [],
                )
            )

    def choose(self) -> list[Heartbeat]:
        """Return the peers that would be asked for a call."""
        return self.peers.choose(SERVICE)

    def measure_own_share(self) -> float:
        """Return the share of calls that a peer of the own domain gets."""
        chosen = [self.choose()[0] for _ in range(CALL_COUNT)]
        own = [p for p in chosen if p.failure_domain == OWN_DOMAIN]
        return len(own) / len(chosen)

    def test_own_domain_comes_first_while_it_is_sound(self) -> None:
        """Two of its instances are cut, this one among them."""
        self.add_peers(OWN_DOMAIN, 3)
        self.add_peers(OWN_DOMAIN, 1, unreached=True)
        self.add_peers(OTHER_DOMAIN, 5)
        self.assertEqual(1.0, self.measure_own_share())

    # Guards against calls that wait at peers of the own domain which have been
    # cut at the same moment and don't know it yet.
    def test_other_domain_comes_first_right_after_a_cut(self) -> None:
        """The own one follows, if there is no other."""
        self.add_peers(OWN_DOMAIN, 5)
        for since_ms in (None, 1_001):
            self.unreached_since_ms = since_ms
            self.assertEqual(OWN_DOMAIN, self.choose()[0].failure_domain)
        self.add_peers(OTHER_DOMAIN, 1)
        for since_ms in (None, 1_001):
            self.unreached_since_ms = since_ms
            self.assertEqual(0.0, self.measure_own_share())
        self.unreached_since_ms = 1_000
        self.assertEqual(1.0, self.measure_own_share())

    # Guards against the last sound instances of a failure domain, which get
    # the calls of all others of it.
    def test_few_sound_instances_of_a_domain_get_a_share(self) -> None:
        """One of five, with the instance itself, reaches the service."""
        self.add_peers(OWN_DOMAIN, 1)
        self.add_peers(OWN_DOMAIN, 3, unreached=True)
        self.add_peers(OTHER_DOMAIN, 5)
        self.assertAlmostEqual(0.25, self.measure_own_share(), delta=0.08)

    # Guards against calls that are lost at peers which are cut as well and
    # don't report it yet: one after another of the own domain is asked.
    def test_other_domain_follows_a_call_that_is_handed_back(self) -> None:
        """Within one call, and for the calls of the next two seconds."""
        self.add_peers(OWN_DOMAIN, 6)
        self.add_peers(OTHER_DOMAIN, 2)
        first, second = self.choose()[:2]
        self.assertEqual(
            (OWN_DOMAIN, OTHER_DOMAIN),
            (first.failure_domain, second.failure_domain),
        )
        self.peers.record_handed_back(first.address, SERVICE)
        asked = {peer.address for _ in range(50) for peer in self.choose()}
        self.assertNotIn(first.address, asked)
        self.assertIn(first, self.peers.choose('chat'))
        self.clock.advance(handover_peers.HANDED_BACK_MS)
        self.add_peers(OWN_DOMAIN, 6)
        asked = {peer.address for _ in range(50) for peer in self.choose()}
        self.assertIn(first.address, asked)

    # Guards against calls that nobody is asked to run, since each peer has
    # just handed one back when a target had ended.
    def test_peers_that_have_handed_back_come_last(self) -> None:
        """They are asked if there is no other."""
        self.add_peers(OTHER_DOMAIN, 2)
        first, second = self.choose()
        self.peers.record_handed_back(first.address, SERVICE)
        self.assertEqual([second, first], self.choose())
        self.peers.record_handed_back(second.address, SERVICE)
        self.assertEqual({first, second}, set(self.choose()))

    def is_handed_back(
        self, reason: RefusalReason, mark: dict[str, str]
    ) -> bool:
        """Return True if the sender of a call asks another peer."""
        reply = mock.Mock()
        send_refusal(
            mock.Mock(header_map=mark), reply, GatewayRefusal(reason, 100)
        )
        headers = reply.send_answer.call_args.args[2]
        header_map = {name.lower(): value for name, value in headers}
        return handover_mark.is_handed_back(header_map)

    def test_only_refusals_that_concern_the_peer_are_handed_back(self) -> None:
        """A limit or the load of the targets concerns all instances."""
        mark = {
            name.lower(): value
            for name, value in call_headers.encode_handover_headers(
                [],
                [],
                deadline_ms=500,
                continued_attempt='',
                last_event=None,
            )
        }
        self.assertTrue(handover_mark.is_handed_over(mark))
        handed_back = {
            reason
            for reason in RefusalReason
            if self.is_handed_back(reason, mark)
        }
        self.assertEqual(
            {
                RefusalReason.NOT_CONFIGURED,
                RefusalReason.FACTS_TOO_OLD,
                RefusalReason.STOPPING,
                RefusalReason.NOT_SENT,
            },
            handed_back,
        )
        self.assertEqual({503}, {reason.status for reason in handed_back})

    # Guards against an instance of the version before, which relays a call
    # that is handed back as a refusal.
    def test_sender_of_the_version_before_gets_no_call_back(self) -> None:
        """Nor does a caller."""
        for mark in ({'lagoonbend-handed-over': '1'}, {}):
            self.assertFalse(self.is_handed_back(RefusalReason.NOT_SENT, mark))
            self.assertFalse(handover_mark.may_hand_back(mark))

    # Guards against an answer of a target that is taken for a refusal.
    def test_signed_answer_is_not_handed_back(self) -> None:
        """A target may send any header."""
        answer = Answer()
        answer.status = 503
        answer.header_map['lagoonbend-handed-back'] = '1'
        report = AttemptReport(AttemptOutcome.ERROR_ANSWER, answer=answer)
        self.assertTrue(handover._is_handed_back(report))
        answer.header_map['server-stamp'] = 'stamp'
        self.assertFalse(handover._is_handed_back(report))
