"""Refusals that a faulty target writes once more.

Guards against callers that are told 'not run, try again' of a request which a
target has run, and against such a request that runs at a second target, since
an earlier refusal arrives on a kept connection in place of its answer.
"""

import unittest

import gevent

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet
from tests.lib.repeating_target import RepeatingTarget

CALL_COUNT = 20
PAUSE_S = 0.03
"""Shorter than the time for which a connection is kept for such requests."""


class RepeatedRefusalsTest(unittest.TestCase):
    """One instance; both targets of a service repeat refusals."""

    def check_refusals(self, *, has_identity: bool, headers: bytes) -> None:
        """Check that no request runs twice, or is refused and has run."""
        targets = [
            RepeatingTarget(has_identity=has_identity, headers=headers)
            for _ in range(2)
        ]
        fleet = gateway_fleet.GatewayFleet(1, service_count=0)
        statuses: dict[str, int] = {}
        with fleet:
            for number, target in enumerate(targets):
                self.addCleanup(target.close)
                fleet.register_endpoint(
                    f'desk-{number}', 'desk', f'127.0.0.1:{target.port}'
                )
            gevent.sleep(1.0)
            for number in range(CALL_COUNT):
                attempt = f'a{number}'
                answer = exchange(
                    fleet.callers_port(0),
                    'POST',
                    '/booking/x',
                    body=b'body',
                    headers=gateway_fleet.build_call_headers(attempt),
                )
                statuses[attempt] = answer.status
                gevent.sleep(PAUSE_S)
        runs = [run for target in targets for run in target.runs]
        for attempt, status in statuses.items():
            self.assertLessEqual(runs.count(attempt), 1)
            if status in (429, 503):
                self.assertNotIn(attempt, runs)
            if status == 200:
                self.assertIn(attempt, runs)
        self.assertIn(503, statuses.values())

    # Guards against a refusal without an identity, which belongs to the call
    # before.
    def test_refusal_without_identity_ends_its_connection(self) -> None:
        """A later one on the connection may be the same one again."""
        self.check_refusals(has_identity=False, headers=b'')

    # Guards against a call that is sent to a target again after a short pause,
    # on the connection on which it was refused.
    def test_call_is_sent_again_on_another_connection(self) -> None:
        """The refusal of the first time bears its identity, too."""
        self.check_refusals(
            has_identity=True, headers=b'Retry-After: 0.001\r\n'
        )
