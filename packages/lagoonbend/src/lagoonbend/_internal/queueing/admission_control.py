"""Decides which calls wait, run, are preempted and are refused."""

from collections.abc import Iterator

from lagoonbend._internal.attempts import refusals
from lagoonbend._internal.models.call import Call
from lagoonbend._internal.queueing.queued_call import QueuedCall
from lagoonbend._internal.queueing.tier_queue import TierQueue
from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.routing.assignment import Assignment
from lagoonbend._internal.routing.best_speed import BestSpeed
from lagoonbend._internal.routing.target_table import matches
from lagoonbend._internal.routing.target_table import TargetTable
from lagoonbend._internal.routing.wait_reason import WaitReason
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.invariants import Invariants

MILLISECONDS_PER_SECOND = 1000
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 30_000
"""Range of the time after which a refused call is asked to retry."""
MAX_SKIPS_PER_PASS = 8
"""Calls that stay in the queue for a target that has their prefix cached,
after which the pass over the queue ends."""


class AdmissionControl:
    """Admits calls in order of tier and deadline.

    A call is shed only if this instance keeps no work of a lower tier that
    could make room for it: neither a waiting call in a full queue, nor an
    idempotent call that runs at an engine which the urgent call could use.

    :param clock: clock of the instance.
    :param queue: waiting calls.
    :param table: targets.
    :param invariants: checks that must always hold.
    :param preempt_slack_ms: a waiting call preempts a running one of a lower
        tier once its slack, the time to its deadline less its estimated
        service time, is not greater than this.
    """

    def __init__(
        self,
        clock: Clock,
        queue: TierQueue[QueuedCall],
        table: TargetTable,
        invariants: Invariants,
        *,
        preempt_slack_ms: int,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._table = table
        self._invariants = invariants
        self._preempt_slack_ms = preempt_slack_ms
        self._running: dict[Assignment, QueuedCall] = {}
        self._held_until_ms = 0

    def submit(self, queued_call: QueuedCall) -> Waiter[QueuedCall] | None:
        """Queue a call; it may be granted a target immediately.

        :returns: None if the call was refused.
        """
        call = queued_call.call
        if not self._table.can_serve(call.request_class.kind, call.model):
            queued_call.refuse(
                refusals.refuse_no_target(refusals.SHORT_RETRY_AFTER_MS)
            )
            return None
        self._table.record_arrival(queued_call.work, call.request_class.rank)
        offer = self._queue.offer(
            queued_call, call.request_class.rank, call.deadline_ms
        )
        if offer.displaced is not None:
            error = refusals.refuse_displaced(self.estimate_wait_ms())
            offer.displaced.item.refuse(error)
        if offer.accepted is None:
            return self._submit_when_full(queued_call)
        self.assign_waiting()
        return offer.accepted

    def withdraw(self, waiter: Waiter[QueuedCall]) -> bool:
        """Remove a call from the queue; return False if it left already."""
        return self._queue.remove(waiter)

    def release(self, assignment: Assignment) -> None:
        """Free the capacity that a call used at its target."""
        self._running.pop(assignment, None)
        self._table.end(assignment)
        self.assign_waiting()

    def hold(self, until_ms: int) -> None:
        """Assign no targets until ``until_ms`` or a call of ``resume``.

        After a pause of its process, an instance may act on outdated facts.
        """
        self._held_until_ms = until_ms

    def resume(self) -> None:
        """Assign targets again, once the facts are confirmed as current."""
        self._held_until_ms = 0
        self.assign_waiting()

    def assign_waiting(self) -> None:
        """Assign targets that have room to the most urgent waiting calls."""
        if self._clock.now_ms() < self._held_until_ms:
            return
        full_groups: set[tuple[str, str, int]] = set()
        skips = 0
        for waiter in list(self._queue):
            call = waiter.item.call
            group = (call.request_class.kind, call.model, waiter.rank)
            if group in full_groups:
                continue
            result = self._try_assign(waiter)
            if result is WaitReason.NO_ROOM:
                full_groups.add(group)
            elif result is WaitReason.WAITS_FOR_CACHED_TARGET:
                skips += 1
                if skips >= MAX_SKIPS_PER_PASS:
                    return

    def tick(self) -> None:
        """Assign, preempt and refuse calls as time passes.

        Must be called often.
        """
        self.assign_waiting()
        speeds: dict[tuple[str, str], BestSpeed] = {}
        for waiter in list(self._queue):
            call = waiter.item.call
            group = (call.request_class.kind, call.model)
            if group not in speeds:
                speeds[group] = self._table.find_best_speed(*group)
            service_ms = speeds[group].estimate_service_ms(waiter.item.work)
            self._check_slack(waiter, service_ms)

    def estimate_wait_ms(self) -> int:
        """Return how long the waiting and running work will take."""
        tokens = sum(waiter.item.work.tokens for waiter in self._queue)
        tokens += sum(state.outstanding_tokens for state in self._table)
        speed = sum(state.tokens_per_s for state in self._table)
        if not speed:
            return MAX_RETRY_AFTER_MS
        wait_ms = int(tokens / speed * MILLISECONDS_PER_SECOND)
        return max(MIN_RETRY_AFTER_MS, min(wait_ms, MAX_RETRY_AFTER_MS))

    def _check_slack(
        self, waiter: Waiter[QueuedCall], service_ms: float
    ) -> None:
        """Preempt for a call short of time; refuse one that can't finish.

        :param service_ms: minimum time that the call needs at a target.
        """
        now_ms = self._clock.now_ms()
        slack_ms = waiter.deadline_ms - now_ms - service_ms
        if slack_ms > self._preempt_slack_ms or self._preempt_for(waiter):
            return
        if slack_ms <= 0 and self._queue.remove(waiter):
            self._check_no_victim_left(waiter)
            error = refusals.refuse_no_time_left(self.estimate_wait_ms())
            waiter.item.refuse(error)

    def _try_assign(
        self, waiter: Waiter[QueuedCall]
    ) -> Assignment | WaitReason:
        queued_call = waiter.item
        request_class = queued_call.call.request_class
        assignment = self._table.assign(
            request_class.kind,
            queued_call.call.model,
            queued_call.work,
            waiter.rank,
            can_wait=self._has_slack(queued_call.call),
        )
        if isinstance(assignment, WaitReason):
            return assignment
        self._queue.remove(waiter)
        self._running[assignment] = queued_call
        queued_call.grant(assignment)
        return assignment

    def _has_slack(self, call: Call) -> bool:
        """Return True during the first half of the time to the deadline."""
        now_ms = self._clock.now_ms()
        return now_ms - call.received_ms < call.deadline_ms - now_ms

    def _submit_when_full(
        self, queued_call: QueuedCall
    ) -> Waiter[QueuedCall] | None:
        """Make room for a call that found the queue full, or refuse it."""
        first = next(iter(self._queue), None)
        if first is not None and self._preempt_for(first):
            return self.submit(queued_call)
        error = refusals.refuse_queue_full(self.estimate_wait_ms())
        queued_call.refuse(error)
        return None

    def _preempt_for(self, waiter: Waiter[QueuedCall]) -> bool:
        """Replace the cheapest running call of a lower tier by a waiter."""
        victims = self._list_victims(waiter)
        victim = min(victims, key=_count_lost_tokens, default=None)
        if victim is None:
            return False
        queued_call = self._running.pop(victim)
        self._table.end(victim)
        assignment = Assignment(
            victim.state, waiter.item.work, self._clock.now_ms()
        )
        self._queue.remove(waiter)
        victim.state.running.add(assignment)
        self._running[assignment] = waiter.item
        error = refusals.refuse_displaced(self.estimate_wait_ms())
        queued_call.preempt(error)
        waiter.item.grant(assignment)
        return True

    def _list_victims(
        self, waiter: Waiter[QueuedCall]
    ) -> Iterator[Assignment]:
        call = waiter.item.call
        for assignment, queued_call in self._running.items():
            request_class = queued_call.call.request_class
            if (
                request_class.rank > waiter.rank
                and request_class.idempotent
                and request_class.kind == 'engine'
                and not assignment.state.target.leaving
                and matches(
                    assignment.state, call.request_class.kind, call.model
                )
            ):
                yield assignment

    def _check_no_victim_left(self, waiter: Waiter[QueuedCall]) -> None:
        self._invariants.check(
            not any(self._list_victims(waiter)),
            'no_shed_while_lower_tier_kept',
            f'shed rank {waiter.rank} while a lower tier runs',
        )


def _count_lost_tokens(assignment: Assignment) -> int:
    """Return the maximum of computed tokens that a preemption wastes."""
    if assignment.first_token_ms is None:
        return 0
    return assignment.work.prompt_tokens
