"""Handles a caller's request from receipt to the final answer."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import random

import gevent

from lagoonbend.clock import Clock
from lagoonbend.crashes import is_request
from lagoonbend.exceptions import CallerGoneError
from lagoonbend.facts import ListedTarget
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import decide_next_step
from lagoonbend.outcomes import NextStep
from lagoonbend.outcomes import RetryContext
from lagoonbend.outcomes import RetryShare
from lagoonbend.scheduling import Denial
from lagoonbend.scheduling import RankOrder
from lagoonbend.scheduling import SlotDecision
from lagoonbend.scheduling import SlotOutcome
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination.coordinator import Coordinator
from lagoonbend_entry._internal.gateway import crash_guard
from lagoonbend_entry._internal.gateway import gateway_refusal
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer_heads import AnswerHeads
from lagoonbend_entry._internal.gateway.answer_relay import relay_answer
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.body_memory import BodyMemory
from lagoonbend_entry._internal.gateway.call_log import CallLog
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.ended_targets import EndedTargets
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.grant_check import GrantCheck
from lagoonbend_entry._internal.gateway.grant_check import UnusableGrant
from lagoonbend_entry._internal.gateway.handover import Handover
from lagoonbend_entry._internal.gateway.handover_peers import HandoverPeers
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.limit_recorder import LimitRecorder
from lagoonbend_entry._internal.gateway.lost_call import LostCall
from lagoonbend_entry._internal.gateway.open_attempt import OpenAttempt
from lagoonbend_entry._internal.gateway.reachability import PEER_DOUBT_MS
from lagoonbend_entry._internal.gateway.reachability import Reachability
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.refusal_sender import send_refusal
from lagoonbend_entry._internal.gateway.refusal_sender import try_to_refuse
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.resumed_streams import ResumedStreams
from lagoonbend_entry._internal.gateway.silent_calls import find_silent
from lagoonbend_entry._internal.gateway.slot_outcomes import NOT_REACHED
from lagoonbend_entry._internal.gateway.slot_outcomes import REJECTED
from lagoonbend_entry._internal.gateway.slot_outcomes import SLOT_OUTCOMES
from lagoonbend_entry._internal.gateway.slot_requests import CALLER_PATIENCE_MS
from lagoonbend_entry._internal.gateway.slot_requests import SlotRequests
from lagoonbend_entry._internal.gateway.stream_bindings import StreamBindings
from lagoonbend_entry._internal.gateway.successor_search import SuccessorSearch
from lagoonbend_entry._internal.utils.guarded_loop import log_failure
from lagoonbend_entry._internal.utils.interrupt import Interrupt

LINK_CHECK_MS = 50
"""Time for which a call whose target could not be connected to waits for the
check of the links. Sound ones answer within a few milliseconds."""
HANDOVER_MS = 200
"""Time for which a silent target keeps a call after it has been sent to
another one. A target that is full rejects a call at once; the platform allows
400 ms in which both work."""
MIN_ATTEMPT_MS = 50
"""Remaining time in which no answer to a further attempt could arrive."""
MILLISECONDS_PER_SECOND = 1000


class DeadlineExceededError(Exception):
    """The route's timeout or the caller's deadline has passed."""


class InstanceStoppingError(Exception):
    """The instance exits before the call can be completed."""


class CallBlockedError(Exception):
    """Targets keep ending under a call.

    :param carrier: block or request that the call has.
    """

    def __init__(self, carrier: str) -> None:
        super().__init__(carrier)
        self.carrier = carrier


class SlotRequestOutdatedError(Exception):
    """Other targets may run a waiting call than when it asked for a slot."""


class CallHandler:
    """Admits calls, obtains slots at targets and forwards calls to them.

    ``latest_end_ms`` is the time on the instance's clock by which a call that
    is read from now on must end; None if there is no such time.

    :param facts: configuration and target list as last read.
    :param admission: applies the rules to a request.
    :param coordinator: obtains slots for calls.
    :param connection_pool: open connections to targets.
    :param closed_targets: targets that get no requests.
    :param clock: clock of the instance.
    :param make_retry_share: returns a new retry budget for a service.
    :param instance: this instance's address for peers and its failure
        domain.
    :param rank_order: combines the rank of a customer and of a route.
    :param metrics: metrics of calls and attempts.
    """

    def __init__(
        self,
        facts: FactsCache,
        admission: Admission,
        coordinator: Coordinator,
        connection_pool: ConnectionPool,
        closed_targets: ClosedTargets,
        clock: Clock,
        make_retry_share: Callable[[], RetryShare],
        instance: tuple[str, str],
        rank_order: RankOrder,
        metrics: GatewayMetrics,
    ) -> None:
        self._facts = facts
        self._admission = admission
        self._coordinator = coordinator
        self._connection_pool = connection_pool
        self._body_memory = BodyMemory()
        self._closed_targets = closed_targets
        self._clock = clock
        self._make_retry_share = make_retry_share
        self._resumed_streams = ResumedStreams(facts, coordinator.origins)
        self._bindings = StreamBindings(facts, self._resumed_streams)
        self._slot_requests = SlotRequests(
            facts,
            coordinator.pools,
            closed_targets,
            clock,
            instance,
            rank_order,
        )
        self._call_log = CallLog(facts, clock, metrics)
        self._ended_targets = EndedTargets(
            target_connection.TargetConnection.connect,
            metrics.count_ended_target,
        )
        self._crash_guard = crash_guard.CrashGuard(
            coordinator.crashes, coordinator.grants_trials
        )
        self._grant_check = GrantCheck(
            facts, closed_targets, self._crash_guard
        )
        self._ended_targets.on_ended.append(self._crash_guard.record_ended)
        self._ended_targets.on_ended.append(self._bindings.record_ended)
        coordinator.crashes.on_blocked.append(self._end_blocked_calls)
        self.reachability = Reachability(
            clock,
            lambda service: len(facts.target_directory.list_service(service)),
        )
        self._handover = Handover(
            HandoverPeers(
                coordinator.find_handover_candidates,
                self.reachability.find_unreached_since_ms,
                instance[1],
                clock,
                random.Random(),
            ),
            connection_pool,
            closed_targets,
            clock,
            self._body_memory,
            facts.target_directory.find,
            self._bindings.record_begun,
            self._bindings.bind_lost,
        )
        self._limit_recorder = LimitRecorder(
            coordinator.named_limits, clock, coordinator.report_limit
        )
        self._retry_shares: dict[str, RetryShare] = {}
        self.latest_end_ms: int | None = None
        self._active_calls: dict[CallProgress, ReplyWriter] = {}
        facts.target_directory.on_new_life.append(
            functools.partial(
                self._bindings.unbind, active_calls=self._active_calls
            )
        )
        closed_targets.on_closed.append(self._end_slot_waits)
        closed_targets.on_opened.append(self._renew_slot_requests)

    @property
    def active_count(self) -> int:
        """Number of calls that have been read and not answered."""
        return len(self._active_calls)

    def end_calls(self) -> None:
        """Give each active call its final answer, before the process exits.

        One whose answer is being written to its end is left alone.
        """
        for progress, reply in self._active_calls.items():
            if not reply.is_ending:
                progress.interrupt.throw(InstanceStoppingError())

    def report_unanswered(self, cause: str) -> None:
        """Log each active call, whose answer the instance can't complete."""
        for progress in self._active_calls:
            self._call_log.record_unanswered(progress, cause)

    def serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        """Answer a request completely, unless the caller disconnects."""
        try:
            self._serve(request, reply)
        except Exception as error:
            log_failure('call', error)
            if not reply.has_begun:
                refusal = GatewayRefusal(RefusalReason.INTERNAL)
                send_refusal(request, reply, refusal)

    def _serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        admitted = self._admission.admit(request)
        if isinstance(admitted, AdmittedCall) and self._is_too_late(admitted):
            admitted = RefusalReason.STOPPING
        if isinstance(admitted, RefusalReason):
            self._refuse_unadmitted(request, reply, admitted)
            return
        progress = CallProgress(admitted, reply.sends)
        self._active_calls[progress] = reply
        try:
            self._serve_admitted(progress, reply)
        finally:
            progress.interrupt.is_over = True
            del self._active_calls[progress]

    def _is_too_late(self, call: AdmittedCall) -> bool:
        """Return True if the process may exit before the call has ended."""
        return (
            self.latest_end_ms is not None
            and call.expires_at_ms > self.latest_end_ms
        )

    def _serve_admitted(
        self, progress: CallProgress, reply: ReplyWriter
    ) -> None:
        admitted = progress.call
        left_ms = admitted.expires_at_ms - self._clock.now_ms()
        timer = gevent.Timeout.start_new(
            max(1, left_ms) / 1000, DeadlineExceededError()
        )
        refusal: GatewayRefusal | None = None
        outcome = 'answered'
        try:
            refusal = self._run_attempts(progress, reply)
        except DeadlineExceededError:
            progress.failure = 'time is up'
            refusal = GatewayRefusal.from_deadline(progress)
        except InstanceStoppingError:
            progress.failure = 'instance stops'
            refusal = GatewayRefusal.from_stop(progress)
        except CallBlockedError as error:
            progress.failure = 'call blocked'
            refusal = GatewayRefusal.from_block(progress, error.carrier)
        except CallerGoneError:
            outcome = 'caller_left'
            return
        finally:
            timer.close()
            self._crash_guard.end_trials(admitted)
            if refusal is not None:
                refusal = refusal.restrict_to(progress.sends)
                outcome = refusal.reason.label
            if refusal is not None and not reply.has_begun:
                try_to_refuse(admitted.request, reply, refusal)
            elif refusal is not None:
                outcome = 'stream_broken'
                self._call_log.record_unanswered(progress, progress.failure)
            self._call_log.record_end(progress, outcome, refusal)

    def _run_attempts(
        self, progress: CallProgress, reply: ReplyWriter
    ) -> GatewayRefusal | None:
        """Try targets until one answers; return a refusal if none does."""
        call = progress.call
        retry_share = self._get_retry_share(call.service)
        if self._must_hand_over(call):
            self._bindings.bind(progress, has_begun=reply.has_begun)
            result = self._handover.serve(progress, reply, retry_share)
            if result.is_final:
                return result.refusal
        if call.is_handed_over:
            # What a peer doesn't reach may be cut off from here, too.
            self.reachability.doubt(
                call.service,
                self._clock.now_ms() - PEER_DOUBT_MS,
                needs_answer=True,
            )
        if self._must_hand_back(call):
            progress.failure = 'no target of the service is reached'
            return self._build_not_sent_refusal(progress)
        retry_share.record_request()
        if call.route.is_streaming and call.headers.last_event:
            refusal = self._bind_continued_stream(progress)
            if refusal is not None:
                return refusal
        search: SuccessorSearch[OpenAttempt] = SuccessorSearch(
            lambda: self._open_successor(progress, reply, retry_share, search),
            lambda successor: self._drop_successor(progress, successor),
        )
        try:
            return self._run_attempts_with(
                progress, reply, retry_share, search
            )
        finally:
            search.cancel()
            if progress.has_paid_retry:
                progress.has_paid_retry = False
                retry_share.pay_back()

    def _run_attempts_with(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        retry_share: RetryShare,
        search: SuccessorSearch[OpenAttempt],
    ) -> GatewayRefusal | None:
        call = progress.call
        if self._clock.now_ms() + MIN_ATTEMPT_MS >= call.expires_at_ms:
            progress.failure = 'no time left'
            return GatewayRefusal.from_deadline(progress)
        report: AttemptReport | None = None
        while True:
            opened: OpenAttempt | AttemptReport | None = search.take()
            if opened is None:
                if report is not None and self._must_hand_over(call, report):
                    self._bindings.bind(progress, has_begun=reply.has_begun)
                    result = self._handover.serve(progress, reply, retry_share)
                    if result.is_final:
                        return result.refusal
                if reply.has_begun:
                    refusal = self._bind_continued_stream(progress)
                    if refusal is not None:
                        return refusal
                request, decision = self._acquire(progress, reply)
                progress.pool = decision.pool
                progress.waited_ms += decision.waited_ms
                progress.attempt_count += 1
                if decision.denial is not None:
                    progress.failure = (
                        f'{progress.failure}; {decision.denial.value}'
                    )
                    return GatewayRefusal.from_denial(progress, decision)
                opened = self._open_attempt(
                    progress, reply, request, decision, search
                )
            if isinstance(opened, AttemptReport):
                report = opened
            else:
                report = self._run_attempt(progress, reply, opened, search)
            progress.failure = f'{report.outcome.label}: {report.detail}'
            step = self._choose_next_step(
                progress, reply, report, retry_share, search
            )
            if step is NextStep.RELAY:
                return relay_answer(progress, reply, report)
            if step is NextStep.BREAK_STREAM:
                return GatewayRefusal(RefusalReason.MAY_HAVE_RUN)
            if self._clock.now_ms() + MIN_ATTEMPT_MS >= call.expires_at_ms:
                return GatewayRefusal.from_deadline(progress)
            if step is NextStep.FAIL_MAY_HAVE_RUN:
                return GatewayRefusal(
                    RefusalReason.MAY_HAVE_RUN,
                    gateway_refusal.DEFAULT_RETRY_AFTER_MS,
                )
            is_lost = report.outcome is AttemptOutcome.NOT_CONNECTED
            is_handed_back = (
                is_lost and call.may_hand_back and not progress.may_have_run
            ) and self.reachability.is_doubtful(call.service)
            if step is NextStep.REFUSE_NOT_RUN or is_handed_back:
                return self._build_not_sent_refusal(progress)

    def _bind_continued_stream(
        self, progress: CallProgress
    ) -> GatewayRefusal | None:
        """Bind a stream to the version that began it.

        A peer that has begun it may not have said at which version.

        :returns: a refusal if the version can't be found.
        """
        binding = progress.binding
        if binding is None or binding.version is None:
            binding = self._resumed_streams.find(progress.call)
        if binding is None:
            progress.failure = 'origin of the stream is not known'
            return GatewayRefusal(
                RefusalReason.UNKNOWN_ORIGIN,
                gateway_refusal.DEFAULT_RETRY_AFTER_MS,
            )
        progress.binding = binding
        return None

    def _must_hand_over(
        self, call: AdmittedCall, report: AttemptReport | None = None
    ) -> bool:
        """Return True if a peer should run a call.

        One that a peer has handed over is handed over no further.

        :param report: the last attempt; None before the first one.
        """
        service = call.service
        is_concerned = self.reachability.is_unreached(service) or (
            report is not None
            and report.outcome is AttemptOutcome.NOT_CONNECTED
            and self.reachability.is_doubtful(service)
        )
        return is_concerned and not call.is_handed_over

    def _must_hand_back(self, call: AdmittedCall) -> bool:
        """Return True if another instance should run a call of a peer."""
        return call.may_hand_back and self.reachability.is_unreached(
            call.service
        )

    def _open_attempt(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        request: SlotRequest,
        decision: SlotDecision,
        search: SuccessorSearch[OpenAttempt],
    ) -> OpenAttempt | AttemptReport:
        """Return the attempt for a granted slot, or why there is none."""
        target = self._grant_check.check(progress, decision.target)
        if isinstance(target, UnusableGrant):
            outcome = target.slot_outcome
            self._coordinator.release(request, decision.target, outcome, 0)
            return target.report
        pool = decision.pool or request.pool
        heads = AnswerHeads(pool, self._limit_recorder, self._clock)
        attempt = Attempt(
            progress.call,
            target,
            decision.expected_ms,
            progress.position,
            reply,
            self._connection_pool,
            self._closed_targets,
            self._clock,
            search,
            self._body_memory,
            progress.sends,
            lambda: self._record_begun(progress, target, attempt.sent_ms),
            heads.record,
            self._grant_check.is_listed,
        )
        return OpenAttempt(request, decision, target, attempt, heads)

    def _record_begun(
        self, progress: CallProgress, target: ListedTarget, sent_ms: int
    ) -> None:
        call = progress.call
        self._crash_guard.record_begun(call, target, sent_ms)
        if progress.position.last_id is None:
            is_current = progress.life == target
            self._bindings.record_begun(
                call,
                progress.version if is_current else target.software_version,
            )

    def _run_attempt(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        opened: OpenAttempt,
        search: SuccessorSearch[OpenAttempt],
    ) -> AttemptReport:
        """Run an attempt to its end and release its slot."""
        if progress.successor is opened:
            progress.successor = None
        progress.target = opened.target.target
        progress.version = opened.target.software_version
        progress.life = opened.target
        report: AttemptReport | None = None
        progress.attempt = opened.attempt
        try:
            report = opened.attempt.run()._replace(
                target=progress.target,
                is_sent=opened.attempt.is_sent,
                has_answered=opened.attempt.has_answered,
            )
            self._record_link(opened, report)
            if report.is_lost_unanswered:
                self._check_target(progress, opened)
            return report
        finally:
            progress.attempt = None
            if not search.has_found:
                search.cancel()
            if reply.has_begun:
                self._bindings.bind(progress, has_begun=True)
            self._close_attempt(progress, opened, report)

    def _record_link(self, opened: OpenAttempt, report: AttemptReport) -> None:
        """Record whether a new connection to a target could be opened."""
        target = opened.target
        if report.outcome is AttemptOutcome.NOT_CONNECTED:
            self.reachability.record_failed(target)
            self.reachability.wait_for_check(target.service, LINK_CHECK_MS)
        elif opened.attempt.connected_ms and (
            report.first_byte_ms or report.outcome in REJECTED
        ):
            self.reachability.record_reached(
                target, opened.attempt.connected_ms
            )

    def find_silent(self) -> Iterator[tuple[str, int]]:
        """Yield the services of calls at silent targets, and since when."""
        return find_silent(self._active_calls, self._clock.now_ms())

    def _check_target(
        self, progress: CallProgress, opened: OpenAttempt
    ) -> None:
        """Check whether a target has ended under a call.

        A call waits for the result if it could be why, so that it doesn't end
        another one.
        """
        lost_call = LostCall.from_call(
            progress.call, opened.attempt.sent_ms, self._clock.now_ms()
        )
        check = self._ended_targets.check(opened.target, lost_call)
        if opened.attempt.connected_ms:
            check.link_value(
                lambda done: self.reachability.record_reset(
                    opened.target, has_ended=done.value
                )
            )
        if self._crash_guard.is_suspect(
            progress.call
        ) or self._bindings.needs_end(progress, opened.target):
            check.join()

    def _close_attempt(
        self,
        progress: CallProgress,
        opened: OpenAttempt,
        report: AttemptReport | None,
    ) -> None:
        """Count an attempt and release its slot.

        :param report: None if the attempt was interrupted.
        """
        slot_outcome = SlotOutcome.CALLER_LEFT
        first_byte_ms = 0
        if progress.successor is opened:
            progress.successor = None
        if report is not None:
            progress.sends.close(opened.attempt, report.outcome)
            slot_outcome = SLOT_OUTCOMES[report.outcome]
            first_byte_ms = report.first_byte_ms
            if report.is_target_absent:
                slot_outcome = SlotOutcome.GONE
        target = opened.target
        if opened.attempt.is_sent:
            progress.has_paid_retry = False
            progress.send_count += 1
            progress.versions.append(target.software_version or '')
            progress.attempt_history.append(
                f'{target.target}:{slot_outcome.value}'
            )
            if not slot_outcome.is_not_run:
                progress.run_count += 1
            if slot_outcome.is_not_run:
                progress.rule_out_reader(target)
            elif slot_outcome is not SlotOutcome.ANSWERED:
                self._bindings.record_read(progress, target)
        progress.first_byte_ms = progress.first_byte_ms or first_byte_ms
        is_own_concern = slot_outcome in NOT_REACHED and (
            self.reachability.is_doubtful(target.service)
        )
        if is_own_concern or (report is not None and report.asks_for_pause):
            # The other instances go on using the target as before.
            slot_outcome = SlotOutcome.UNSUITED
        load = opened.heads.find_load()
        self._coordinator.release(
            opened.request, target.target, slot_outcome, first_byte_ms, load
        )

    def _open_successor(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        retry_share: RetryShare,
        search: SuccessorSearch[OpenAttempt],
    ) -> OpenAttempt | None:
        """Send a call whose target is silent to another one.

        :returns: the attempt if the other target accepts the call.
        """
        call = progress.call
        left_ms = call.expires_at_ms - self._clock.now_ms()
        if (
            progress.run_count + 1 >= call.route.attempt_limit
            or left_ms < MIN_ATTEMPT_MS
            or not retry_share.can_spend()
        ):
            return None
        if not reply.has_begun:
            self._bindings.record_read(progress, progress.life)
        self._bindings.bind(progress, has_begun=reply.has_begun)
        request = self._slot_requests.build(
            progress, reply, excluded=(progress.target,)
        )
        decision = self._coordinator.acquire(request, call.customer, left_ms)
        if decision.denial is not None:
            return None
        opened = self._open_attempt(progress, reply, request, decision, search)
        if isinstance(opened, AttemptReport):
            progress.exclude(opened)
            return None
        progress.successor = opened
        report: AttemptReport | None = None
        is_accepted = False
        has_paid = retry_share.spend()
        try:
            if has_paid:
                report = opened.attempt.begin(HANDOVER_MS)
                is_accepted = report is None
                if report is not None:
                    self._record_link(opened, report)
        finally:
            if has_paid and not opened.attempt.is_sent:
                retry_share.pay_back()
            if not is_accepted:
                self._close_attempt(progress, opened, report)
        if report is not None:
            self._call_log.record_attempt(progress, report, 'stay')
            progress.exclude(report._replace(target=decision.target))
        return opened if is_accepted else None

    def _drop_successor(
        self, progress: CallProgress, successor: OpenAttempt
    ) -> None:
        """End an attempt that is not needed: the silent target has gone on."""
        successor.attempt.close()
        self._close_attempt(progress, successor, None)

    def _acquire(
        self, progress: CallProgress, reply: ReplyWriter
    ) -> tuple[SlotRequest, SlotDecision]:
        """Request a slot and return the decision, which may be a denial.

        The rest of a stream waits for the end of a pause that is short enough
        for its caller.
        """
        call = progress.call
        patience_end_ms = min(
            self._clock.now_ms() + CALLER_PATIENCE_MS,
            call.expires_at_ms - MIN_ATTEMPT_MS,
        )
        while True:
            self._bindings.bind(progress, has_begun=reply.has_begun)
            request = self._slot_requests.build(progress, reply)
            blocked = self._crash_guard.check(call)
            if blocked is not None:
                return request, self._deny(
                    request,
                    Denial.REQUEST_BLOCKED
                    if is_request(blocked.carrier)
                    else Denial.PROMPT_BLOCKED,
                    crash_guard.find_retry_after_ms(blocked),
                )
            pause_ms = self._slot_requests.find_pause_ms(progress)
            if pause_ms is not None:
                pause_end_ms = self._clock.now_ms() + pause_ms
                if reply.has_begun and pause_end_ms < patience_end_ms:
                    progress.waited_ms += pause_ms
                    gevent.sleep(pause_ms / MILLISECONDS_PER_SECOND)
                    continue
                return request, self._deny(
                    request,
                    Denial.TARGETS_PAUSED,
                    self._closed_targets.pauses.spread_return_ms(pause_ms),
                )
            wait_ms = max(1, call.expires_at_ms - self._clock.now_ms())
            progress.slot_request = request
            progress.slot_wait = wait = Interrupt()
            try:
                decision = self._coordinator.acquire(
                    request, call.customer, wait_ms
                )
            except SlotRequestOutdatedError:
                continue
            finally:
                wait.is_over = True
                progress.slot_wait = None
            if decision.denial is None:
                progress.is_charged = True
            return request, decision

    @staticmethod
    def _deny(
        request: SlotRequest, denial: Denial, retry_after_ms: int
    ) -> SlotDecision:
        """Return the denial of a slot that isn't requested at all."""
        return SlotDecision(
            request.call,
            request.instance,
            denial=denial,
            retry_after_ms=retry_after_ms,
            pool=request.pool,
        )

    def _end_blocked_calls(self, service: str, carrier: str) -> None:
        """End the calls with a carrier that has just been blocked.

        One whose answer has begun is not the cause.
        """
        for progress, reply in self._active_calls.items():
            call = progress.call
            if (
                call.service == service
                and not reply.has_begun
                and carrier in crash_guard.list_carriers(call)
            ):
                progress.interrupt.throw(CallBlockedError(carrier))

    def _end_slot_waits(self, closed: ListedTarget) -> None:
        """End the waits of calls that no target may run before a pause ends.

        :param closed: target that has just been closed.
        """
        open_targets = self._slot_requests.list_open(closed.service)
        for progress in self._active_calls:
            if (
                progress.slot_wait is not None
                and progress.call.service == closed.service
                and not self._slot_requests.may_use(progress, open_targets)
                and self._slot_requests.find_pause_ms(progress) is not None
            ):
                self._interrupt_slot_wait(progress)

    def _renew_slot_requests(self, opened: ListedTarget) -> None:
        """Let waiting calls ask again whose requests exclude a target.

        :param opened: target whose pause has just ended.
        """
        name = opened.target
        for progress in self._active_calls:
            request = progress.slot_request
            if (
                progress.slot_wait is not None
                and request is not None
                and progress.call.service == opened.service
                and name in request.excluded
                and name not in progress.excluded
            ):
                self._interrupt_slot_wait(progress)

    @staticmethod
    def _interrupt_slot_wait(progress: CallProgress) -> None:
        """Interrupt a wait once: the withdrawal of its request may wait."""
        wait, progress.slot_wait = progress.slot_wait, None
        if wait is not None:
            wait.throw(SlotRequestOutdatedError())

    def _choose_next_step(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        report: AttemptReport,
        retry_share: RetryShare,
        search: SuccessorSearch[OpenAttempt],
    ) -> NextStep:
        """Return what follows an attempt.

        A retry after an attempt that was sent must fit the retry budget. That
        of a successor that was found has been taken from it already, and so
        has that of an attempt that was not sent, unless it was the first.
        """
        call = progress.call
        if report.outcome is AttemptOutcome.WHOLE_ANSWER:
            return NextStep.RELAY
        left_ms = call.expires_at_ms - self._clock.now_ms()
        # A successor that was given up with the attempt may run the call
        # although its end has not been counted yet.
        is_sent_elsewhere = (
            progress.successor is not None
            and progress.successor.attempt.is_sent
            and not search.has_found
        )
        retry_context = RetryContext(
            report.outcome,
            call.route.may_repeat
            and (
                not report.is_lost_unanswered
                or self._crash_guard.may_repeat(call)
            ),
            reply.has_begun,
            progress.may_have_run or is_sent_elsewhere,
            call.route.attempt_limit - progress.run_count - is_sent_elsewhere,
            left_ms >= MIN_ATTEMPT_MS,
            True,
        )
        step = decide_next_step(retry_context)
        must_pay = (
            step is NextStep.RETRY and report.is_sent and not search.has_found
        )
        if must_pay and retry_share.spend():
            progress.has_paid_retry = True
        elif must_pay:
            retry_context = retry_context._replace(has_budget=False)
            step = decide_next_step(retry_context)
        self._call_log.record_attempt(
            progress,
            report,
            step.value,
            has_budget=retry_context.has_budget,
        )
        if step is NextStep.RETRY:
            progress.exclude(report)
        return step

    def _get_retry_share(self, service: str) -> RetryShare:
        if service not in self._retry_shares:
            self._retry_shares[service] = self._make_retry_share()
        retry_share = self._retry_shares[service]
        retry_share.instance_count = self._coordinator.count_known()
        return retry_share

    def _build_not_sent_refusal(
        self, progress: CallProgress
    ) -> GatewayRefusal:
        pause_ms = self._slot_requests.find_pause_ms(progress)
        if pause_ms is None:
            return GatewayRefusal(
                RefusalReason.NOT_SENT, gateway_refusal.DEFAULT_RETRY_AFTER_MS
            )
        return GatewayRefusal(
            RefusalReason.TARGETS_PAUSED,
            self._closed_targets.pauses.spread_return_ms(pause_ms),
        )

    def _refuse_unadmitted(
        self,
        request: IncomingRequest,
        reply: ReplyWriter,
        reason: RefusalReason,
    ) -> None:
        retry_after_ms = None
        if reason is RefusalReason.STOPPING:
            retry_after_ms = gateway_refusal.STOPPING_RETRY_AFTER_MS
        elif reason.status == 503:
            retry_after_ms = gateway_refusal.DEFAULT_RETRY_AFTER_MS
        self._call_log.record_not_admitted(request, reason)
        send_refusal(request, reply, GatewayRefusal(reason, retry_after_ms))
