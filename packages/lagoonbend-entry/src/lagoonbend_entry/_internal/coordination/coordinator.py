"""Obtains slots for calls, and grants those of the pools decided here.

The decider of a pool is the instance that schedules it; see ``Deciders``.
"""

import gevent
import gevent.event

from lagoonbend.clock import Clock
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import NamedLimit
from lagoonbend.facts import NamedLimits
from lagoonbend.invariants import Invariants
from lagoonbend.limits import LimitTolerance
from lagoonbend.limits import SharedLimits
from lagoonbend.scheduling import CustomerOrderClass
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import HeldSlot
from lagoonbend.scheduling import LatestStartOrder
from lagoonbend.scheduling import Pool
from lagoonbend.scheduling import RecentDenials
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend.scheduling import StatedLoad
from lagoonbend_entry._internal.coordination import crash_exchange
from lagoonbend_entry._internal.coordination import facts_exchange
from lagoonbend_entry._internal.coordination import handover_candidates
from lagoonbend_entry._internal.coordination import limit_reports
from lagoonbend_entry._internal.coordination import messages
from lagoonbend_entry._internal.coordination import origin_exchange
from lagoonbend_entry._internal.coordination import wire_codec
from lagoonbend_entry._internal.coordination.deciders import Deciders
from lagoonbend_entry._internal.coordination.fleet import Fleet
from lagoonbend_entry._internal.coordination.peer_link import PeerLink
from lagoonbend_entry._internal.coordination.peer_links import PeerLinks
from lagoonbend_entry._internal.coordination.peer_service import PeerService
from lagoonbend_entry._internal.coordination.pending_call import PendingCall
from lagoonbend_entry._internal.coordination.pool_chooser import PoolChooser
from lagoonbend_entry._internal.coordination.schedulers import PoolSchedulers
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import run_guarded

HEARTBEAT_CHECK_MS = 250
"""Interval at which the links are checked for pings that are due; the answer
to a ping is a heartbeat."""
SCHEDULING_INTERVAL_MS = 50
"""Interval of the scheduling loop while calls wait for slots here."""
IDLE_SCHEDULING_INTERVAL_MS = 250
"""The same while no call waits; a change of decider is noticed up to this much
later."""
LOAD_LOG_INTERVAL_MS = 1_000
"""Interval of the log lines on the load of each pool."""
ACK_TIMEOUT_MS = 200
"""Time within which a decider must confirm that it has queued a call; a round
trip between failure domains takes about 3 ms. After that, the instance that
handles the call schedules it itself."""
MAX_UNANSWERED = 2
"""Requests that a decider may leave unanswered, without sending any other
message, before its link is closed and another decider is chosen."""
MAX_REDIRECTS = 3
"""Times that a call is redirected between instances that disagree on the
decider, before its own instance schedules it."""
MAX_POOLS_PER_CALL = 2
"""Pools that a call is offered to before it is refused; a third one would cost
more messages just when all pools are overloaded."""
POOL_SPECIFIC_DENIALS = (Denial.OVERLOADED, Denial.NO_TARGET)
"""Denials after which another pool of the service may still have room."""
FALLBACK_RATE_SHARE = 0.5
"""Part of the limits that targets name which all fallback schedulers together
may use, since the deciders use all of them for the other calls."""
MILLISECONDS_PER_SECOND = 1000
FALLBACK = 'local'
"""Stands in place of a decider's address for a call that this instance
schedules itself, with its fallback schedulers."""


