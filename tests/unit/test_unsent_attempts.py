"""Grants that a call gives back without having sent a request.

Guards against a retry or a charge for each of them.
"""

import unittest
from unittest import mock

from lagoonbend.facts import CustomerRule
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import RetryShare
from lagoonbend.outcomes import SendRecord
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import SlotDecision
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry.testing import IncomingRequest
from tests.unit import test_errors_amid_a_call

TARGET = test_errors_amid_a_call.TARGET


class UnsentAttemptsTest(test_errors_amid_a_call.HandlerCase):
    """Some of the targets that are granted are not listed here."""

    def play(self, *is_listed: bool) -> mock.Mock:
        """Serve a call; return its retry budget.

        All targets but the last turn the call away.
        """
        directory = self.facts.target_directory
        directory.find.side_effect = {TARGET.target: TARGET}.get
        self.coordinator.acquire.side_effect = [
            SlotDecision('c', 'i', TARGET.target if listed else 'unlisted')
            for listed in is_listed
        ]
        left = sum(is_listed)

        def run(tried: Attempt) -> AttemptReport:
            nonlocal left
            left -= 1
            tried.is_sent = True
            if left:
                return AttemptReport(AttemptOutcome.TURNED_AWAY)
            return AttemptReport(AttemptOutcome.WHOLE_ANSWER, answer=Answer())

        share = mock.Mock()
        request = IncomingRequest(
            'POST', '/x', [], {}, b'', True, True, self.clock.now_ms()
        )
        with (
            mock.patch.object(
                self.handler, '_make_retry_share', lambda: share
            ),
            mock.patch.object(Attempt, 'run', run),
        ):
            reply = mock.Mock(has_begun=False, sends=SendRecord())
            self.handler.serve(request, reply)
        self.assertEqual(0, left)
        return share

    # Guards against a stream that breaks although its retry has been paid.
    def test_only_attempts_that_arrive_use_up_the_budget(self) -> None:
        """The first one is no retry."""
        share = self.play(True, False, False, True, True)
        self.assertEqual(2, share.spend.call_count)
        self.assertEqual(0, self.play(False, True).spend.call_count)

    # Guards against streams of other callers that are not retried, since the
    # budget was used up by retries that found no target.
    def test_retry_that_finds_no_target_is_paid_back(self) -> None:
        """The target turns the call away, and no other one is left."""
        self.facts.target_directory.find.return_value = TARGET
        denied = SlotDecision('c', 'i', denial=Denial.NO_TARGET)
        for found in (0, 1):
            share = RetryShare(self.clock, 0.0, 10.0, 10.0)
            self.coordinator.acquire.side_effect = [
                *[SlotDecision('c', 'i', TARGET.target)] * (1 + found),
                denied,
            ]
            self.serve_rejected(share)
            # Eight tenths of the slack are used.
            paid_count = 8 - sum(share.spend() for _ in range(8))
            self.assertEqual(found, paid_count)

    def serve_rejected(self, share: RetryShare) -> None:
        """Serve a call that each target turns away."""

        def run(tried: Attempt) -> AttemptReport:
            tried.is_sent = True
            return AttemptReport(AttemptOutcome.TURNED_AWAY)

        request = IncomingRequest(
            'POST', '/x', [], {}, b'', True, True, self.clock.now_ms()
        )
        self.handler._retry_shares.clear()
        with (
            mock.patch.object(
                self.handler, '_make_retry_share', lambda: share
            ),
            mock.patch.object(Attempt, 'run', run),
        ):
            reply = mock.Mock(has_begun=False, sends=SendRecord())
            self.handler.serve(request, reply)

    # Guards against a customer that is refused before its limit is reached.
    def test_call_is_charged_once(self) -> None:
        """The units are taken with the first grant."""
        customer = CustomerRule('customer', rate_per_s=1.0, burst=6.0)
        self.admission.admit.side_effect = lambda request: self.admit(
            request
        )._replace(customer=customer)
        self.play(False, False, True)
        requests = [
            item.args[0] for item in self.coordinator.acquire.call_args_list
        ]
        self.assertEqual([1.0, 0.0, 0.0], [r.cost_units for r in requests])


if __name__ == '__main__':
    unittest.main()
