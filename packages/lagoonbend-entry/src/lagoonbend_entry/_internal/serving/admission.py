"""Lets calls wait until a target has room."""

from lagoonbend.attempts import refusals
from lagoonbend.clock import Clock
from lagoonbend.exceptions import CallerGoneError
from lagoonbend.models import Call
from lagoonbend.queueing import TierQueue
from lagoonbend.queueing import Waiter
from lagoonbend.routing import TargetState
from lagoonbend.routing import TargetTable
from lagoonbend.routing import WorkEstimate
from lagoonbend_entry._internal.serving.waiting_call import WaitingCall

MILLISECONDS_PER_SECOND = 1000
SHORTEST_RETRY_MS = 500
LONGEST_RETRY_MS = 30_000


class Admission:
    """Admits calls in order of tier and deadline.

    :param clock: clock of the instance.
    :param queue: queue of waiting calls.
    :param table: targets.
    """

    def __init__(
        self,
        clock: Clock,
        queue: TierQueue[WaitingCall],
        table: TargetTable,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._table = table

    def admit(self, call: Call, work: WorkEstimate) -> TargetState:
        """Wait for a target; count the work there.

        :raises RefusedError: if the call has to be given up.
        """
        if not self._table.serves(call.request_class.kind, call.model):
            raise refusals.refuse_no_target(refusals.SOON_MS)
        waiting = WaitingCall(call, work)
        waiter = self._enqueue(waiting)
        self.pump()
        try:
            state = waiting.wait(self._measure_slack_s(call))
        except CallerGoneError:
            self._withdraw(waiter)
            raise
        if state is None:
            self._withdraw(waiter)
            raise refusals.refuse_late()
        return state

    def leave(self, state: TargetState, work: WorkEstimate) -> None:
        """Count the work at a target as over and let others run."""
        state.end(work)
        self.pump()

    def pump(self) -> None:
        """Give targets with room to the most urgent waiting calls."""
        while True:
            waiter = self._queue.take(self._is_runnable)
            if waiter is None:
                return
            waiting = waiter.item
            request_class = waiting.call.request_class
            state = self._table.choose(
                request_class.kind, waiting.call.model, waiting.work
            )
            if state is None:
                waiting.refuse(refusals.refuse_no_target(refusals.SOON_MS))
                continue
            state.begin(waiting.work)
            waiting.give(state)

    def estimate_wait_ms(self) -> int:
        """Return how long the waiting work will take."""
        tokens = sum(waiter.item.work.tokens for waiter in self._queue)
        tokens += sum(state.outstanding_tokens for state in self._table)
        speed = sum(state.tokens_per_s for state in self._table)
        if not speed:
            return LONGEST_RETRY_MS
        wait_ms = int(tokens / speed * MILLISECONDS_PER_SECOND)
        return max(SHORTEST_RETRY_MS, min(wait_ms, LONGEST_RETRY_MS))

    def _enqueue(self, waiting: WaitingCall) -> Waiter[WaitingCall]:
        call = waiting.call
        offer = self._queue.offer(
            waiting, call.request_class.rank, call.deadline_ms
        )
        if offer.displaced is not None:
            error = refusals.refuse_displaced(self.estimate_wait_ms())
            offer.displaced.item.refuse(error)
        if offer.accepted is None:
            raise refusals.refuse_queue_full(self.estimate_wait_ms())
        return offer.accepted

    def _withdraw(self, waiter: Waiter[WaitingCall]) -> None:
        if self._queue.remove(waiter):
            return
        # The turn came while the waiter was giving up.
        state = waiter.item.take_turn()
        if state is not None:
            self.leave(state, waiter.item.work)

    def _is_runnable(self, waiting: WaitingCall) -> bool:
        call = waiting.call
        return self._table.has_room(call.request_class.kind, call.model)

    def _measure_slack_s(self, call: Call) -> float:
        slack_ms = call.deadline_ms - self._clock.now_ms()
        return max(slack_ms, 0) / MILLISECONDS_PER_SECOND
