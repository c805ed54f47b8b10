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
from lagoonbend._internal.scheduling.held_place import HeldPlace
from lagoonbend._internal.scheduling.place_decision import PlaceDecision
from lagoonbend._internal.scheduling.place_end import PlaceEnd
from lagoonbend._internal.scheduling.place_request import PlaceRequest
from lagoonbend._internal.scheduling.target_load import FULL_PAUSE_MS
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.utils.clock import Clock
from lagoonbend._internal.utils.invariants import Invariants

QUEUE_CAPACITY = 1_024
"""Greatest number of calls that wait for one service; about ten seconds of
the largest burst of the sheets."""
DISTANCE_MS = 10.0
"""What another failure domain costs in the choice of a target, for the
round trip and the head of a request."""
DISTANCE_MS_PER_KB = 2.0
"""What each kilobyte of a body to another failure domain costs; bytes
between domains are priced at the office."""
CROWDING_MS = 40.0
"""What a full target costs against an empty one, for each running call
slows the others down."""
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

    request: PlaceRequest
    rule: CustomerRule | None
    arrived_ms: int
    start_by_ms: int
    give_up_ms: int


class ServiceScheduler:
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
        self.share = 1.0
        self.place_limit: int | None = None
        self.silent_domains: frozenset[str] = frozenset()
        self._clock = clock
        self._limits = limits
        self._queue: TierQueue[_Waiting] = TierQueue(
            QUEUE_CAPACITY, invariants
        )
        self._waiters: dict[tuple[str, str], Waiter[_Waiting]] = {}
        self._loads: dict[str, TargetLoad] = {}
        self._usable: dict[str, ListedTarget] = {}
        self._demand = Demand()
        self._on_time: dict[int, int] = {}
        self._late: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def held_count(self) -> int:
        """Number of places in use."""
        return sum(len(load.held) for load in self._loads.values())

    @property
    def place_count(self) -> int:
        """Number of places of all targets."""
        return sum(load.listed.slots for load in self._loads.values())

    def set_targets(
        self, profile: ServiceProfile, targets: Iterable[ListedTarget]
    ) -> Iterator[PlaceDecision]:
        """Take in the list of targets; yield what can be decided now."""
        self.service = profile
        listed = {target.target: target for target in targets}
        for name in [name for name in self._loads if name not in listed]:
            if not self._loads[name].held:
                del self._loads[name]
        for name, target in listed.items():
            load = self._loads.get(name)
            if load is None:
                self._loads[name] = TargetLoad(
                    target, profile.is_engine, profile.memory_tokens
                )
            else:
                load.listed = target
        self._usable = listed
        yield from self.advance()

    def submit(
        self, request: PlaceRequest, rule: CustomerRule | None
    ) -> Iterator[PlaceDecision]:
        """Take in a call; yield what is decided at once."""
        now_ms = self._clock.now_ms()
        present = {load.listed.target for load in self._list_present()}
        if not present.difference(request.excluded):
            yield self._deny(request, Denial.NO_TARGET, NO_TARGET_RETRY_MS)
            return
        arrived_ms = now_ms - request.waited_ms
        first_ms = max(
            self._estimate_least_first_ms(request, now_ms),
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
                rule, request.cost_units, request.level, now_ms
            )
            if wait_ms:
                yield self._deny(request, Denial.OVER_LIMIT, wait_ms)
                return
        self._demand.note_arrival(request.rank, now_ms)
        yield from self._enqueue(waiting, now_ms)
        yield from self.advance()

    def withdraw(self, instance: str, call: str) -> Iterator[PlaceDecision]:
        """Forget a call that nobody waits for; yield what follows.

        It may have got its place as it was given up.
        """
        waiting = self._dequeue(instance, call)
        if waiting is not None:
            self._refund(waiting)
            return
        for load in self._loads.values():
            load.release(instance, call)
        yield from self.advance()

    def register(self, place: HeldPlace) -> None:
        """Take in a place that was given by another scheduler."""
        load = self._loads.get(place.target)
        if load is not None:
            load.hold(place)
            load.cache.use(place.prompt, load.held_tokens)

    def release(
        self,
        instance: str,
        call: str,
        target: str,
        end: PlaceEnd,
        first_ms: int,
        failure_domain: str,
    ) -> Iterator[PlaceDecision]:
        """Note the end of a call at a target; yield what follows.

        :param first_ms: time to the first bytes; 0 if there were none.
        :param failure_domain: domain of the instance that carried it.
        """
        load = self._loads.get(target)
        if load is not None:
            place = load.release(instance, call)
            self._learn(load, place, end, first_ms, failure_domain)
            if target not in self._usable and not load.held:
                del self._loads[target]
        yield from self.advance()

    def drop_instance(self, instance: str) -> Iterator[PlaceDecision]:
        """Free all that an instance held or asked for, for it is gone."""
        for load in self._loads.values():
            for key in [key for key in load.held if key[0] == instance]:
                load.release(*key)
        for key in [key for key in self._waiters if key[0] == instance]:
            waiting = self._dequeue(*key)
            if waiting is not None:
                self._refund(waiting)
        yield from self.advance()

    def expire(self) -> Iterator[PlaceDecision]:
        """Yield what the passing of time decides; call it some times a second.

        Denies calls without time left and puts late ones behind the others.
        """
        yield from self._expire(self._clock.now_ms())
        yield from self.advance()

    def advance(self) -> Iterator[PlaceDecision]:
        """Yield what free places allow to decide."""
        now_ms = self._clock.now_ms()
        full_domains: set[str] = set()
        while len(self._queue):
            if not self._may_have_free_place():
                return
            choice: list[TargetLoad] = []

            def is_runnable(
                waiting: _Waiting, choice: list[TargetLoad] = choice
            ) -> bool:
                request = waiting.request
                if request.failure_domain in full_domains:
                    return False
                load = self._choose(request, now_ms)
                if load is not None:
                    choice.append(load)
                elif not request.excluded and not self._has_free_place(
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

    def list_waiting(self) -> Iterator[PlaceRequest]:
        """Yield all calls that wait."""
        for waiter in list(self._queue):
            yield waiter.item.request

    def describe_targets(self) -> list[str]:
        """Return a short text for each target, for logs.

        ``name held/slots slowness`` and marks: ``-`` no longer listed,
        ``g`` gone from its address, ``e`` set aside for faults, ``f`` said
        to be full, ``u`` not reached from some domain.
        """
        now_ms = self._clock.now_ms()
        return [
            f'{name} {len(load.held)}/{load.listed.slots}'
            f' {load.slowness:.2f}{self._mark(name, load, now_ms)}'
            for name, load in self._loads.items()
        ]

    def _mark(self, name: str, load: TargetLoad, now_ms: int) -> str:
        marks = {
            '-': name not in self._usable,
            'g': load.faults.is_gone(now_ms),
            'e': load.faults.is_ejected(now_ms),
            'f': now_ms < load.full_until_ms,
            'u': load.faults.is_unreached_anywhere(now_ms),
        }
        return ''.join(mark for mark, is_set in marks.items() if is_set)

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
    ) -> Iterator[PlaceDecision]:
        request = waiting.request
        self._forget(request.instance, request.call)
        expected_ms = int(load.estimate_first_ms(request, now_ms))
        load.note_reading(request, now_ms)
        load.hold(
            HeldPlace(
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
        yield PlaceDecision(
            request.call,
            request.instance,
            load.listed.target,
            expected_ms,
            waited_ms=now_ms - waiting.arrived_ms,
            pool_wait_ms=self._estimate_wait_ms(request, request.rank, now_ms),
        )

    def _enqueue(
        self, waiting: _Waiting, now_ms: int
    ) -> Iterator[PlaceDecision]:
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

    def _expire(self, now_ms: int) -> Iterator[PlaceDecision]:
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

    def _choose(self, request: PlaceRequest, now_ms: int) -> TargetLoad | None:
        """Return the best target with a free place, if any."""
        best: TargetLoad | None = None
        best_cost = 0.0
        for load in self._list_sound(request, now_ms):
            if not load.has_place(request, self.share):
                continue
            cost = self._estimate_cost(load, request, now_ms)
            if best is None or cost < best_cost:
                best, best_cost = load, cost
        return best

    def _list_sound(
        self, request: PlaceRequest, now_ms: int
    ) -> list[TargetLoad]:
        """Return targets that are not set aside; all, if none is sound."""
        listed = [
            load
            for name, load in self._loads.items()
            if name in self._usable
            and name not in request.excluded
            and not load.faults.is_gone(now_ms)
        ]
        sound = [
            load
            for load in listed
            if now_ms >= load.full_until_ms
            and not load.faults.is_ejected(now_ms)
            and not load.faults.is_unreached(request.failure_domain, now_ms)
        ]
        if 2 * len(sound) >= len(listed):
            return sound
        return [
            load
            for load in listed
            if not load.faults.is_unreached(request.failure_domain, now_ms)
        ] or listed

    @staticmethod
    def _estimate_cost(
        load: TargetLoad, request: PlaceRequest, now_ms: int
    ) -> float:
        cost_ms = load.estimate_first_ms(request, now_ms)
        cost_ms += CROWDING_MS * len(load.held) / load.listed.slots
        if load.listed.failure_domain != request.failure_domain:
            cost_ms += DISTANCE_MS
            cost_ms += DISTANCE_MS_PER_KB * request.body_bytes / 1024
        return cost_ms * (1.0 + 2.0 * load.faults.rate)

    def _may_have_free_place(self) -> bool:
        """Return False if no target has a place for any call."""
        limit = self.place_limit
        if limit is not None and self.held_count >= limit:
            return False
        return any(
            len(load.held) < load.count_places(self.share)
            for load in self._list_present()
        )

    def _has_free_place(self, request: PlaceRequest, now_ms: int) -> bool:
        """Return True if a target that may serve a call has a place."""
        if not self._may_have_free_place():
            return False
        return any(
            len(load.held) < load.count_places(self.share)
            for load in self._list_sound(request, now_ms)
        )

    def _list_present(self) -> Iterator[TargetLoad]:
        """Yield the targets that are listed and live at their address."""
        now_ms = self._clock.now_ms()
        for name, load in self._loads.items():
            if name in self._usable and not load.faults.is_gone(now_ms):
                yield load

    def _estimate_wait_ms(
        self, request: PlaceRequest, rank: int, now_ms: int
    ) -> int:
        """Return the expected wait of a call that arrives with a rank.

        Calls before it are all of more urgent ranks and those of its own
        that can still be on time. They share what the arrivals of more
        urgent ranks leave of the places.
        """
        if self._has_free_place(request, now_ms):
            return 0
        ahead_ms = 0.0
        for other, count in self._on_time.items():
            if other <= rank:
                ahead_ms += count * self._demand.get_hold_ms(other)
        for other, count in self._late.items():
            if other < rank:
                ahead_ms += count * self._demand.get_hold_ms(other)
        places = sum(
            load.listed.slots * self.share
            for load in self._list_sound(request, now_ms)
        )
        left = self._demand.estimate_left(rank, max(1.0, places), now_ms)
        return int(ahead_ms / left)

    def _estimate_least_first_ms(
        self, request: PlaceRequest, now_ms: int
    ) -> float:
        """Return the expected time to the first bytes at the best target."""
        return min(
            (
                load.estimate_idle_first_ms(request)
                for name, load in self._loads.items()
                if name in self._usable
            ),
            default=0.0,
        )

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
    def _find_patience_ms(request: PlaceRequest) -> int:
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
        place: HeldPlace | None,
        end: PlaceEnd,
        first_ms: int,
        failure_domain: str,
    ) -> None:
        now_ms = self._clock.now_ms()
        if end is PlaceEnd.NOT_REACHED:
            self._note_unreached(load, failure_domain, now_ms)
            return
        if end is PlaceEnd.GONE:
            load.faults.note_gone(now_ms)
            return
        if end is PlaceEnd.TURNED_AWAY:
            load.full_until_ms = now_ms + FULL_PAUSE_MS
            return
        if end is not PlaceEnd.CALLER_LEFT:
            load.faults.note_reached(failure_domain)
            load.faults.note_answer(end.is_fault, now_ms)
        if place is None:
            return
        if end is PlaceEnd.ANSWERED:
            self._demand.note_end(place.rank, now_ms - place.started_ms)
        if first_ms:
            load.learn(place.expected_ms, first_ms)
            self._demand.note_first(place.rank, first_ms)

    def _note_unreached(
        self, load: TargetLoad, failure_domain: str, now_ms: int
    ) -> None:
        """Keep a domain from a target that it could not reach.

        If no instance of the target's domain is heard either, the domain is
        cut off, and the other targets there would not be reached.
        """
        lost = [load]
        if load.listed.failure_domain in self.silent_domains:
            lost = [
                other
                for other in self._loads.values()
                if other.listed.failure_domain == load.listed.failure_domain
            ]
        for other in lost:
            other.faults.note_unreached(failure_domain, now_ms)

    def _deny(
        self, request: PlaceRequest, denial: Denial, retry_after_ms: int
    ) -> PlaceDecision:
        bounded_ms = min(
            max(retry_after_ms, LEAST_RETRY_MS), GREATEST_RETRY_MS
        )
        return PlaceDecision(
            request.call,
            request.instance,
            denial=denial,
            retry_after_ms=bounded_ms,
            pool_wait_ms=self._estimate_wait_ms(
                request, request.rank, self._clock.now_ms()
            ),
        )
