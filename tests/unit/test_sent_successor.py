"""A call whose target fails while another one is just getting it.

Guards against more runs than the route's limit on attempts, and against a
refusal that says that a call has not run although the other target may run it.
"""

import unittest
from unittest import mock

from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import NextStep
from lagoonbend.outcomes import SendRecord
from lagoonbend_entry._internal.gateway import call_handler
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from tests.unit.test_errors_amid_a_call import ROUTE

LEFT_MS = 1_000


class SentSuccessorTest(unittest.TestCase):
    """The search is cancelled; the end of its attempt isn't counted yet."""

    def choose(
        self, outcome: AttemptOutcome, *, attempt_limit: int, is_sent: bool
    ) -> NextStep:
        """Return what follows an attempt that ends in that moment."""
        call = mock.Mock(expires_at_ms=LEFT_MS)
        call.route = ROUTE._replace(
            is_idempotent=True, attempt_limit=attempt_limit
        )
        progress = CallProgress(call, SendRecord())
        progress.successor = mock.Mock()
        progress.successor.attempt.is_sent = is_sent
        if outcome is AttemptOutcome.RESET:
            progress.run_count = 1
            progress.sends.add(mock.Mock(is_sent=True))
        handler = mock.Mock()
        handler._clock.now_ms.return_value = 0
        return call_handler.CallHandler._choose_next_step(
            handler,
            progress,
            mock.Mock(has_begun=False),
            AttemptReport(outcome, target='first'),
            mock.Mock(),
            mock.Mock(has_found=False),
        )

    def test_run_of_the_other_target_counts(self) -> None:
        """A limit of two is used up by the two that have the call."""
        for limit, is_sent, expected in (
            (2, True, NextStep.FAIL_MAY_HAVE_RUN),
            (2, False, NextStep.RETRY),
            (3, True, NextStep.RETRY),
        ):
            with self.subTest(limit=limit, is_sent=is_sent):
                step = self.choose(
                    AttemptOutcome.RESET, attempt_limit=limit, is_sent=is_sent
                )
                self.assertIs(expected, step)

    def test_rejection_does_not_refuse_a_call_that_may_run(self) -> None:
        """The first target has not run it; the other one may."""
        for is_sent, expected in (
            (True, NextStep.FAIL_MAY_HAVE_RUN),
            (False, NextStep.REFUSE_NOT_RUN),
        ):
            with mock.patch.object(call_handler, 'MIN_ATTEMPT_MS', 2_000):
                step = self.choose(
                    AttemptOutcome.TURNED_AWAY,
                    attempt_limit=2,
                    is_sent=is_sent,
                )
            self.assertIs(expected, step)


if __name__ == '__main__':
    unittest.main()
