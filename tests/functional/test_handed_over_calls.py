"""Calls that an instance without links to targets hands over to a peer.

Guards against calls that run twice, go on without their caller or look
complete although they aren't, since there is one more instance on their way.
"""

import socket
import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from lagoonbend_devkit._internal.gateway.link_cut import CutKind

CUT = 0
PEER = 1
SETTLE_S = 1.5
"""Time for a few calls and a heartbeat, after which a cut is known."""
BURST = 15
REFILL_S = 4.0
"""Time after which the limit of ten requests a second has its burst again."""
CANCEL_S = 0.5
"""Time of the users' rules within which targets end work without a caller."""


class HandedOverCallsTest(unittest.TestCase):
    """Two instances, of which the first one's links are cut."""

    def setUp(self) -> None:
        """Start a fleet, and let the first instance notice the cut."""
        self.fleet = gateway_fleet.GatewayFleet(can_cut=True)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.cut_links(CUT, CutKind.REFUSE)
        gevent.sleep(0.1)
        for route in ('look-up', 'stream'):
            self.send(route, f'notice-{route}')
        gevent.sleep(SETTLE_S)

    def send(
        self,
        route: str,
        attempt: str,
        fault: str = '',
        instance: int = CUT,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request, to the instance that is cut off by default."""
        return exchange(
            self.fleet.callers_port(instance),
            'POST',
            f'/{route}/x',
            body=b'body',
            headers={
                **gateway_fleet.build_call_headers(attempt, fault),
                **(headers or {}),
            },
            timeout_s=8.0,
        )

    def count_runs(self, attempt: str) -> int:
        """Return how often targets ran a request."""
        return [run.attempt for run in self.fleet.runs].count(attempt)

    # Guards against work that goes on for a caller who has left, since only
    # the first of two instances notices.
    def test_caller_that_leaves_ends_its_work(self) -> None:
        """The target sees its connection close within half a second."""
        sock = socket.create_connection(
            ('127.0.0.1', self.fleet.callers_port(CUT))
        )
        sock.sendall(
            b'GET /look-up/x HTTP/1.1\r\nHost: calls.example\r\n'
            b'Attempt-Id: leaver\r\nAuthorization: Bearer k-first\r\n'
            b'X-Fault: silent\r\n\r\n'
        )
        gevent.sleep(0.3)
        self.assertEqual(1, self.count_runs('leaver'))
        sock.close()
        gevent.sleep(CANCEL_S)
        abandoned = [t.abandoned_attempts for t in self.fleet.targets.values()]
        self.assertIn(['leaver'], abandoned)

    # Guards against a booking that is made twice, or reported as not made,
    # since the peer ends while a target runs it.
    def test_unrepeatable_call_is_not_sent_again_when_the_peer_ends(
        self,
    ) -> None:
        """It may have run, and has run once."""
        answers: list[Answer] = []
        greenlet = gevent.spawn(
            lambda: answers.append(self.send('booking', 'once', 'silent'))
        )
        gevent.sleep(0.3)
        self.assertEqual(1, self.count_runs('once'))
        self.fleet.processes[PEER].kill()
        greenlet.join()
        self.assertEqual(502, answers[0].status)
        self.assertEqual(1, self.count_runs('once'))

    # Guards against the promise 'not run' to a caller whose time ends while a
    # peer runs its call.
    def test_call_whose_time_ends_at_a_peer_may_have_run(self) -> None:
        """It has run once, and its caller must not send it again."""
        answer = self.send(
            'booking', 'slow', 'silent', headers={'Deadline-Ms': '600'}
        )
        self.assertEqual(1, self.count_runs('slow'))
        self.assertIn(answer.status, (502, 504))

    # Guards against a broken stream that ends as if it were whole.
    def test_incomplete_stream_stays_incomplete(self) -> None:
        """Its target breaks off, and the route may not repeat it."""
        answer = self.send('once-stream', 'broken', 'cut-stream')
        self.assertEqual(0, answer.status)
        self.assertEqual(1, self.count_runs('broken'))

    # Guards against an answer of a target that is changed on the longer way.
    def test_error_of_a_target_is_relayed(self) -> None:
        """It bears the signature of the target."""
        answer = self.send('booking', 'failing', 'error')
        self.assertEqual((500, b'failed'), (answer.status, answer.body))
        self.assertEqual(1, self.count_runs('failing'))

    # Guards against a promise of a target that a peer passes on.
    def test_false_promise_of_a_target_is_replaced(self) -> None:
        """It has run the call."""
        answer = self.send('booking', 'promised', 'ran-503')
        self.assertEqual(502, answer.status)
        self.assertNotIn('server-stamp', answer.headers)
        self.assertEqual(1, self.count_runs('promised'))

    # Guards against requests to a target that has said that it leaves, in an
    # answer that the instance has passed on.
    def test_target_that_leaves_gets_no_request_after_the_cut(self) -> None:
        """Whatever the platform lists."""
        self.send('look-up', 'before', 'leaving')
        (before,) = [
            r.target for r in self.fleet.runs if r.attempt == 'before'
        ]
        self.fleet.mend_links(CUT)
        gevent.sleep(SETTLE_S)
        for number in range(12):
            answer = self.send('look-up', f'after-{number}')
            self.assertEqual(200, answer.status)
        after = {
            run.target
            for run in self.fleet.runs
            if run.attempt.startswith('after')
        }
        self.assertEqual({'desk-0', 'desk-1'} - {before}, after)

    # Guards against calls that are counted twice against their customer's
    # limit, at each of the two instances.
    def test_limit_counts_a_call_once(self) -> None:
        """As many of a burst are served as at the peer itself."""
        self.fleet.publish_configuration(rate_per_s=10)
        gevent.sleep(REFILL_S)
        # The shares of the limit follow the demand.
        self.count_served(PEER)
        gevent.sleep(REFILL_S)
        at_cut = self.count_served(CUT)
        gevent.sleep(REFILL_S)
        at_peer = self.count_served(PEER)
        self.assertIn(at_peer, range(1, BURST))
        self.assertGreaterEqual(at_cut, at_peer - 1)
        self.assertLessEqual(at_cut, at_peer + 1)

    def count_served(self, instance: int) -> int:
        """Send a burst of requests; return how many are served."""
        greenlets = [
            gevent.spawn(self.send, 'look-up', f'a{number}', instance=instance)
            for number in range(BURST)
        ]
        gevent.joinall(greenlets, raise_error=True)
        return [item.value.status for item in greenlets].count(200)

    # Guards against a caller that gets a call past the checks by the mark of
    # a call that is handed over, and against the mark at targets.
    def test_forged_mark_gains_nothing(self) -> None:
        """An unknown key is rejected, and a call goes no further."""
        mark = {'Lagoonbend-Handed-Over': '1'}
        answer = self.send(
            'look-up',
            'forged',
            headers={**mark, 'Authorization': 'Bearer unknown'},
        )
        self.assertEqual(401, answer.status)
        answer = self.send('look-up', 'marked', headers=mark)
        self.assertEqual(503, answer.status)
        self.fleet.mend_links(CUT)
        gevent.sleep(SETTLE_S)
        answer = self.send('look-up', 'direct', headers=mark)
        self.assertEqual(200, answer.status)
        (run,) = (r for r in self.fleet.runs if r.attempt == 'direct')
        self.assertNotIn('lagoonbend-handed-over', run.request.header_map)
