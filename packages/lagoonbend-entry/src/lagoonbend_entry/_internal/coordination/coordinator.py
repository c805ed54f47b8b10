"""Gets places for calls, and gives them where this instance decides."""

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import HeldSlot
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.deciders import Deciders
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.peer_link import PeerLink
from lagoonbend_entry._internal.coordination.peer_links import PeerLinks
from lagoonbend_entry._internal.coordination.peer_service import PeerService
from lagoonbend_entry._internal.coordination.pending_call import PendingCall
from lagoonbend_entry._internal.coordination.pool_chooser import PoolChooser
from lagoonbend_entry._internal.coordination.service_desk import ServiceDesk
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

PING_MS = 250
"""Time between looks at which signs of life are due."""
TICK_MS = 50
"""Time between looks at the clock while calls wait for places here."""
IDLE_TICK_MS = 250
"""The same while none waits; a new decider is noticed this much later."""
SUMMARY_MS = 1_000
"""Time between two lines on the load of a service."""
ACK_MS = 200
"""Time for the deciding instance to say that a call waits; a round trip
between domains takes about 3 ms. Later the instance decides by itself."""
GREATEST_STRIKES = 2
"""Calls that an instance leaves unanswered, without any other sign of life,
before another one is asked to decide."""
GREATEST_MOVES = 3
"""Times that a call is sent on between instances that disagree on who
decides, before its own instance does."""
GREATEST_POOLS = 2
"""Pools that a call is offered to before it is refused; a third costs more
messages just when all have much to do."""
POOL_DENIALS = (Denial.OVERLOADED, Denial.NO_TARGET)
"""Denials for which another pool of the service may have room."""
MILLISECONDS_PER_SECOND = 1000
LOCAL = 'local'


