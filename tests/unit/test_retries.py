"""Retries while every target fails after the request was sent.

The tests guard against retries that multiply the load during an outage, a
non-idempotent call that is sent twice, and a refusal that hides an earlier
dispatch, which may have run.
"""

import unittest

from lagoonbend.attempts import Admit
from lagoonbend.attempts import CallAttempt
from lagoonbend.attempts import Connect
from lagoonbend.attempts import refusals
from lagoonbend.attempts import RetryBudget
from lagoonbend.attempts import SendRequest
from lagoonbend.attempts import Step
from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import DispatchError
from lagoonbend.exceptions import RefusedError
from lagoonbend.invariants import Invariants
from lagoonbend.models import Target
from lagoonbend.models import Verdict
from lagoonbend.routing import Assignment
from lagoonbend.routing import TargetState
from lagoonbend.routing import WorkEstimate
from lagoonbend_devkit._internal.worlds.scripted_world import ScriptedWorld
from tests.lib.calls import build_call

CALLS = 1_000
TARGET = Target('service', 'service', '127.0.0.1', 1, 'north')


class RetryTest(unittest.TestCase):
    """Every target resets the connection after the request was sent."""

    def test_outage_adds_a_tenth_at_most(self) -> None:
        """Retries of idempotent calls add at most 10 % of the calls."""
        budget = RetryBudget()
        dispatch_count = sum(
            self._run_in_outage(budget, idempotent=True) for _ in range(CALLS)
        )
        self.assertGreater(dispatch_count, CALLS)
        self.assertLessEqual(dispatch_count, CALLS + CALLS // 10)

    def test_question_is_never_dispatched_twice(self) -> None:
        """A non-idempotent call is dispatched only once."""
        budget = RetryBudget()
        for _ in range(CALLS):
            self.assertEqual(1, self._run_in_outage(budget, idempotent=False))

    def test_refusal_after_a_dispatch_says_that_it_may_have_run(self) -> None:
        """A retry that is refused does not hide the first dispatch."""
        budget = RetryBudget()
        for _ in range(20):
            budget.earn()
        call_attempt = self._build(budget, idempotent=True)
        steps = call_attempt.run()
        step: Step = next(steps)
        with self.assertRaises(RefusedError) as caught:
            while True:
                if isinstance(step, Admit) and call_attempt.dispatch_count:
                    step = steps.throw(refusals.refuse_deadline_passed())
                else:
                    step = _fail_write(steps, step)
        refusal = caught.exception.refusal
        self.assertIs(Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertIs(Verdict.MAY_HAVE_RUN, refusal.attempt_verdict)

    def _run_in_outage(self, budget: RetryBudget, *, idempotent: bool) -> int:
        call_attempt = self._build(budget, idempotent=idempotent)
        steps = call_attempt.run()
        step: Step = next(steps)
        with self.assertRaises(RefusedError) as caught:
            while True:
                step = _fail_write(steps, step)
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.refusal.verdict)
        return call_attempt.dispatch_count

    def _build(self, budget: RetryBudget, *, idempotent: bool) -> CallAttempt:
        world = ScriptedWorld()
        return CallAttempt(
            build_call(idempotent=idempotent),
            PausedClock(),
            world.process(0).holder_directory,
            budget,
            Invariants(strict=True),
            receipt_life_ms=400,
        )


def _fail_write(steps: object, step: Step) -> Step:
    generator = steps
    assert hasattr(generator, 'send') and hasattr(generator, 'throw')
    following: Step
    if isinstance(step, SendRequest):
        error = DispatchError('reset', verdict=Verdict.MAY_HAVE_RUN)
        following = generator.throw(error)
    elif isinstance(step, Admit):
        state = TargetState(TARGET)
        work = WorkEstimate(0, 0)
        following = generator.send(Assignment(state, work, 0))
    elif isinstance(step, Connect):
        following = generator.send('connection')
    else:
        following = generator.send(None)
    return following
