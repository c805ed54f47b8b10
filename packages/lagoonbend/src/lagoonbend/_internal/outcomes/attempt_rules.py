"""Decides how a call continues after an attempt."""

from typing import NamedTuple

from lagoonbend._internal.models.verdict import Verdict
from lagoonbend._internal.outcomes.attempt_outcome import AttemptOutcome
from lagoonbend._internal.outcomes.next_step import NextStep


class RetryContext(NamedTuple):
    """What the decision on a retry depends on.

    :param outcome: outcome of the attempt.
    :param may_repeat: True if the call may run more than once.
    :param has_begun: True if a part of the answer was sent to the caller, so
        that no other answer can replace it.
    :param may_have_run: True if the call may have run in this or an earlier
        attempt.
    :param runs_left: number of further attempts in which the call may run; an
        attempt that certainly did not run it uses up none.
    :param has_time: True if another attempt can finish in time.
    :param has_budget: True if the retry budget permits another attempt.
    """

    outcome: AttemptOutcome
    may_repeat: bool
    has_begun: bool
    may_have_run: bool
    runs_left: int
    has_time: bool
    has_budget: bool


def decide_next_step(context: RetryContext) -> NextStep:
    """Return how a call continues after an attempt.

    A call that must not run twice is retried only if it certainly did not run
    in any attempt. ``REFUSE_NOT_RUN`` assures the caller that the call did not
    run, so it is returned only if that is certain.
    """
    if context.outcome is AttemptOutcome.WHOLE_ANSWER:
        return NextStep.RELAY
    may_send_again = context.may_repeat or not context.may_have_run
    has_runs = (
        context.runs_left > 0 or context.outcome.verdict is Verdict.NOT_RUN
    )
    if may_send_again and has_runs and context.has_time and context.has_budget:
        return NextStep.RETRY
    if context.has_begun:
        return NextStep.BREAK_STREAM
    if context.outcome is AttemptOutcome.ERROR_ANSWER:
        return NextStep.RELAY
    if context.may_have_run:
        return NextStep.FAIL_MAY_HAVE_RUN
    return NextStep.REFUSE_NOT_RUN
