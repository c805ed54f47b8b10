"""Grants the slots of one pool to calls of all instances."""

from collections.abc import Iterable
from collections.abc import Iterator
import copy
from typing import NamedTuple

from lagoonbend._internal.facts.cold_targets import ColdTargets
from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.named_limits import NamedLimits
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.limits.shared_limits import SharedLimits
from lagoonbend._internal.queueing.tier_queue import TierQueue
from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.scheduling.customer_orders import CustomerOrder
from lagoonbend._internal.scheduling.customer_orders import LatestStartOrder
from lagoonbend._internal.scheduling.demand import Demand
from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.held_slot import HeldSlot
from lagoonbend._internal.scheduling.kept_prompt_totals import KeptPromptTotals
from lagoonbend._internal.scheduling.kept_prompts import KEPT_PROMPTS
from lagoonbend._internal.scheduling.route_explanation import PoolExplanation
from lagoonbend._internal.scheduling.slot_decision import SlotDecision
from lagoonbend._internal.scheduling.slot_outcome import SlotOutcome
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.stated_load import StatedLoad
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.scheduling.target_set import TargetSet
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.invariants import Invariants

QUEUE_CAPACITY = 1_024
"""Maximum number of calls that wait for one pool; about ten seconds of the
largest load burst in the users' traffic."""
LATE_ORDER_OFFSET_MS = 10**15
"""Added to the sort key of calls that miss their objective, so that they
come after all calls of their rank that can still meet it."""
FIRST_BYTE_MARGIN = 1.5
"""Multiple of the mean time to first byte that must remain for a call to
count as on time; nine in ten answers arrive within that in recorded traces."""
MAX_WAIT_SHARE = 0.8
"""Share of the time until the latest start that the expected wait of a new
call may take; the rest allows for the error of the estimate."""
GIVE_UP_OBJECTIVES = 2
"""Number of objectives after which a call that still waits is denied."""
MIN_GIVE_UP_MS = 1_000
"""Minimum time before a waiting call is denied."""
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000
"""Range of the time after which a denied call is asked to retry."""
NO_TARGET_RETRY_AFTER_MS = 1_000
"""Retry-after for a service without targets; a new target is listed within
about a second."""


class _WaitingCall(NamedTuple):
    """A call in the queue.

    :param request: request for a slot.
    :param rule: limit of the customer; None for a public call.
    :param arrived_ms: when the call arrived.
    :param start_by_ms: latest start with which the call meets its objective.
    :param give_up_ms: when the call is denied if it still waits.
    """

    request: SlotRequest
    rule: CustomerRule | None
    arrived_ms: int
    start_by_ms: int
    give_up_ms: int


