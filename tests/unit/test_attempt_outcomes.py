"""Next step after each outcome of an attempt, for each kind of call.

A wrong decision could run a call twice that must not repeat, tell the caller
that a call did not run although it may have, or mix two answers in one stream.
The bound on retries keeps an outage from multiplying the load.
"""

import itertools
import unittest

from lagoonbend.clock import PausedClock
from lagoonbend.models import Verdict
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import decide_next_step
from lagoonbend.outcomes import NextStep
from lagoonbend.outcomes import RetryContext
from lagoonbend.outcomes import RetryShare


def list_all_contexts() -> list[RetryContext]:
    """Return every combination of inputs that can occur."""
    flag_sets = itertools.product((False, True), repeat=5)
    combinations = itertools.product(AttemptOutcome, list(flag_sets), (0, 1))
    return [
        RetryContext(
            outcome,
            may_repeat,
            has_begun,
            may_have_run,
            runs_left,
            has_time,
            has_budget,
        )
        for outcome, (
            may_repeat,
            has_begun,
            may_have_run,
            has_time,
            has_budget,
        ), runs_left in combinations
        if may_have_run or outcome.verdict is Verdict.NOT_RUN
        if may_have_run or not has_begun
    ]


class AttemptRulesTest(unittest.TestCase):
    """Properties that hold for all combinations of inputs."""

    def test_call_that_may_not_repeat_is_sent_again_only_if_not_run(
        self,
    ) -> None:
        """A call that may have run and must not repeat gets no retry."""
        for context in list_all_contexts():
            if decide_next_step(context) is NextStep.RETRY:
                self.assertTrue(context.may_repeat or not context.may_have_run)
                self.assertTrue(context.has_time and context.has_budget)

    def test_not_run_is_said_only_if_certain(self) -> None:
        """The caller has received no byte of an answer either."""
        for context in list_all_contexts():
            if decide_next_step(context) is NextStep.REFUSE_NOT_RUN:
                self.assertFalse(context.may_have_run, context)
                self.assertFalse(context.has_begun, context)

    def test_begun_stream_goes_on_or_breaks(self) -> None:
        """A begun stream is never replaced by another answer."""
        for context in list_all_contexts():
            if (
                context.has_begun
                and context.outcome is not AttemptOutcome.WHOLE_ANSWER
            ):
                self.assertIn(
                    decide_next_step(context),
                    (NextStep.RETRY, NextStep.BREAK_STREAM),
                )

    def test_runs_stay_within_the_limit_of_the_route(self) -> None:
        """Attempts that the target did not run are not counted."""
        for context in list_all_contexts():
            is_retry = decide_next_step(context) is NextStep.RETRY
            if is_retry and not context.runs_left:
                self.assertIs(Verdict.NOT_RUN, context.outcome.verdict)

    def test_own_error_of_a_target_is_relayed_at_last(self) -> None:
        """An error answer is relayed when no retry is left."""
        context = RetryContext(
            AttemptOutcome.ERROR_ANSWER, True, False, True, 0, True, True
        )
        self.assertIs(NextStep.RELAY, decide_next_step(context))


class RetryShareTest(unittest.TestCase):
    """The sum of the retries of all instances is bounded."""

    def test_sum_over_instances_stays_within_the_bound(self) -> None:
        """The bound holds for any number of instances and requests."""
        for instance_count in (1, 7, 84, 420):
            for requests in (0, 3, 50):
                repeats = 0
                for _ in range(instance_count):
                    share = RetryShare(PausedClock(), 0.2, 52.0, 10.0)
                    share.instance_count = instance_count
                    for _ in range(requests):
                        share.record_request()
                    repeats += sum(share.spend() for _ in range(100))
                bound = 0.2 * requests * instance_count + 52
                self.assertLessEqual(repeats, bound)

    def test_rights_return_with_time(self) -> None:
        """After a window has passed, the slack is available again."""
        clock = PausedClock()
        share = RetryShare(clock, 0.2, 5.0, 10.0)
        self.assertEqual(4, sum(share.spend() for _ in range(10)))
        clock.advance(10_001)
        self.assertTrue(share.spend())


if __name__ == '__main__':
    unittest.main()
