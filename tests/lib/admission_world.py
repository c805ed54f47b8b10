"""Simulation of random arrivals and completions at an admission control."""

import random

from lagoonbend.clock import PausedClock
from lagoonbend.exceptions import RefusedError
from lagoonbend.invariants import Invariants
from lagoonbend.models import Call
from lagoonbend.models import RequestClass
from lagoonbend.models import Target
from lagoonbend.queueing import AdmissionControl
from lagoonbend.queueing import QueuedCall
from lagoonbend.queueing import TierQueue
from lagoonbend.routing import Assignment
from lagoonbend.routing import TargetTable
from lagoonbend.routing import WorkEstimate

ENGINE_COUNT = 3
QUEUE_CAPACITY = 6
RANK_COUNT = 3
DEADLINE_MS_BY_RANK = (2_000, 5_000, 20_000)


class FakeQueuedCall:
    """Queued call that records its assignment and its outcomes.

    :param call: the call.
    :param work: estimate of the work that the call causes at a target.
    """

    def __init__(self, call: Call, work: WorkEstimate) -> None:
        self.call = call
        self.work = work
        self.assignment: Assignment | None = None
        self.outcomes: list[str] = []

    def grant(self, assignment: Assignment) -> None:
        """Record the assigned target."""
        self.assignment = assignment

    def refuse(self, error: RefusedError) -> None:
        """Record the code of the refusal."""
        self.outcomes.append(error.refusal.code.value)

    def preempt(self, error: RefusedError) -> None:
        """Record that the call was preempted by a more urgent one."""
        self.outcomes.append('preempted')


class AdmissionWorld:
    """Runs calls of three tiers that arrive and complete at random.

    The clock is paused, so a run with the same seed takes the same course.

    :param seed: seed of the random numbers.
    :param control_type: class of the admission control under test.
    :param queue_type: class of the queue under test.
    """

    def __init__(
        self,
        seed: int,
        control_type: type[AdmissionControl] = AdmissionControl,
        queue_type: type[TierQueue] = TierQueue,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = PausedClock()
        self.invariants = Invariants(strict=True)
        self.table = TargetTable(
            self.clock,
            policy='expected_time',
            rng=random.Random(seed),
            outstanding_limit=2,
            backlog_limit_ms=300,
        )
        self.table.apply(
            Target(f'engine-{n}', 'engine', '', 0, '', ('model',))
            for n in range(ENGINE_COUNT)
        )
        queue: TierQueue[QueuedCall] = queue_type(
            QUEUE_CAPACITY, self.invariants
        )
        self.queue = queue
        self.control = control_type(
            self.clock,
            queue,
            self.table,
            self.invariants,
            preempt_slack_ms=300,
        )
        self.queued_calls: list[FakeQueuedCall] = []

    def arrive(self, rank: int) -> FakeQueuedCall:
        """Submit a new call of tier ``rank`` and return it."""
        now_ms = self.clock.now_ms()
        name = f'tier-{rank}'
        request_class = RequestClass(
            name,
            name,
            rank,
            'engine',
            rank > 0,  # idempotent
            False,  # key_required
            DEADLINE_MS_BY_RANK[rank],
        )
        call = Call(
            f'attempt-{len(self.queued_calls)}',
            'customer',
            'POST',
            '/v1/chat/completions',
            '',
            b'',
            'model',
            True,  # streaming
            None,  # key
            request_class,
            now_ms,
            True,  # age_known
            now_ms + DEADLINE_MS_BY_RANK[rank],
        )
        work = WorkEstimate(self.rng.randint(50, 5_000), 10)
        queued_call = FakeQueuedCall(call, work)
        self.queued_calls.append(queued_call)
        self.control.submit(queued_call)
        return queued_call

    def complete_one(self) -> None:
        """Complete one random running call, if any call is running."""
        running = [
            queued_call
            for queued_call in self.queued_calls
            if queued_call.assignment and not queued_call.outcomes
        ]
        if not running:
            return
        queued_call = self.rng.choice(running)
        queued_call.outcomes.append('answered')
        assert queued_call.assignment is not None
        self.control.release(queued_call.assignment)

    def run(self, steps: int) -> None:
        """Run random steps: an arrival, a completion, or the passing of time.

        The invariants are strict: a violation raises an exception.
        """
        for _ in range(steps):
            draw = self.rng.random()
            if draw < 0.5:
                self.arrive(self.rng.randrange(RANK_COUNT))
            elif draw < 0.7:
                self.complete_one()
            else:
                self.clock.advance(self.rng.randint(1, 200))
                self.control.tick()