class Coordinator:
    """Finds who decides, asks, and decides where it is this instance.

    :param fleet: membership.
    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param invariants: checks that must always hold.
    :param incarnation: identity of this life of the process.
    :param tolerance: how exactly customers' limits must be kept.
    """

    def __init__(
        self,
        fleet: Fleet,
        facts: FactsCache,
        clock: Clock,
        invariants: Invariants,
        incarnation: str,
        tolerance: LimitTolerance,
    ) -> None:
        self._summary_ms = 0
        self._fleet = fleet
        self._facts = facts
        self._clock = clock
        self._pending: dict[str, PendingCall] = {}
        self._held: dict[str, tuple[SlotRequest, HeldSlot, str]] = {}
        self.pools = PoolChooser(fleet, facts, clock)
        self._strikes: dict[str, int] = {}
        self._has_waiting = gevent.event.Event()
        self._links = PeerLinks(
            fleet,
            clock,
            on_message=self._hear,
            on_open=self._tell_places,
            on_lost=self._note_lost,
        )
        self._deciders = Deciders(
            fleet,
            clock,
            lambda pool: self.desk.find(pool) is not None,
            self._note_decider,
        )
        self.desk = ServiceDesk(
            facts,
            clock,
            SharedLimits(tolerance),
            invariants,
            self._deliver,
            self._has_waiting.set,
        )
        self._local = ServiceDesk(
            facts,
            clock,
            SharedLimits(tolerance),
            invariants,
            self._deliver,
            self._has_waiting.set,
        )
        self.peers = PeerService(
            fleet,
            facts,
            clock,
            self._deciders,
            (self.desk, self._local),
            incarnation,
        )
        facts.on_change.append(self.desk.feed)
        facts.on_change.append(self._local.feed)

    def start(self) -> None:
        """Open links to the known peers and start the loops."""
        gevent.spawn(run_guarded, 'signs of life', self._ping)
        gevent.spawn(run_guarded, 'tick', self._tick)

    def acquire(
        self, request: SlotRequest, rule: CustomerRule | None, wait_ms: int
    ) -> SlotDecision:
        """Return a place or a denial; waits until there is one.

        A call that its pool refuses for overload is offered to another one
        where less is waiting.

        :param wait_ms: greatest time to wait.
        """
        asked_ms = self._clock.now_ms()
        tried: tuple[str, ...] = ()
        while True:
            now_ms = self._clock.now_ms()
            spent_ms = now_ms - asked_ms
            current = request._replace(waited_ms=request.waited_ms + spent_ms)
            decision = self._acquire_in_pool(current, rule, wait_ms - spent_ms)
            tried = (*tried, request.pool)
            other = None
            if decision.denial in POOL_DENIALS and len(tried) < GREATEST_POOLS:
                other = self.pools.choose_other(request, decision, tried)
            if other is None:
                return decision._replace(pool=request.pool)
            request = request._replace(pool=other)

    def _acquire_in_pool(
        self, request: SlotRequest, rule: CustomerRule | None, wait_ms: int
    ) -> SlotDecision:
        asked_ms = self._clock.now_ms()
        for move in range(GREATEST_MOVES + 1):
            waited_ms = self._clock.now_ms() - asked_ms
            left_ms = wait_ms - waited_ms
            if left_ms <= 0:
                break
            current = request._replace(waited_ms=request.waited_ms + waited_ms)
            decider = self._deciders.find(request.pool)
            if move == GREATEST_MOVES:
                decider = LOCAL
            decision = self._ask(current, rule, decider, left_ms)
            if decision is not None:
                self.pools.note_wait(request.pool, decision.pool_wait_ms)
                return decision
        return SlotDecision(
            request.call,
            request.instance,
            denial=Denial.NO_TIME_LEFT,
            retry_after_ms=MILLISECONDS_PER_SECOND,
        )

    def release(
        self,
        request: SlotRequest,
        target: str,
        end: SlotOutcome,
        first_ms: int,
    ) -> None:
        """Give a place back with what was seen of the target."""
        held = self._held.pop(request.call, None)
        if held is None:
            return
        request, _, where = held
        now_there = self._deciders.get_last(request.pool)
        if where == LOCAL:
            self._release_at(self._local, request, target, end, first_ms)
        if now_there == self._fleet.address:
            self._release_at(self.desk, request, target, end, first_ms)
            return
        self._links.send(
            now_there, wire_codec.encode_end(request, target, end, first_ms)
        )

    def count_waiting(self) -> dict[str, int]:
        """Return the calls that wait for each service decided here."""
        return {
            scheduler.service.name: len(scheduler)
            for scheduler in self.desk.schedulers
        }

    def count_known(self) -> int:
        """Return the number of instances that share fleet-wide limits."""
        return self._fleet.count_known()

    def add_peers(self, addresses: list[str]) -> None:
        """Take in addresses of peers."""
        self._fleet.add_peers(addresses)

    def leave(self) -> None:
        """Stop deciding, for the instance is to stop."""
        self._deciders.is_leaving = True
        self._deciders.refresh()
        for service in self.desk.pools:
            self._step_down(service)

    def _ask(
        self,
        request: SlotRequest,
        rule: CustomerRule | None,
        decider: str,
        left_ms: int,
    ) -> SlotDecision | None:
        pending = PendingCall(request, rule, decider)
        self._pending[request.call] = pending
        try:
            if decider == LOCAL:
                self._local.submit(request, rule)
            elif decider == self._fleet.address:
                self.desk.submit(request, rule)
            elif not self._links.send(
                decider, wire_codec.encode_request(request)
            ):
                return self._ask(request, rule, LOCAL, left_ms)
            else:
                return self._wait_remote(pending, left_ms)
            return self._take(pending.wait(left_ms), request, decider)
        except TimeoutError:
            return None
        finally:
            if self._pending.get(request.call) is pending:
                del self._pending[request.call]
            self._withdraw(request, decider)

    def _wait_remote(
        self, pending: PendingCall, left_ms: int
    ) -> SlotDecision | None:
        request = pending.request
        try:
            decision = pending.wait(min(ACK_MS, left_ms))
        except TimeoutError:
            if not pending.is_queued:
                log_event(
                    Event.DECIDER_SILENT,
                    request=request.call,
                    decider=pending.decider,
                    service=request.pool,
                )
                self._suspect(pending.decider)
                return self._ask(request, pending.rule, LOCAL, left_ms)
            decision = pending.wait(max(1, left_ms - ACK_MS))
        return self._take(decision, request, pending.decider)

    def _suspect(self, decider: str) -> None:
        """Give up an instance that leaves several calls unanswered."""
        link = self._links.find(decider)
        if link is None:
            return
        if self._clock.now_ms() - link.heard_ms < ACK_MS:
            self._strikes.pop(decider, None)
            return
        strikes = self._strikes.get(decider, 0) + 1
        self._strikes[decider] = strikes
        if strikes >= GREATEST_STRIKES:
            self._strikes.pop(decider, None)
            link.close()

    def _take(
        self, decision: SlotDecision | None, request: SlotRequest, where: str
    ) -> SlotDecision | None:
        if decision is not None and decision.denial is None:
            place = HeldSlot(
                request.call,
                request.instance,
                decision.target,
                request.rank,
                request.prompt,
                request.prompt_tokens + request.output_tokens,
                self._clock.now_ms(),
                decision.expected_ms,
            )
            self._held[request.call] = (request, place, where)
            if where == LOCAL:
                self._register([place], request.pool)
        return decision

    def _withdraw(self, request: SlotRequest, decider: str) -> None:
        """Forget a call that is no longer waited for, if it still waits."""
        if request.call in self._held:
            return
        if decider in (LOCAL, self._fleet.address):
            desk = self._local if decider == LOCAL else self.desk
            scheduler = desk.find(request.pool)
            if scheduler is not None:
                desk.deliver(
                    scheduler.withdraw(request.instance, request.call)
                )
            return
        self._links.send(
            decider, messages.Withdraw(request.call, request.pool)
        )

    def _release_at(
        self,
        desk: ServiceDesk,
        request: SlotRequest,
        target: str,
        end: SlotOutcome,
        first_ms: int,
    ) -> None:
        scheduler = desk.find(request.pool)
        if scheduler is not None:
            desk.deliver(
                scheduler.release(
                    request.instance,
                    request.call,
                    target,
                    end,
                    first_ms,
                    request.failure_domain,
                )
            )

    def _deliver(self, decision: SlotDecision) -> None:
        if decision.instance == self._fleet.address:
            pending = self._pending.get(decision.call)
            if pending is not None:
                pending.decide(decision)
            return
        self.peers.send(
            decision.instance, wire_codec.encode_decision(decision)
        )

    def _note_decider(self, pool: str, before: str, decider: str) -> None:
        log_event(
            Event.DECIDER_CHANGED,
            service=pool,
            before=before,
            decider=decider,
            alive=self._fleet.count_alive(),
            known=self._fleet.count_known(),
        )
        if before == self._fleet.address:
            self._step_down(pool)
        if decider == self._fleet.address:
            self.desk.open(pool)
        elif self._links.find(decider) is None:
            self._choose_links()
        self._register(self._list_held(pool), pool)

    def _list_held(self, pool: str) -> list[HeldSlot]:
        return [
            place
            for request, place, _ in self._held.values()
            if request.pool == pool
        ]

    def _register(self, held: list[HeldSlot], pool: str) -> None:
        """Tell the instance that decides of places in use."""
        decider = self._deciders.get_last(pool)
        if decider != self._fleet.address:
            if held:
                now_ms = self._clock.now_ms()
                message = wire_codec.encode_places(pool, held, now_ms)
                self._links.send(decider, message)
            return
        scheduler = self.desk.find(pool)
        for place in held:
            if scheduler is not None:
                scheduler.register(place)

    def _step_down(self, service: str) -> None:
        scheduler = self.desk.close(service)
        if scheduler is None:
            return
        for request in scheduler.list_waiting():
            if request.instance == self._fleet.address:
                pending = self._pending.get(request.call)
                if pending is not None:
                    pending.move()
                continue
            moved = messages.Moved(request.call, service, '')
            self.peers.send(request.instance, moved)

    def _hear(self, link: PeerLink, message: messages.AnyMessage) -> None:
        """Take an answer of a peer that this instance has called."""
        match message:
            case messages.Pong():
                self._hear_pong(link, message)
            case messages.Items():
                self._hear_items(message)
            case messages.Queued():
                pending = self._pending.get(message.call)
                if pending is not None:
                    pending.is_queued = True
            case messages.Moved():
                self._deciders.note_hint(message.pool, message.decider)
                pending = self._pending.get(message.call)
                if pending is not None:
                    pending.move()
            case messages.Decision():
                self._hear_decision(link, message)

    def _hear_decision(
        self, link: PeerLink, message: messages.Decision
    ) -> None:
        pending = self._pending.get(message.call)
        if pending is None or pending.decider != link.address:
            if message.target:
                self._give_back(link, message)
            return
        pending.decide(
            wire_codec.decode_decision(self._fleet.address, message)
        )

    def _give_back(self, link: PeerLink, message: messages.Decision) -> None:
        """Return a place that came after the call was given up."""
        for pool in self._deciders.list_pools(link.address):
            link.send(
                messages.Done(
                    call=message.call,
                    pool=pool,
                    target=message.target,
                    failure_domain=self._fleet.failure_domain,
                    end=SlotOutcome.CALLER_LEFT.value,
                    first_ms=0,
                )
            )

    def _hear_pong(self, link: PeerLink, pong: messages.Pong) -> None:
        is_new = not self._fleet.is_alive(pong.address)
        self._fleet.record_pong(pong)
        for desk in (self.desk, self._local):
            desk.limits.record_peer_usage(
                pong.incarnation, pong.used, self._clock.now_ms()
            )
        if is_new:
            log_event(
                Event.PEER_REACHED,
                peer=pong.address,
                failure_domain=pong.failure_domain,
                uptime_ms=pong.uptime_ms,
            )
        item_cache = self._facts.item_cache
        if pong.revision > item_cache.complete_revision:
            link.send(
                messages.ItemsWanted(
                    self._clock.now_ms(), item_cache.complete_revision
                )
            )
        elif pong.proof_age_ms is not None:
            item_cache.mark_verified(
                pong.revision, pong.sent_ms - pong.proof_age_ms
            )

    def _hear_items(self, message: messages.Items) -> None:
        if message.proof_age_ms is None:
            return
        self._facts.apply_changes(
            wire_codec.decode_items(message),
            message.revision,
            message.sent_ms - message.proof_age_ms,
            'peer',
        )

    def _tell_places(self, link: PeerLink) -> None:
        """Tell an instance that decides of places in use."""
        for pool in self._deciders.list_pools(link.address):
            self._register(self._list_held(pool), pool)

    def _note_lost(self, address: str) -> None:
        self._deciders.refresh()
        for pending in list(self._pending.values()):
            if pending.decider == address:
                pending.move()

    def _ping(self) -> None:
        self._choose_links()
        self._links.ask_all(
            self._deciders.list_last(), wants_news=bool(self.desk.pools)
        )
        gevent.sleep(PING_MS / MILLISECONDS_PER_SECOND)

    def _choose_links(self) -> None:
        self._links.choose(self._deciders.list_last(), self.desk.pools)

    def _tick(self) -> None:
        if self.desk.has_waiting or self._local.has_waiting:
            gevent.sleep(TICK_MS / MILLISECONDS_PER_SECOND)
        else:
            self._has_waiting.clear()
            self._has_waiting.wait(IDLE_TICK_MS / MILLISECONDS_PER_SECOND)
        self._deciders.refresh()
        known = max(1, self._fleet.count_known())
        reached = self._fleet.count_alive()
        self.desk.limits.reachable_share = reached / known
        self._local.limits.reachable_share = 1 / known
        for pool in self.desk.pools:
            self._deciders.find(pool)
        silent = self._fleet.list_unreachable_domains()
        self.desk.advance(1.0, silent)
        self._local.advance(1 / known, silent)
        self._facts.expire()
        now_ms = self._clock.now_ms()
        if now_ms - self._summary_ms >= SUMMARY_MS:
            self._summary_ms = now_ms
            self._log_loads()

    def _log_loads(self) -> None:
        for pool, scheduler in self.desk.list_pools():
            if not scheduler.targets.held_count and not len(scheduler):
                continue
            log_event(
                Event.SERVICE_LOAD,
                service=scheduler.service.name,
                pool=pool,
                waiting=len(scheduler),
                held=scheduler.targets.held_count,
                targets=scheduler.targets.describe(),
                reached=self._fleet.count_alive(),
                known=self._fleet.count_known(),
            )
