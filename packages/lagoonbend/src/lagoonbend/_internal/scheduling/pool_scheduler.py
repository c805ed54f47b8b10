"""Gives the places of one service to calls of all instances."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from lagoonbend._internal.facts.customer_rule import CustomerRule
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.service_profile import ServiceProfile
from lagoonbend._internal.limits.shared_limits import SharedLimits
from lagoonbend._internal.queueing.tier_queue import TierQueue
from lagoonbend._internal.queueing.waiter import Waiter
from lagoonbend._internal.scheduling.demand import Demand
from lagoonbend._internal.scheduling.denial import Denial
from lagoonbend._internal.scheduling.held_slot import HeldSlot
from lagoonbend._internal.scheduling.slot_decision import SlotDecision
from lagoonbend._internal.scheduling.slot_outcome import SlotOutcome
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.scheduling.target_set import TargetSet
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.invariants import Invariants

QUEUE_CAPACITY = 1_024
"""Greatest number of calls that wait for one service; about ten seconds of
the largest burst of the sheets."""
LATE_ORDER_MS = 10**15
"""Added to the order of calls past their objective, so that they come after
all calls of their rank that can still be on time."""
FIRST_SPREAD = 1.5
"""Mean times to the first bytes that a call must have left to count as on
time; nine in ten come within that (traces of the grown days)."""
WAIT_SHARE = 0.8
"""Part of the time left to start that the expected wait of a newcomer may
take; the rest is for what the estimate misses."""
PATIENCE_FACTOR = 2
"""Objectives after which a call that still waits is given up."""
LEAST_PATIENCE_MS = 1_000
"""Least time before a waiting call is given up."""
LEAST_RETRY_MS = 200
GREATEST_RETRY_MS = 5_000
NO_TARGET_RETRY_MS = 1_000
"""When to come back to a service without targets; a target that starts is
listed within about a second."""


class _Waiting(NamedTuple):
    """A call in the queue."""

    request: SlotRequest
    rule: CustomerRule | None
    arrived_ms: int
    start_by_ms: int
    give_up_ms: int


class PoolScheduler:
    """Decides which call runs next, and where.

    Targets take calls as they come and know no ranks, so no more calls are
    let through than a target runs at once, and all others wait here in
    order of rank and then of the time left to their objective.

    :param service: the service.
    :param clock: clock of the instance.
    :param limits: customers' limits.
    :param invariants: checks that must always hold.
    """

    def __init__(
        self,
        service: ServiceProfile,
        clock: Clock,
        limits: SharedLimits,
        invariants: Invariants,
    ) -> None:
        self.service = service
        self.targets = TargetSet(clock)
        self._clock = clock
        self._limits = limits
        self._queue: TierQueue[_Waiting] = TierQueue(
            QUEUE_CAPACITY, invariants
        )
        self._waiters: dict[tuple[str, str], Waiter[_Waiting]] = {}
        self._demand = Demand()
        self._on_time: dict[int, int] = {}
        self._late: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def set_targets(
        self, profile: ServiceProfile, targets: Iterable[ListedTarget]
    ) -> Iterator[SlotDecision]:
        """Take in the list of targets; yield what can be decided now."""
        self.service = profile
        self.targets.update(profile, targets)
        yield from self.advance()

    def submit(
        self, request: SlotRequest, rule: CustomerRule | None
    ) -> Iterator[SlotDecision]:
        """Take in a call; yield what is decided at once."""
        now_ms = self._clock.now_ms()
        if self.targets.is_all_gone(request.excluded):
            yield self._deny(request, Denial.NO_TARGET, NO_TARGET_RETRY_MS)
            return
        arrived_ms = now_ms - request.waited_ms
        first_ms = max(
            self.targets.estimate_least_first_ms(request),
            FIRST_SPREAD * self._demand.get_first_ms(request.rank),
        )
        waiting = _Waiting(
            request,
            rule,
            arrived_ms,
            arrived_ms + request.objective_ms - int(first_ms),
            arrived_ms + self._find_patience_ms(request),
        )
        wait_ms = self._estimate_wait_ms(request, request.rank, now_ms)
        if wait_ms and wait_ms >= self._find_greatest_wait_ms(waiting, now_ms):
            yield self._deny(request, Denial.OVERLOADED, wait_ms)
            return
        if rule is not None and request.cost_units:
            wait_ms = self._limits.take(
                rule, request.cost_units, request.route_rank, now_ms
            )
            if wait_ms:
                yield self._deny(request, Denial.OVER_LIMIT, wait_ms)
                return
        self._demand.record_arrival(request.rank, now_ms)
        yield from self._enqueue(waiting, now_ms)
        yield from self.advance()

    def withdraw(self, instance: str, call: str) -> Iterator[SlotDecision]:
        """Forget a call that nobody waits for; yield what follows.

        It may have got its place as it was given up.
        """
        waiting = self._dequeue(instance, call)
        if waiting is not None:
            self._refund(waiting)
            return
        self.targets.release_call(instance, call)
        yield from self.advance()

    def register(self, place: HeldSlot) -> None:
        """Take in a place that was given by another scheduler."""
        load = self.targets.find(place.target)
        if load is not None:
            load.hold(place)
            load.cache.use(place.prompt, load.held_tokens)

    def release(
        self,
        instance: str,
        call: str,
        target: str,
        end: SlotOutcome,
        first_ms: int,
        failure_domain: str,
    ) -> Iterator[SlotDecision]:
        """Note the end of a call at a target; yield what follows.

        :param first_ms: time to the first bytes; 0 if there were none.
        :param failure_domain: domain of the instance that carried it.
        """
        load = self.targets.find(target)
        if load is not None:
            place = load.release(instance, call)
            self.targets.record_end(load, end, failure_domain)
            if place is not None and not end.is_not_run:
                self._learn(load, place, end, first_ms)
            self.targets.forget_left(target)
        yield from self.advance()

    def drop_instance(self, instance: str) -> Iterator[SlotDecision]:
        """Free all that an instance held or asked for, for it is gone."""
        self.targets.release_instance(instance)
        for key in [key for key in self._waiters if key[0] == instance]:
            waiting = self._dequeue(*key)
            if waiting is not None:
                self._refund(waiting)
        yield from self.advance()

    def expire(self) -> Iterator[SlotDecision]:
        """Yield what the passing of time decides; call it some times a second.

        Denies calls without time left and puts late ones behind the others.
        """
        yield from self._expire(self._clock.now_ms())
        yield from self.advance()

    def advance(self) -> Iterator[SlotDecision]:
        """Yield what free places allow to decide."""
        now_ms = self._clock.now_ms()
        full_domains: set[str] = set()
        while len(self._queue):
            if not self.targets.may_have_free_place():
                return
            choice: list[TargetLoad] = []

            def is_runnable(
                waiting: _Waiting, choice: list[TargetLoad] = choice
            ) -> bool:
                request = waiting.request
                if request.failure_domain in full_domains:
                    return False
                load = self.targets.choose(request, now_ms)
                if load is not None:
                    choice.append(load)
                elif not request.excluded and not self.targets.has_free_place(
                    request, now_ms
                ):
                    full_domains.add(request.failure_domain)
                return load is not None

            waiter = self._queue.take(is_runnable)
            if waiter is None:
                return
            yield from self._decide(waiter.item, choice[0], now_ms)

    def is_waiting(self, instance: str, call: str) -> bool:
        """Return True if a call waits for its place."""
        return (instance, call) in self._waiters

    def list_waiting(self) -> Iterator[SlotRequest]:
        """Yield all calls that wait."""
        for waiter in list(self._queue):
            yield waiter.item.request

    def _dequeue(self, instance: str, call: str) -> _Waiting | None:
        """Take a call out of the queue; return it if it was there."""
        waiter = self._forget(instance, call)
        if waiter is None or not self._queue.remove(waiter):
            return None
        return waiter.item

    def _refund(self, waiting: _Waiting) -> None:
        """Give back what a call that got no place was charged."""
        if waiting.rule is not None and waiting.request.cost_units:
            self._limits.give_back(waiting.rule, waiting.request.cost_units)

    def _forget(self, instance: str, call: str) -> Waiter[_Waiting] | None:
        """Drop a waiter from all but the queue itself."""
        waiter = self._waiters.pop((instance, call), None)
        if waiter is not None:
            self._count_with(waiter)[waiter.rank] -= 1
        return waiter

    def _remember(self, waiter: Waiter[_Waiting]) -> None:
        request = waiter.item.request
        self._waiters[request.instance, request.call] = waiter
        counts = self._count_with(waiter)
        counts[waiter.rank] = counts.get(waiter.rank, 0) + 1

    def _count_with(self, waiter: Waiter[_Waiting]) -> dict[int, int]:
        """Return the counts, by rank, that a waiter belongs to."""
        is_late = waiter.deadline_ms >= LATE_ORDER_MS
        return self._late if is_late else self._on_time

    def _decide(
        self, waiting: _Waiting, load: TargetLoad, now_ms: int
    ) -> Iterator[SlotDecision]:
        request = waiting.request
        self._forget(request.instance, request.call)
        expected_ms = int(load.estimate_first_ms(request, now_ms))
        load.note_reading(request, now_ms)
        load.hold(
            HeldSlot(
                request.call,
                request.instance,
                load.listed.target,
                request.rank,
                request.prompt,
                request.prompt_tokens + request.output_tokens,
                now_ms,
                expected_ms,
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
        self, waiting: _Waiting, now_ms: int
    ) -> Iterator[SlotDecision]:
        order_ms = waiting.start_by_ms
        if order_ms < now_ms:
            order_ms += LATE_ORDER_MS
        request = waiting.request
        offer = self._queue.offer(waiting, request.rank, order_ms)
        if offer.accepted is not None:
            self._remember(offer.accepted)
        else:
            self._refund(waiting)
            yield self._deny(request, Denial.OVERLOADED, GREATEST_RETRY_MS)
        if offer.displaced is not None:
            lost = offer.displaced.item.request
            self._forget(lost.instance, lost.call)
            self._refund(offer.displaced.item)
            yield self._deny(lost, Denial.OVERLOADED, GREATEST_RETRY_MS)

    def _expire(self, now_ms: int) -> Iterator[SlotDecision]:
        for waiter in list(self._queue):
            waiting = waiter.item
            request = waiting.request
            if now_ms >= waiting.give_up_ms:
                self._dequeue(request.instance, request.call)
                self._refund(waiting)
                wait_ms = self._estimate_wait_ms(request, request.rank, now_ms)
                yield self._deny(request, Denial.NO_TIME_LEFT, wait_ms)
            elif waiter.deadline_ms < now_ms:
                self._dequeue(request.instance, request.call)
                wait_ms = self._estimate_wait_ms(
                    request, request.rank + 1, now_ms
                )
                if now_ms + wait_ms >= waiting.give_up_ms:
                    self._refund(waiting)
                    yield self._deny(request, Denial.NO_TIME_LEFT, wait_ms)
                else:
                    yield from self._enqueue(waiting, now_ms)

    def _estimate_wait_ms(
        self, request: SlotRequest, rank: int, now_ms: int
    ) -> int:
        """Return the expected wait of a call that arrives with a rank.

        Calls before it are all of more urgent ranks and those of its own
        that can still be on time. They share what the arrivals of more
        urgent ranks leave of the places.
        """
        if self.targets.has_free_place(request, now_ms):
            return 0
        ahead_ms = 0.0
        for other, count in self._on_time.items():
            if other <= rank:
                ahead_ms += count * self._demand.get_hold_ms(other)
        for other, count in self._late.items():
            if other < rank:
                ahead_ms += count * self._demand.get_hold_ms(other)
        places = self.targets.count_sound_places(request, now_ms)
        left = self._demand.estimate_left(rank, max(1.0, places), now_ms)
        return int(ahead_ms / left)

    @staticmethod
    def _find_greatest_wait_ms(waiting: _Waiting, now_ms: int) -> float:
        """Return the expected wait from which a newcomer is refused.

        One that can still be on time would be late after it; one that is
        late already may wait for another objective.
        """
        left_ms = waiting.start_by_ms - now_ms
        if left_ms <= 0:
            left_ms = waiting.request.objective_ms
        return WAIT_SHARE * min(left_ms, waiting.give_up_ms - now_ms)

    @staticmethod
    def _find_patience_ms(request: SlotRequest) -> int:
        """Return the time from arrival after which a call is given up.

        A call that has missed its objective keeps a part of its worth, and
        is kept while room may come soon; later its caller does better to
        come back.
        """
        patience_ms = max(
            PATIENCE_FACTOR * request.objective_ms, LEAST_PATIENCE_MS
        )
        return min(patience_ms, request.deadline_ms)

    def _learn(
        self,
        load: TargetLoad,
        place: HeldSlot,
        end: SlotOutcome,
        first_ms: int,
    ) -> None:
        if end is SlotOutcome.ANSWERED:
            held_ms = self._clock.now_ms() - place.started_ms
            self._demand.record_end(place.rank, held_ms)
        if first_ms:
            load.learn(place.expected_ms, first_ms)
            self._demand.note_first(place.rank, first_ms)

    def _deny(
        self, request: SlotRequest, denial: Denial, retry_after_ms: int
    ) -> SlotDecision:
        bounded_ms = min(
            max(retry_after_ms, LEAST_RETRY_MS), GREATEST_RETRY_MS
        )
        return SlotDecision(
            request.call,
            request.instance,
            denial=denial,
            retry_after_ms=bounded_ms,
            pool_wait_ms=self._estimate_wait_ms(
                request, request.rank, self._clock.now_ms()
            ),
        )
