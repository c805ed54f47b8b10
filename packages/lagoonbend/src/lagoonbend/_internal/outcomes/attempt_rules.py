"""Decides what follows the end of an attempt."""

from typing import NamedTuple

from lagoonbend._internal.models.verdict import Verdict
from lagoonbend._internal.outcomes.attempt_outcome import AttemptOutcome
from lagoonbend._internal.outcomes.next_step import NextStep


class RetryContext(NamedTuple):
    """What the decision rests on.

    :param end: how the attempt ended.
    :param may_repeat: True if the call may run more than once.
    :param has_begun: True if bytes of an answer have gone to the caller.
    :param may_have_run: True if this or an earlier attempt may have run.
    :param runs_left: targets that may still run the call.
    :param has_time: True if another attempt can end in time.
    :param has_budget: True if another send is within the retry budget.
    """

    end: AttemptOutcome
    may_repeat: bool
    has_begun: bool
    may_have_run: bool
    runs_left: int
    has_time: bool
    has_budget: bool


def decide_next_step(facts: RetryContext) -> NextStep:
    """Return what follows an attempt.

    A call that may not repeat is sent again only if no attempt may have
    run. A refusal that says "not run" is given only if that is certain.
    """
    if facts.end is AttemptOutcome.WHOLE_ANSWER:
        return NextStep.RELAY
    may_send = facts.may_repeat or not facts.may_have_run
    has_runs = facts.runs_left > 0 or facts.end.verdict is Verdict.NOT_RUN
    if may_send and has_runs and facts.has_time and facts.has_budget:
        return NextStep.RETRY
    if facts.has_begun:
        return NextStep.BREAK_STREAM
    if facts.end is AttemptOutcome.ERROR_ANSWER:
        return NextStep.RELAY
    if facts.may_have_run:
        return NextStep.FAIL_MAY_HAVE_RUN
    return NextStep.REFUSE_NOT_RUN
