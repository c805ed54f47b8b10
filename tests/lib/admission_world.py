"""Random arrivals and ends at a real admission control."""

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

ENGINES = 3
CAPACITY = 6
RANKS = 3
LIVES_MS = (2_000, 5_000, 20_000)


class FakeQueuedCall:
    """A call that notes what becomes of it.

    :param call: the call.
    :param work: its work.
    """

    def __init__(self, call: Call, work: WorkEstimate) -> None:
        self.call = call
        self.work = work
        self.assignment: Assignment | None = None
        self.ends: list[str] = []

    def grant(self, assignment: Assignment) -> None:
        """Note the target."""
        self.assignment = assignment

    def refuse(self, error: RefusedError) -> None:
        """Note the refusal."""
        self.ends.append(error.refusal.code.value)

    def preempt(self, error: RefusedError) -> None:
        """Note that the call made room."""
        self.ends.append('preempted')


class AdmissionWorld:
    """Calls of three tiers that arrive, run and end at random.

    :param seed: replays the run.
    :param control_type: class of the admission control.
    :param queue_type: class of the queue.
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
            for n in range(ENGINES)
        )
        queue: TierQueue[QueuedCall] = queue_type(CAPACITY, self.invariants)
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
        """Let a call arrive."""
        now_ms = self.clock.now_ms()
        name = f'tier-{rank}'
        request_class = RequestClass(
            name, name, rank, 'engine', rank > 0, False, LIVES_MS[rank]
        )
        call = Call(
            f'attempt-{len(self.queued_calls)}',
            'customer',
            'POST',
            '/v1/chat/completions',
            '',
            b'',
            'model',
            True,
            None,
            request_class,
            now_ms,
            True,
            now_ms + LIVES_MS[rank],
        )
        work = WorkEstimate(self.rng.randint(50, 5_000), 10)
        queued_call = FakeQueuedCall(call, work)
        self.queued_calls.append(queued_call)
        self.control.submit(queued_call)
        return queued_call

    def end_one(self) -> None:
        """Let a running call end."""
        running = [a for a in self.queued_calls if a.assignment and not a.ends]
        if not running:
            return
        queued_call = self.rng.choice(running)
        queued_call.ends.append('answered')
        assert queued_call.assignment is not None
        self.control.release(queued_call.assignment)

    def run(self, steps: int) -> None:
        """Let random things happen; every invariant is asserted."""
        for _ in range(steps):
            draw = self.rng.random()
            if draw < 0.5:
                self.arrive(self.rng.randrange(RANKS))
            elif draw < 0.7:
                self.end_one()
            else:
                self.clock.advance(self.rng.randint(1, 200))
                self.control.tick()