class PoolScheduler:
    """Decides which call of a pool runs next, and at which target.

    Targets run calls in the order of arrival and ignore their rank. Therefore
    a target gets no more calls than it runs at once; the others wait in the
    queue, ordered by rank and then by the time that is left until they miss
    their objective.

    Methods that change the state yield the decisions that follow from the
    change. A call gets exactly one decision, or none if it is withdrawn or its
    instance is lost.

    :param service: the service that the pool belongs to.
    :param clock: clock of the instance.
    :param limits: limits of the customers.
    :param invariants: checker of invariants.
    :param named_limits: limits that targets have named; None for none.
    :param cold_targets: targets that are cold; None for none.
    :param customer_order: order among the customers of a rank; None to order
        by latest start alone.
    :param kept_prompts: name in ``KEPT_PROMPTS``: how cached prompts are
        weighed against the wait for their targets.
    :param kept_prompt_totals: counts of such waits; None to count apart.
    """

    def __init__(
        self,
        service: ServiceProfile,
        clock: Clock,
        limits: SharedLimits,
        invariants: Invariants,
        named_limits: NamedLimits | None = None,
        cold_targets: ColdTargets | None = None,
        customer_order: CustomerOrder[_WaitingCall] | None = None,
        kept_prompts: str = 'off',
        kept_prompt_totals: KeptPromptTotals | None = None,
    ) -> None:
        self.service = service
        self.customer_order: CustomerOrder[_WaitingCall] = (
            customer_order or LatestStartOrder()
        )
        self.targets = TargetSet(clock, named_limits, cold_targets)
        self._clock = clock
        self._limits = limits
        self._queue: TierQueue[_WaitingCall] = TierQueue(
            QUEUE_CAPACITY, invariants
        )
        self._waiters: dict[tuple[str, str], Waiter[_WaitingCall]] = {}
        self._demand = Demand()
        self.kept_prompts = KEPT_PROMPTS[kept_prompts](
            self.targets,
            self._demand,
            kept_prompt_totals or KeptPromptTotals(),
        )
        self._on_time_counts: dict[int, int] = {}
        self._late_counts: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def set_targets(
        self, profile: ServiceProfile, targets: Iterable[ListedTarget]
    ) -> Iterator[SlotDecision]:
        """Apply a new target list; yield the decisions that follow.

        If it is empty, the waiting calls are denied: other pools of the
        service may have targets.
        """
        self.service = profile
        self.targets.update(profile, targets)
        if not self.targets.has_listed:
            yield from self._deny_waiting()
        yield from self.grant_free_slots()

    def submit(
        self, request: SlotRequest, rule: CustomerRule | None
    ) -> Iterator[SlotDecision]:
        """Accept the request of a call; yield the decisions that follow."""
        now_ms = self._clock.now_ms()
        self._drop_earlier_request(request, now_ms)
        waiting = self._build_waiting(request, rule, now_ms)
        denied = self._find_denial(waiting, now_ms)
        if denied is not None:
            yield denied
            return
        self._demand.record_arrival(request.rank, now_ms)
        yield from self._enqueue(waiting, now_ms)
        yield from self.grant_free_slots()

    def explain(
        self, request: SlotRequest, rule: CustomerRule | None
    ) -> PoolExplanation:
        """Return what would become of a call now, without any effect.

        The question is put to a copy of what estimates and limits change.
        """
        now_ms = self._clock.now_ms()
        copied = copy.copy(self)
        copied.targets = self.targets.make_copy()
        copied._limits = self._limits.make_copy()
        waiting = copied._build_waiting(request, rule, now_ms)
        denied = copied._find_denial(waiting, now_ms)
        chosen: TargetLoad | None = None
        if denied is None and copied.targets.may_have_free_slot():
            chosen = copied.targets.choose(request, now_ms)
        return PoolExplanation(
            copied.targets.explain(request, now_ms),
            chosen.listed.target if chosen else '',
            copied._estimate_wait_ms(request, request.rank, now_ms),
            len(self),
            denied.denial if denied else None,
            denied.retry_after_ms if denied else 0,
        )

    def withdraw(self, instance: str, call: str) -> Iterator[SlotDecision]:
        """Remove a call that is no longer waited for; yield what follows.

        The call may have obtained its slot in the meantime, which is then
        released.
        """
        waiting = self._dequeue(instance, call)
        if waiting is not None:
            self._refund(waiting)
            return
        self.targets.release_call(instance, call)
        self.customer_order.record_release(
            instance, call, self._clock.now_ms()
        )
        yield from self.grant_free_slots()

    def register(self, slot: HeldSlot) -> None:
        """Add a slot in use that was granted by another scheduler."""
        load = self.targets.find(slot.target)
        if load is not None:
            load.add_held(slot)
            load.cache.record_prompt(slot.prompt, load.held_tokens)

    def release(
        self,
        instance: str,
        call: str,
        target: str,
        outcome: SlotOutcome,
        first_byte_ms: int,
        failure_domain: str,
        stated: StatedLoad | None = None,
    ) -> Iterator[SlotDecision]:
        """Release the slot of a call that has ended; yield what follows.

        :param first_byte_ms: time to the first byte; 0 if there was none.
        :param failure_domain: failure domain of the instance that handled the
            call.
        :param stated: load that the target states in its answer, if it does.
        """
        load = self.targets.find(target)
        if load is not None:
            if stated is not None:
                load.record_statement(stated, self._clock.now_ms())
            slot = load.release(instance, call)
            self.customer_order.record_release(
                instance,
                call,
                self._clock.now_ms(),
                is_answered=outcome is SlotOutcome.ANSWERED,
            )
            self.targets.record_outcome(load, outcome, failure_domain)
            if (
                slot is not None
                and not outcome.is_not_run
                and slot.started_ms >= load.cold_until_ms
            ):
                self._update_estimates(
                    load, slot, outcome, first_byte_ms, stated
                )
            self.targets.remove_unlisted(target)
        yield from self.grant_free_slots()

    def drop_instance(self, instance: str) -> Iterator[SlotDecision]:
        """Release the slots and remove the requests of a lost instance."""
        self.targets.release_instance(instance)
        self.customer_order.drop_instance(instance, self._clock.now_ms())
        for key in [key for key in self._waiters if key[0] == instance]:
            waiting = self._dequeue(*key)
            if waiting is not None:
                self._refund(waiting)
        yield from self.grant_free_slots()

    def expire(self) -> Iterator[SlotDecision]:
        """Yield the decisions due to the passing of time.

        Denies calls that are out of time, and moves calls that can no longer
        meet their objective behind the others of their rank. To be called
        several times a second.
        """
        yield from self._expire(self._clock.now_ms())
        yield from self.grant_free_slots()

    def grant_free_slots(self) -> Iterator[SlotDecision]:
        """Grant free slots to waiting calls; yield the decisions."""
        now_ms = self._clock.now_ms()
        # A free slot depends on nothing else of a request.
        full_keys: set[tuple[str, tuple[str, ...]]] = set()
        while len(self._queue):
            if not self.targets.may_have_free_slot():
                return
            chosen: list[TargetLoad] = []

            def is_runnable(
                waiting: _WaitingCall, chosen: list[TargetLoad] = chosen
            ) -> bool:
                request = waiting.request
                key = (request.failure_domain, request.excluded)
                if key in full_keys:
                    return False
                load = self.kept_prompts.choose(
                    request, waiting.start_by_ms, len(self._queue), now_ms
                )
                if load is not None:
                    chosen.append(load)
                elif self.kept_prompts.is_waiting(request):
                    return False
                elif not self.targets.has_free_slot(request, now_ms):
                    full_keys.add(key)
                return load is not None

            waiter = self._queue.take(
                is_runnable, self.customer_order.iterate(self._queue)
            )
            if waiter is None:
                return
            yield from self._grant(waiter.item, chosen[0], now_ms)

    def is_waiting(self, instance: str, call: str) -> bool:
        """Return True if a call waits for a slot."""
        return (instance, call) in self._waiters

    def list_waiting(self) -> Iterator[SlotRequest]:
        """Yield the requests of all waiting calls."""
        for waiter in list(self._queue):
            yield waiter.item.request

    def _drop_earlier_request(self, request: SlotRequest, now_ms: int) -> None:
        """Remove an earlier request of the same call, or release its slot.

        An instance asks again if its link was lost with the decision.
        """
        instance, call = request.instance, request.call
        waiting = self._dequeue(instance, call)
        if waiting is not None:
            self._refund(waiting)
        elif self.targets.release_call(instance, call):
            self.customer_order.record_release(instance, call, now_ms)

    def _build_waiting(
        self, request: SlotRequest, rule: CustomerRule | None, now_ms: int
    ) -> _WaitingCall:
        """Return a call that arrives, with its latest start."""
        arrived_ms = now_ms - request.waited_ms
        first_byte_ms = max(
            self.targets.estimate_min_first_byte_ms(request),
            FIRST_BYTE_MARGIN * self._demand.get_first_byte_ms(request.rank),
        )
        return _WaitingCall(
            request,
            rule,
            arrived_ms,
            arrived_ms + request.objective_ms - int(first_byte_ms),
            self._find_give_up_ms(request, now_ms),
        )

    def _find_denial(
        self, waiting: _WaitingCall, now_ms: int
    ) -> SlotDecision | None:
        """Charge a new call; return None, or why it gets no slot."""
        request, rule = waiting.request, waiting.rule
        if self.targets.has_no_target(request.excluded):
            return self._deny(
                request, Denial.NO_TARGET, NO_TARGET_RETRY_AFTER_MS
            )
        is_late = waiting.start_by_ms < now_ms
        wait_ms = (
            self._estimate_late_wait_ms(request, now_ms)
            if is_late
            else self._estimate_wait_ms(request, request.rank, now_ms)
        )
        if wait_ms and wait_ms >= self._find_max_wait_ms(waiting, now_ms):
            return self._deny(
                request,
                Denial.OVERLOADED,
                self._estimate_late_wait_ms(request, now_ms),
            )
        if rule is not None and request.cost_units:
            wait_ms = self._limits.take(
                rule, request.cost_units, request.route_rank, now_ms
            )
            if wait_ms:
                return self._deny(request, Denial.OVER_LIMIT, wait_ms)
        return None

    def _deny_waiting(self) -> Iterator[SlotDecision]:
        """Deny all waiting calls, as no target is left.

        Those that no other pool takes are spread over a second, so that their
        callers don't return together.
        """
        requests = list(self.list_waiting())
        for number, request in enumerate(requests):
            waiting = self._dequeue(request.instance, request.call)
            if waiting is not None:
                self._refund(waiting)
                spread_ms = NO_TARGET_RETRY_AFTER_MS * number // len(requests)
                yield self._deny(
                    request,
                    Denial.NO_TARGET,
                    NO_TARGET_RETRY_AFTER_MS + spread_ms,
                )

    def _dequeue(self, instance: str, call: str) -> _WaitingCall | None:
        """Remove a call from the queue; return it if it was there."""
        waiter = self._remove_waiter(instance, call)
        if waiter is None or not self._queue.remove(waiter):
            return None
        return waiter.item

    def _refund(self, waiting: _WaitingCall) -> None:
        """Return the units charged for a call that obtained no slot."""
        if waiting.rule is not None and waiting.request.cost_units:
            self._limits.refund(waiting.rule, waiting.request.cost_units)

    def _remove_waiter(
        self, instance: str, call: str
    ) -> Waiter[_WaitingCall] | None:
        """Remove a waiter from index and counts, not from the queue."""
        waiter = self._waiters.pop((instance, call), None)
        if waiter is not None:
            self._select_counts(waiter)[waiter.rank] -= 1
            self.customer_order.remove(
                waiter.item.request.customer,
                waiter,
                is_late=waiter.deadline_ms >= LATE_ORDER_OFFSET_MS,
            )
            self.kept_prompts.forget(waiter.item.request)
        return waiter

    def _add_waiter(self, waiter: Waiter[_WaitingCall]) -> None:
        request = waiter.item.request
        self._waiters[request.instance, request.call] = waiter
        counts = self._select_counts(waiter)
        counts[waiter.rank] = counts.get(waiter.rank, 0) + 1
        self.customer_order.add(
            request.customer,
            waiter,
            is_late=waiter.deadline_ms >= LATE_ORDER_OFFSET_MS,
        )

    def _select_counts(self, waiter: Waiter[_WaitingCall]) -> dict[int, int]:
        """Return the counts by rank (on time or late) for a waiter."""
        is_late = waiter.deadline_ms >= LATE_ORDER_OFFSET_MS
        return self._late_counts if is_late else self._on_time_counts

    def _grant(
        self, waiting: _WaitingCall, load: TargetLoad, now_ms: int
    ) -> Iterator[SlotDecision]:
        request = waiting.request
        self._remove_waiter(request.instance, request.call)
        expected_ms = int(load.estimate_first_byte_ms(request, now_ms))
        wait_ms = load.find_wait_ms(now_ms)
        new_tokens = load.record_prefill(request, now_ms)
        self.targets.count_sent(load, now_ms)
        self.customer_order.record_grant(
            request, self._demand.get_hold_ms(request.rank), now_ms
        )
        load.add_held(
            HeldSlot(
                request.call,
                request.instance,
                load.listed.target,
                request.rank,
                request.prompt,
                request.prompt_tokens + request.output_tokens,
                now_ms,
                expected_ms,
                new_tokens,
                wait_ms,
            )
        )
        yield SlotDecision(
            request.call,
            request.instance,
            load.listed.target,
            expected_ms,
            waited_ms=now_ms - waiting.arrived_ms,
            pool_wait_ms=self._estimate_wait_ms(request, request.rank, now_ms),
        )

    def _enqueue(
        self, waiting: _WaitingCall, now_ms: int
    ) -> Iterator[SlotDecision]:
        order_ms = waiting.start_by_ms
        if order_ms < now_ms:
            order_ms += LATE_ORDER_OFFSET_MS
        request = waiting.request
        offer = self._queue.offer(waiting, request.rank, order_ms)
        if offer.accepted is not None:
            self._add_waiter(offer.accepted)
        else:
            self._refund(waiting)
            yield self._deny(request, Denial.OVERLOADED, MAX_RETRY_AFTER_MS)
        if offer.displaced is not None:
            displaced = offer.displaced.item.request
            self._remove_waiter(displaced.instance, displaced.call)
            self._refund(offer.displaced.item)
            yield self._deny(displaced, Denial.OVERLOADED, MAX_RETRY_AFTER_MS)

    def _expire(self, now_ms: int) -> Iterator[SlotDecision]:
        for waiter in list(self._queue):
            waiting = waiter.item
            request = waiting.request
            if now_ms >= waiting.give_up_ms:
                self._dequeue(request.instance, request.call)
                self._refund(waiting)
                wait_ms = self._estimate_late_wait_ms(request, now_ms)
                yield self._deny(request, Denial.NO_TIME_LEFT, wait_ms)
            elif waiter.deadline_ms < now_ms:
                self._dequeue(request.instance, request.call)
                wait_ms = self._estimate_late_wait_ms(request, now_ms)
                if now_ms + wait_ms >= waiting.give_up_ms:
                    self._refund(waiting)
                    yield self._deny(request, Denial.NO_TIME_LEFT, wait_ms)
                else:
                    yield from self._enqueue(waiting, now_ms)

    def _estimate_wait_ms(
        self, request: SlotRequest, rank: int, now_ms: int
    ) -> int:
        """Return the expected wait of a new call of a rank.

        The calls ahead of it are those of more urgent ranks and those of its
        own rank that can still be on time, as far as the order among customers
        has them run before. They share the slots that future arrivals of more
        urgent ranks leave free.
        """
        if self.targets.has_free_slot(request, now_ms):
            return 0
        ahead_ms = 0.0
        for other_rank, count in self._on_time_counts.items():
            if other_rank == rank == request.rank:
                count = self.customer_order.count_ahead(
                    rank, request.customer, count
                )
            if other_rank <= rank:
                ahead_ms += count * self._demand.get_hold_ms(other_rank)
        for other_rank, count in self._late_counts.items():
            if other_rank < rank:
                ahead_ms += count * self._demand.get_hold_ms(other_rank)
        hold_ms = self._demand.get_hold_ms(rank)
        slots = self.targets.count_healthy_slots(request, now_ms, hold_ms)
        available_slots = self._demand.estimate_available_slots(
            rank, slots, now_ms
        )
        rate_wait_ms = self.targets.find_rate_wait_ms(request, now_ms)
        wait_ms = int(ahead_ms / available_slots) + rate_wait_ms
        warm_ms = self.targets.find_warm_ms(request, now_ms)
        if warm_ms is None:
            return wait_ms
        warm_slots = self.targets.count_healthy_slots(
            request, now_ms, hold_ms, is_warm=True
        )
        available_slots = self._demand.estimate_available_slots(
            rank, warm_slots, now_ms
        )
        return min(wait_ms, warm_ms + int(ahead_ms / available_slots))

    def _estimate_late_wait_ms(self, request: SlotRequest, now_ms: int) -> int:
        """Return the expected wait of a call that can't be on time.

        Those of its rank that can be on time come before it. A denied call
        can't be when it is sent again.
        """
        return self._estimate_wait_ms(request, request.rank + 1, now_ms)

    @staticmethod
    def _find_max_wait_ms(waiting: _WaitingCall, now_ms: int) -> float:
        """Return the expected wait from which on a new call is denied.

        A call that can still be on time would miss its objective after this
        wait. A call that is late already may wait for one more objective.
        """
        left_ms = waiting.start_by_ms - now_ms
        if left_ms <= 0:
            left_ms = waiting.request.objective_ms
        return MAX_WAIT_SHARE * min(left_ms, waiting.give_up_ms - now_ms)

    @staticmethod
    def _find_give_up_ms(request: SlotRequest, now_ms: int) -> int:
        """Return the time at which a waiting call is denied.

        A late answer is still of some value, so the call waits on while a slot
        may soon be free, for one objective at least. After that, the caller
        does better to retry later.
        """
        give_up_after_ms = max(
            GIVE_UP_OBJECTIVES * request.objective_ms,
            MIN_GIVE_UP_MS,
            request.waited_ms + request.objective_ms,
        )
        arrived_ms = now_ms - request.waited_ms
        return arrived_ms + min(give_up_after_ms, request.deadline_ms)

    def _update_estimates(
        self,
        load: TargetLoad,
        slot: HeldSlot,
        outcome: SlotOutcome,
        first_byte_ms: int,
        stated: StatedLoad | None,
    ) -> None:
        now_ms = self._clock.now_ms()
        if outcome is SlotOutcome.ANSWERED:
            held_ms = now_ms - slot.started_ms
            self._demand.record_hold_time(slot.rank, held_ms)
        if first_byte_ms:
            load.learn_times(slot, first_byte_ms, stated, now_ms)
            self._demand.record_first_byte(slot.rank, first_byte_ms)

    def _deny(
        self, request: SlotRequest, denial: Denial, retry_after_ms: int
    ) -> SlotDecision:
        return SlotDecision(
            request.call,
            request.instance,
            denial=denial,
            retry_after_ms=bound_retry_after(retry_after_ms),
            pool_wait_ms=self._estimate_wait_ms(
                request, request.rank, self._clock.now_ms()
            ),
        )


def bound_retry_after(wait_ms: int) -> int:
    """Return the time after which a denied call is asked to retry.

    :param wait_ms: expected wait for a slot.
    """
    return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