class Coordinator:
    """Requests slots from the decider of a pool, or grants them as decider.

    If the decider does not answer, or instances disagree on it, a call goes to
    the fallback schedulers of this instance. They use only its share of the
    slots and of the customers' limits.

    :param fleet: membership.
    :param facts: rules and targets.
    :param clock: clock of the instance.
    :param invariants: checks that must always hold.
    :param incarnation: identity of this start of the process.
    :param tolerance: how exactly customers' limits must be kept.
    :param customer_order: builds the order among a pool's customers.
    """

    def __init__(
        self,
        fleet: Fleet,
        facts: FactsCache,
        clock: Clock,
        invariants: Invariants,
        incarnation: str,
        tolerance: LimitTolerance,
        customer_order: CustomerOrderClass = LatestStartOrder,
    ) -> None:
        self._load_logged_ms = 0
        self._fleet = fleet
        self._facts = facts
        self._clock = clock
        self._pending: dict[str, PendingCall] = {}
        self._held_slots: dict[str, tuple[SlotRequest, HeldSlot, str]] = {}
        self.pools = PoolChooser(fleet, facts, clock)
        self.named_limits = NamedLimits(clock)
        self.recent_denials = RecentDenials(clock, customer_order)
        self._unanswered_counts: dict[str, int] = {}
        self._waiting_signal = gevent.event.Event()
        self._links = PeerLinks(
            fleet,
            clock,
            on_message=self._handle_message,
            on_open=self._report_held_slots,
            on_lost=self._on_peer_lost,
        )
        self.deciders = Deciders(
            fleet,
            clock,
            lambda pool: self.pool_schedulers.find(pool) is not None,
            self._on_decider_changed,
        )
        self.pool_schedulers, self._fallback_schedulers = (
            PoolSchedulers(
                facts,
                clock,
                SharedLimits(tolerance),
                invariants,
                self._deliver,
                self._waiting_signal.set,
                self.named_limits,
                spread_key,
                customer_order,
            )
            for spread_key in ('', fleet.address)
        )
        self.origins = origin_exchange.OriginExchange(
            clock,
            (fleet.list_origin_keepers, fleet.find_searcher),
            self._links.send,
            facts.find_only_version,
            self._may_be_mixed,
        )
        self.crashes = crash_exchange.CrashExchange(
            clock,
            self._list_crash_receivers,
            lambda: not fleet.is_full_mesh,
            self._send_either_way,
        )
        self._limit_reports = limit_reports.LimitReports(
            clock, fleet.reads_reports, self._links.send
        )
        self.facts_exchange = facts_exchange.FactsExchange(facts, clock)
        self.peers = PeerService(
            fleet,
            facts,
            clock,
            self.deciders,
            (self.pool_schedulers, self._fallback_schedulers),
            incarnation,
            self.origins,
            self.facts_exchange,
            self.crashes,
            self.named_limits,
        )
        facts.on_change.append(self.origins.apply_facts)
        facts.on_change.append(self.pool_schedulers.apply_facts)
        facts.on_change.append(self._fallback_schedulers.apply_facts)

    def start(self) -> None:
        """Open links to the known peers and start the loops."""
        gevent.spawn(run_guarded, 'heartbeats', self._send_pings)
        gevent.spawn(run_guarded, 'tick', self._run_cycle)
        self.peers.start()
        self.origins.start()
        self.crashes.start()

    def acquire(
        self, request: SlotRequest, rule: CustomerRule | None, wait_ms: int
    ) -> SlotDecision:
        """Request a slot and return the decision, which may be a denial.

        A call that its pool denies for want of slots or targets is offered to
        another pool where the expected wait is shorter. If its decider knows
        no target for it and this instance does, the fallback schedulers
        decide.

        :param rule: limit of the customer; None for a public call.
        :param wait_ms: longest time to wait.
        """
        started_ms = self._clock.now_ms()
        tried_pools: tuple[str, ...] = ()
        while True:
            now_ms = self._clock.now_ms()
            elapsed_ms = now_ms - started_ms
            current_request = request._replace(
                waited_ms=request.waited_ms + elapsed_ms
            )
            decision = self._acquire_in_pool(
                current_request, rule, wait_ms - elapsed_ms
            )
            tried_pools = (*tried_pools, request.pool)
            other_pool = None
            if (
                decision.denial in POOL_SPECIFIC_DENIALS
                and len(tried_pools) < MAX_POOLS_PER_CALL
            ):
                other_pool = self.pools.choose_other(
                    request, decision, tried_pools
                )
            if other_pool is None:
                waited_ms = self._clock.now_ms() - started_ms
                if self._knows_more_targets(decision, request):
                    decision = (
                        self._request_slot(
                            current_request,
                            rule,
                            FALLBACK,
                            max(1, wait_ms - waited_ms),
                        )
                        or decision
                    )
                return decision._replace(pool=request.pool)
            request = request._replace(pool=other_pool)

    def _knows_more_targets(
        self, decision: SlotDecision, request: SlotRequest
    ) -> bool:
        """Return True if a decider knows no target, but this instance does.

        The list of targets reaches the instances at different times.
        """
        if decision.denial is not Denial.NO_TARGET:
            return False
        decider = self.deciders.find(request.pool)
        if decider == self._fleet.address:
            return False
        pool = Pool.parse(request.pool)
        targets = self._facts.target_directory.list_service(pool.service)
        known_count = sum(
            target.target not in request.excluded
            for target in pool.select(targets)
        )
        if known_count:
            log_event(
                Event.DECIDER_BEHIND,
                request=request.call,
                decider=decider,
                service=request.pool,
                targets=known_count,
            )
        return known_count > 0

    def _acquire_in_pool(
        self, request: SlotRequest, rule: CustomerRule | None, wait_ms: int
    ) -> SlotDecision:
        started_ms = self._clock.now_ms()
        for redirect_count in range(MAX_REDIRECTS + 1):
            waited_ms = self._clock.now_ms() - started_ms
            remaining_ms = wait_ms - waited_ms
            if remaining_ms <= 0:
                break
            current_request = request._replace(
                waited_ms=request.waited_ms + waited_ms
            )
            denial = self.recent_denials.find(current_request)
            if denial is not None:
                return denial
            decider = self.deciders.find(request.pool)
            if redirect_count == MAX_REDIRECTS:
                decider = FALLBACK
            decision = self._request_slot(
                current_request, rule, decider, remaining_ms
            )
            if decision is not None:
                self.recent_denials.record(request, decision)
                self.pools.record_wait(request.pool, decision.pool_wait_ms)
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
        outcome: SlotOutcome,
        first_byte_ms: int,
        stated: StatedLoad | None = None,
    ) -> None:
        """Release a slot, and report how its use ended."""
        end = (target, outcome, first_byte_ms)
        entry = self._held_slots.pop(request.call, None)
        if entry is None:
            return
        request, _, granted_by = entry
        current_decider = self.deciders.get_last(request.pool)
        if granted_by == FALLBACK:
            self._release_in(self._fallback_schedulers, request, end, stated)
        if current_decider == self._fleet.address:
            self._release_in(self.pool_schedulers, request, end, stated)
            return
        self._links.send(
            current_decider, wire_codec.encode_release(request, *end, stated)
        )

    def count_waiting(self) -> dict[str, int]:
        """Return the number of calls of each service that wait here."""
        counts = self.pool_schedulers.count_waiting()
        counts.update(self._fallback_schedulers.count_waiting())
        return counts

    def _may_be_mixed(self, service: str) -> bool:
        """Return True if the origins of a service's streams are shared.

        While the past isn't known, that is done in a small fleet only. In a
        larger one many instances miss changes at the same time, and targets
        are asked for the prompts of the few streams that are taken up.
        """
        return len(self._facts.list_versions(service)) > 1 or (
            self._fleet.is_full_mesh and not self._facts.knows_versions()
        )

    def count_known(self) -> int:
        """Return the number of instances that share fleet-wide limits."""
        return self._fleet.count_known()

    def report_limit(self, pool: str, limit: NamedLimit) -> None:
        """Tell the decider of a pool what a target has said of its limit."""
        decider = self.deciders.get_last(pool)
        if decider != self._fleet.address:
            self._limit_reports.report(pool, decider, limit)

    def grants_trials(self, carrier: str) -> bool:
        """Return True if this instance grants the trials of a carrier."""
        return self._fleet.grants_trials(carrier)

    def find_handover_candidates(
        self, service: str
    ) -> handover_candidates.HandoverCandidates:
        """Return the peers that may run calls of a service for this one."""
        return self._fleet.find_handover_candidates(service)

    def add_peers(self, addresses: list[str]) -> None:
        """Add addresses of peers."""
        self._fleet.add_peers(addresses)

    def leave(self) -> None:
        """Give up all pools, because the instance is about to stop."""
        self.deciders.is_leaving = True
        self.deciders.invalidate()
        for pool in self.pool_schedulers.pools:
            self._step_down(pool)

    def _request_slot(
        self,
        request: SlotRequest,
        rule: CustomerRule | None,
        decider: str,
        remaining_ms: int,
    ) -> SlotDecision | None:
        """Return the decision; None if there is none in time.

        None also asks the caller of this method to look up the decider again.
        """
        pending = PendingCall(request, rule, decider)
        self._pending[request.call] = pending
        try:
            if decider == FALLBACK:
                self._fallback_schedulers.submit(request, rule)
            elif decider == self._fleet.address:
                self.pool_schedulers.submit(request, rule)
            elif not self._links.send_when_open(
                decider,
                wire_codec.encode_request(request),
                min(ACK_TIMEOUT_MS, remaining_ms),
            ):
                pending.log_scheduled_here(Event.DECIDER_NOT_LINKED)
                return self._request_slot(
                    request, rule, FALLBACK, remaining_ms
                )
            else:
                return self._wait_for_remote(pending, remaining_ms)
            return self._record_decision(
                pending.wait(remaining_ms), request, decider
            )
        except TimeoutError:
            return None
        finally:
            if self._pending.get(request.call) is pending:
                del self._pending[request.call]
            self._withdraw(request, decider)

    def _wait_for_remote(
        self, pending: PendingCall, remaining_ms: int
    ) -> SlotDecision | None:
        """Wait for the decider; use the fallback if it confirms nothing."""
        request = pending.request
        try:
            decision = pending.wait(min(ACK_TIMEOUT_MS, remaining_ms))
        except TimeoutError:
            if not pending.is_queued:
                pending.log_scheduled_here(Event.DECIDER_SILENT)
                self._record_unanswered(pending.decider)
                return self._request_slot(
                    request, pending.rule, FALLBACK, remaining_ms
                )
            decision = pending.wait(max(1, remaining_ms - ACK_TIMEOUT_MS))
        return self._record_decision(decision, request, pending.decider)

    def _record_unanswered(self, decider: str) -> None:
        """Count an unanswered request; close the link after too many."""
        link = self._links.find(decider)
        if link is None:
            return
        if self._clock.now_ms() - link.last_received_ms < ACK_TIMEOUT_MS:
            self._unanswered_counts.pop(decider, None)
            return
        unanswered_count = self._unanswered_counts.get(decider, 0) + 1
        self._unanswered_counts[decider] = unanswered_count
        if unanswered_count >= MAX_UNANSWERED:
            self._unanswered_counts.pop(decider, None)
            link.close()

    def _record_decision(
        self,
        decision: SlotDecision | None,
        request: SlotRequest,
        decider: str,
    ) -> SlotDecision | None:
        """Store the slot if one was granted; return the decision."""
        if decision is not None and decision.denial is None:
            slot = HeldSlot(
                request.call,
                request.instance,
                decision.target,
                request.rank,
                request.prompt,
                request.prompt_tokens + request.output_tokens,
                self._clock.now_ms(),
                decision.expected_ms,
            )
            self._held_slots[request.call] = (request, slot, decider)
            if decider == FALLBACK:
                self._register_slots([slot], request.pool)
        return decision

    def _withdraw(self, request: SlotRequest, decider: str) -> None:
        """Remove a call that no longer waits for a slot from the queue."""
        if request.call in self._held_slots:
            return
        if decider in (FALLBACK, self._fleet.address):
            schedulers = (
                self._fallback_schedulers
                if decider == FALLBACK
                else self.pool_schedulers
            )
            scheduler = schedulers.find(request.pool)
            if scheduler is not None:
                schedulers.deliver(
                    scheduler.withdraw(request.instance, request.call)
                )
            return
        self._links.send(
            decider, messages.Withdraw(request.call, request.pool)
        )

    def _release_in(
        self,
        schedulers: PoolSchedulers,
        request: SlotRequest,
        end: tuple[str, SlotOutcome, int],
        stated: StatedLoad | None,
    ) -> None:
        scheduler = schedulers.find(request.pool)
        if scheduler is not None:
            schedulers.deliver(
                scheduler.release(
                    request.instance,
                    request.call,
                    *end,
                    request.failure_domain,
                    stated,
                )
            )

    def _deliver(self, decision: SlotDecision) -> None:
        if decision.instance == self._fleet.address:
            pending = self._pending.get(decision.call)
            if pending is not None:
                pending.set_decision(decision)
            return
        self.peers.send(
            decision.instance, wire_codec.encode_decision(decision)
        )

    def _on_decider_changed(
        self, pool: str, previous: str, decider: str
    ) -> None:
        log_event(
            Event.DECIDER_CHANGED,
            service=pool,
            before=previous,
            decider=decider,
            alive=self._fleet.count_alive(),
            known=self._fleet.count_known(),
        )
        if previous == self._fleet.address:
            self._step_down(pool)
        if decider == self._fleet.address:
            self.pool_schedulers.get_or_create(pool)
        elif self._links.find(decider) is None:
            self._update_links()
        self._register_slots(self._list_held_slots(pool), pool)
        self._limit_reports.report_all(pool, decider)

    def _list_held_slots(self, pool: str) -> list[HeldSlot]:
        return [
            slot
            for request, slot, _ in self._held_slots.values()
            if request.pool == pool
        ]

    def _register_slots(self, slots: list[HeldSlot], pool: str) -> None:
        """Report slots that are in use to the decider of their pool."""
        decider = self.deciders.get_last(pool)
        if decider != self._fleet.address:
            if slots:
                now_ms = self._clock.now_ms()
                message = wire_codec.encode_held_slots(pool, slots, now_ms)
                self._links.send(decider, message)
            return
        scheduler = self.pool_schedulers.find(pool)
        for slot in slots:
            if scheduler is not None:
                scheduler.register(slot)

    def _step_down(self, pool: str) -> None:
        """Give up a pool; its waiting calls request their slots again."""
        scheduler = self.pool_schedulers.remove(pool)
        if scheduler is None:
            return
        for request in scheduler.list_waiting():
            if request.instance == self._fleet.address:
                pending = self._pending.get(request.call)
                if pending is not None:
                    pending.request_again()
                continue
            moved = messages.Moved(request.call, pool, '')
            self.peers.send(request.instance, moved)

    def _handle_message(
        self, link: PeerLink, message: messages.AnyMessage
    ) -> None:
        """Handle a message of a peer that this instance has connected to."""
        match message:
            case messages.Pong():
                self._handle_pong(link, message)
            case messages.Items():
                self.facts_exchange.receive(
                    message, link.address, self._links.send
                )
            case messages.Queued():
                pending = self._pending.get(message.call)
                if pending is not None:
                    pending.is_queued = True
            case messages.Moved():
                self.deciders.record_hint(message.pool, message.decider)
                pending = self._pending.get(message.call)
                if pending is not None:
                    pending.request_again()
            case messages.Decision():
                self._handle_decision(link, message)
            case messages.OriginFound():
                self.origins.handle_answer(link.address, message)
            case messages.CrashReports():
                self.crashes.handle_reports(message)

    def _handle_decision(
        self, link: PeerLink, message: messages.Decision
    ) -> None:
        pending = self._pending.get(message.call)
        if pending is None or pending.decider != link.address:
            if message.target:
                self._release_late_grant(link, message)
            return
        pending.set_decision(
            wire_codec.decode_decision(self._fleet.address, message)
        )

    def _release_late_grant(
        self, link: PeerLink, message: messages.Decision
    ) -> None:
        """Release a slot that was granted after the request was given up."""
        for pool in self.deciders.list_pools(link.address):
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

    def _handle_pong(self, link: PeerLink, pong: messages.Pong) -> None:
        is_newly_reached = not self._fleet.is_alive(pong.address)
        self._fleet.record_pong(pong)
        if pong.rumours:
            # Only a pong that carries gossip tells the use of limits.
            for limits in (
                self.pool_schedulers.limits,
                self._fallback_schedulers.limits,
            ):
                limits.record_peer_usage(
                    pong.incarnation, pong.used, self._clock.now_ms()
                )
        if is_newly_reached:
            if pong.keeps_origins:
                self.origins.send_all(pong.address)
            if pong.reads_reports:
                self.crashes.request_all(pong.address)
            log_event(
                Event.PEER_REACHED,
                peer=pong.address,
                failure_domain=pong.failure_domain,
                uptime_ms=pong.uptime_ms,
            )
        self.facts_exchange.receive(pong, link.address, self._links.send)

    def _report_held_slots(self, link: PeerLink) -> None:
        """Report the slots in use to a decider whose link has opened."""
        for pool in self.deciders.list_pools(link.address):
            self._register_slots(self._list_held_slots(pool), pool)
            self._limit_reports.report_all(pool, link.address)

    def _on_peer_lost(self, address: str) -> None:
        self.deciders.invalidate()
        self.facts_exchange.forget_request(address)
        for pending in list(self._pending.values()):
            if pending.decider == address:
                pending.request_again()

    def _list_crash_receivers(self) -> set[str]:
        """Return the peers that are linked in either direction.

        Some instances of a large fleet are in no other instance's selection.
        """
        return {
            *self._fleet.list_crash_receivers(),
            *self.peers.list_crash_receivers(),
        }

    def _send_either_way(
        self, address: str, message: messages.Message
    ) -> bool:
        return self._links.send(address, message) or self.peers.send(
            address, message
        )

    def _send_pings(self) -> None:
        self._update_links()
        self._links.send_due_pings(
            self.deciders.list_pinged(self.pools.list_all()),
            wants_gossip=bool(self.pool_schedulers.pools),
        )
        gevent.sleep(HEARTBEAT_CHECK_MS / MILLISECONDS_PER_SECOND)

    def _update_links(self) -> None:
        self._links.update_links(
            self.deciders.list_pinged(self.pools.list_all()),
            self.pool_schedulers.pools,
            shares_origins=self.origins.has_mixed_services,
        )

    def _run_cycle(self) -> None:
        if (
            self.pool_schedulers.has_waiting
            or self._fallback_schedulers.has_waiting
        ):
            gevent.sleep(SCHEDULING_INTERVAL_MS / MILLISECONDS_PER_SECOND)
        else:
            self._waiting_signal.clear()
            self._waiting_signal.wait(
                IDLE_SCHEDULING_INTERVAL_MS / MILLISECONDS_PER_SECOND
            )
        self.deciders.invalidate()
        known = max(1, self._fleet.count_known())
        alive = self._fleet.count_alive()
        self.pool_schedulers.limits.reachable_share = alive / known
        self._fallback_schedulers.limits.reachable_share = 1 / known
        for pool in self.pool_schedulers.pools:
            self.deciders.find(pool)
        unreachable_domains = self._fleet.list_unreachable_domains()
        self.pool_schedulers.run_cycle(1.0, alive / known, unreachable_domains)
        self._fallback_schedulers.run_cycle(
            1 / known, FALLBACK_RATE_SHARE / known, unreachable_domains
        )
        self._facts.expire()
        now_ms = self._clock.now_ms()
        if now_ms - self._load_logged_ms >= LOAD_LOG_INTERVAL_MS:
            self._load_logged_ms = now_ms
            self.pool_schedulers.log_loads(alive, known)
