"""What follows each end of an attempt, for each kind of call."""

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
    """Return every combination that can occur."""
    switches = itertools.product((False, True), repeat=5)
    combinations = itertools.product(AttemptOutcome, list(switches), (0, 1))
    return [
        RetryContext(end, repeat, begun, may_run, runs, time, budget)
        for end, (repeat, begun, may_run, time, budget), runs in combinations
        if may_run or end.verdict is Verdict.NOT_RUN
        if may_run or not begun
    ]


class AttemptRulesTest(unittest.TestCase):
    """Properties over the whole table."""

    def test_call_that_may_not_repeat_is_sent_again_only_if_not_run(
        self,
    ) -> None:
        """Whatever else holds."""
        for context in list_all_contexts():
            if decide_next_step(context) is NextStep.RETRY:
                self.assertTrue(context.may_repeat or not context.may_have_run)
                self.assertTrue(context.has_time and context.has_budget)

    def test_not_run_is_said_only_if_certain(self) -> None:
        """And only while no byte has gone to the caller."""
        for context in list_all_contexts():
            if decide_next_step(context) is NextStep.REFUSE_NOT_RUN:
                self.assertFalse(context.may_have_run, context)
                self.assertFalse(context.has_begun, context)

    def test_begun_stream_goes_on_or_breaks(self) -> None:
        """It never turns into another answer."""
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
        """A target that did not run the call costs no run."""
        for context in list_all_contexts():
            is_retry = decide_next_step(context) is NextStep.RETRY
            if is_retry and not context.runs_left:
                self.assertIs(Verdict.NOT_RUN, context.outcome.verdict)

    def test_own_error_of_a_target_is_relayed_at_last(self) -> None:
        """When nothing else can be tried."""
        context = RetryContext(
            AttemptOutcome.ERROR_ANSWER, True, False, True, 0, True, True
        )
        self.assertIs(NextStep.RELAY, decide_next_step(context))


class RetryShareTest(unittest.TestCase):
    """The sum over all instances keeps to the bound."""

    def test_sum_over_instances_stays_within_the_bound(self) -> None:
        """Also with no requests at all."""
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
        """A window later the slack is there again."""
        clock = PausedClock()
        share = RetryShare(clock, 0.2, 5.0, 10.0)
        self.assertEqual(4, sum(share.spend() for _ in range(10)))
        clock.advance(10_001)
        self.assertTrue(share.spend())


if __name__ == '__main__':
    unittest.main()
