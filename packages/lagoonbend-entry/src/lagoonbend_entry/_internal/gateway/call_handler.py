"""Serves a caller's request from receipt to the final answer."""

from collections.abc import Callable
import contextlib
from typing import NamedTuple

import gevent
import msgspec

from lagoonbend.clock import Clock
from lagoonbend.exceptions import CallerGoneError
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
from lagoonbend_entry._internal.gateway.admission import Admission
from lagoonbend_entry._internal.gateway.admission import count_cost_units
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.attempt import Attempt
from lagoonbend_entry._internal.gateway.attempt import list_relayed
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.stream_position import StreamPosition
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.platform import refusal_headers
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event
from lagoonbend_entry._internal.utils.guarded_loop import log_failure

DEFAULT_RETRY_MS = 1_000
"""When to come back where nothing better is known."""
LEAST_ATTEMPT_MS = 50
"""Time below which another attempt can't bring an answer."""

PLACE_ENDS = {
    AttemptOutcome.WHOLE_ANSWER: SlotOutcome.ANSWERED,
    AttemptOutcome.ERROR_ANSWER: SlotOutcome.TARGET_ERROR,
    AttemptOutcome.TURNED_AWAY: SlotOutcome.TURNED_AWAY,
    AttemptOutcome.WRONG_TARGET: SlotOutcome.UNSUITED,
    AttemptOutcome.NOT_CONNECTED: SlotOutcome.NOT_REACHED,
    AttemptOutcome.RESET: SlotOutcome.BAD_ANSWER,
    AttemptOutcome.BAD_ANSWER: SlotOutcome.BAD_ANSWER,
    AttemptOutcome.SILENT: SlotOutcome.SILENT,
    AttemptOutcome.BROKEN_STREAM: SlotOutcome.BAD_ANSWER,
}
DENIALS = {
    Denial.OVER_LIMIT: RefusalReason.OVER_LIMIT,
    Denial.OVERLOADED: RefusalReason.OVERLOADED,
    Denial.NO_TIME_LEFT: RefusalReason.NO_TIME_LEFT,
    Denial.NO_TARGET: RefusalReason.NO_TARGET,
}


class TimeUpError(Exception):
    """The route's time-out or the caller's deadline has come."""


class Progress:
    """What has become of a call so far.

    :param call: the call.
    """

    def __init__(self, call: AdmittedCall) -> None:
        self.call = call
        self.position = StreamPosition()
        self.trail: list[str] = []
        self.excluded: list[str] = []
        self.pool = ''
        self.sends = 0
        self.runs = 0
        self.may_have_run = False
        self.waited_ms = 0
        self.first_ms = 0


class Refused(NamedTuple):
    """An answer of the instance's own.

    :param reason: why.
    :param retry_after_ms: when to come back; None if that is no use.
    """

    reason: RefusalReason
    retry_after_ms: int | None = None


class CallHandler:
    """Admits calls, gets places for them and carries them out.

    :param facts: rules and targets.
    :param admission: applies the rules.
    :param coordinator: gets places.
    :param pool: kept connections to targets.
    :param clock: clock of the instance.
    :param make_retry_share: returns the retry budget of a service.
    :param instance: own address for peers, and own failure domain.
    :param rank_order: order of customers' and routes' ranks.
    :param metrics: counters of calls.
    """

    def __init__(
        self,
        facts: FactsCache,
        admission: Admission,
        coordinator: Coordinator,
        pool: ConnectionPool,
        clock: Clock,
        make_retry_share: Callable[[], RetryShare],
        instance: tuple[str, str],
        rank_order: RankOrder,
        metrics: GatewayMetrics,
    ) -> None:
        self._facts = facts
        self._admission = admission
        self._coordinator = coordinator
        self._pool = pool
        self._clock = clock
        self._make_retry_share = make_retry_share
        self._rank_order = rank_order
        self._metrics = metrics
        self._address, self._failure_domain = instance
        self._retry_shares: dict[str, RetryShare] = {}
        self._sequence = 0
        self.active_count = 0

    def serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        """Answer a request; the reply is whole, or the caller has left."""
        self.active_count += 1
        try:
            self._serve(request, reply)
        except Exception as error:
            log_failure('call', error)
            if not reply.has_begun:
                refused = Refused(RefusalReason.INTERNAL)
                self._send_refusal(request, reply, refused)
        finally:
            self.active_count -= 1

    def _serve(self, request: IncomingRequest, reply: ReplyWriter) -> None:
        admitted = self._admission.admit(request)
        if isinstance(admitted, RefusalReason):
            self._refuse_unadmitted(request, reply, admitted)
            return
        progress = Progress(admitted)
        left_ms = admitted.ends_ms - self._clock.now_ms()
        timer = gevent.Timeout.start_new(max(1, left_ms) / 1000, TimeUpError())
        refused: Refused | None = None
        outcome = 'answered'
        try:
            refused = self._run(progress, reply)
        except TimeUpError:
            refused = self._refuse_late(progress)
        except CallerGoneError:
            outcome = 'caller_left'
            return
        finally:
            timer.close()
            if refused is not None:
                outcome = refused.reason.label
            if refused is not None and not reply.has_begun:
                self._refuse(progress, reply, refused)
            elif refused is not None:
                outcome = 'stream_broken'
            self._log_end(progress, outcome, refused)

    def _run(self, progress: Progress, reply: ReplyWriter) -> Refused | None:
        """Try targets until there is an answer or a reason for none."""
        call = progress.call
        share = self._find_retry_share(call.service)
        share.record_request()
        while True:
            request = self._write_place_request(progress)
            wait_ms = max(1, call.ends_ms - self._clock.now_ms())
            decision = self._coordinator.acquire(
                request, call.customer, wait_ms
            )
            progress.pool = decision.pool
            progress.waited_ms += decision.waited_ms
            if decision.denial is not None:
                return self._explain_denial(progress, decision)
            report = self._attempt(progress, reply, request, decision)
            step = self._decide(progress, reply, report, share)
            if step is NextStep.RELAY:
                self._relay(reply, report)
                return None
            if step is NextStep.BREAK_STREAM:
                return Refused(RefusalReason.MAY_HAVE_RUN)
            if self._clock.now_ms() + LEAST_ATTEMPT_MS >= call.ends_ms:
                return self._refuse_late(progress)
            if step is NextStep.FAIL_MAY_HAVE_RUN:
                return Refused(RefusalReason.MAY_HAVE_RUN, DEFAULT_RETRY_MS)
            if step is NextStep.REFUSE_NOT_RUN:
                return Refused(RefusalReason.NOT_SENT, DEFAULT_RETRY_MS)

    def _attempt(
        self,
        progress: Progress,
        reply: ReplyWriter,
        request: SlotRequest,
        decision: SlotDecision,
    ) -> AttemptReport:
        target = self._facts.target_directory.find(decision.target)
        end = SlotOutcome.CALLER_LEFT
        first_ms = 0
        attempt: Attempt | None = None
        try:
            if target is None or target.service != progress.call.service:
                end = SlotOutcome.GONE
                return AttemptReport(
                    AttemptOutcome.NOT_CONNECTED,
                    target=decision.target,
                    detail='target not listed here',
                    is_gone=True,
                )
            attempt = Attempt(
                progress.call,
                target,
                decision.expected_ms,
                progress.position,
                reply,
                self._pool,
                self._clock,
            )
            report = attempt.run()._replace(target=decision.target)
            end = PLACE_ENDS[report.end]
            if report.is_gone:
                end = SlotOutcome.GONE
            first_ms = report.first_ms
            return report
        finally:
            if attempt is not None and attempt.is_sent:
                progress.sends += 1
                progress.trail.append(f'{decision.target}:{end.value}')
                if not end.is_not_run:
                    progress.runs += 1
                    progress.may_have_run = True
            progress.first_ms = progress.first_ms or first_ms
            self._coordinator.release(request, decision.target, end, first_ms)

    def _decide(
        self,
        progress: Progress,
        reply: ReplyWriter,
        report: AttemptReport,
        share: RetryShare,
    ) -> NextStep:
        call = progress.call
        if report.end is AttemptOutcome.WHOLE_ANSWER:
            return NextStep.RELAY
        left_ms = call.ends_ms - self._clock.now_ms()
        facts = RetryContext(
            report.end,
            call.route.may_repeat,
            reply.has_begun,
            progress.may_have_run,
            call.route.attempt_limit - progress.runs,
            left_ms >= LEAST_ATTEMPT_MS,
            True,
        )
        step = decide_next_step(facts)
        if step is NextStep.RETRY and progress.sends and not share.spend():
            facts = facts._replace(has_budget=False)
            step = decide_next_step(facts)
        log_event(
            Event.ATTEMPT_FAILED,
            request=call.headers.attempt,
            service=call.service,
            target=report.target,
            end=report.end.label,
            verdict=report.end.verdict.value,
            detail=report.detail,
            first_ms=report.first_ms,
            left_ms=left_ms,
            has_budget=facts.has_budget,
            next=step.value,
        )
        if step is NextStep.RETRY:
            progress.excluded.append(report.target)
        return step

    @staticmethod
    def _relay(reply: ReplyWriter, report: AttemptReport) -> None:
        if report.answer is None:
            return
        reply.send_whole(
            report.answer.status,
            report.answer.reason,
            list_relayed(report.answer),
            report.body,
        )

    def _write_place_request(self, progress: Progress) -> SlotRequest:
        call = progress.call
        self._sequence += 1
        now_ms = self._clock.now_ms()
        customer = call.customer
        output_tokens = call.headers.output_tokens
        if call.headers.likely_tokens:
            output_tokens = min(output_tokens, 2 * call.headers.likely_tokens)
        return SlotRequest(
            call=f'{call.headers.attempt}/{self._sequence}',
            instance=self._address,
            failure_domain=self._failure_domain,
            pool=self._coordinator.pools.choose(
                call.service, call.headers.prompt
            ),
            rank=self._rank_order(
                customer.rank if customer else None, call.route.rank
            ),
            route_rank=call.route.rank,
            customer=customer.name if customer else '',
            cost_units=(
                0.0
                if progress.sends
                else count_cost_units(customer, call.headers)
            ),
            waited_ms=now_ms - call.request.received_ms,
            objective_ms=call.route.objective_ms,
            deadline_ms=call.ends_ms - call.request.received_ms,
            prompt=call.headers.prompt,
            output_tokens=output_tokens,
            body_bytes=len(call.request.body),
            excluded=tuple(progress.excluded),
        )

    def _find_retry_share(self, service: str) -> RetryShare:
        share = self._retry_shares.get(service)
        if share is None:
            share = self._make_retry_share()
            self._retry_shares[service] = share
        share.instance_count = self._coordinator.count_known()
        return share

    @staticmethod
    def _explain_denial(progress: Progress, decision: SlotDecision) -> Refused:
        if progress.may_have_run:
            return Refused(RefusalReason.MAY_HAVE_RUN, DEFAULT_RETRY_MS)
        denial = decision.denial or Denial.NO_TARGET
        return Refused(DENIALS[denial], decision.retry_after_ms)

    @staticmethod
    def _refuse_late(progress: Progress) -> Refused:
        if progress.may_have_run:
            return Refused(RefusalReason.TIME_UP)
        return Refused(RefusalReason.NO_TIME_LEFT, DEFAULT_RETRY_MS)

    def _refuse_unadmitted(
        self,
        request: IncomingRequest,
        reply: ReplyWriter,
        reason: RefusalReason,
    ) -> None:
        retry_after_ms = DEFAULT_RETRY_MS if reason.status == 503 else None
        self._metrics.count_call('', reason.label, 0, 0)
        log_event(
            Event.CALL_NOT_ADMITTED,
            request=call_headers.decode_call_headers(
                request.header_map
            ).attempt,
            reason=reason.label,
            path=request.path[:80],
            version=self._facts.version,
            fact_age_ms=self._facts.age_ms(),
        )
        self._send_refusal(request, reply, Refused(reason, retry_after_ms))

    def _refuse(
        self, progress: Progress, reply: ReplyWriter, refused: Refused
    ) -> None:
        with contextlib.suppress(CallerGoneError):
            self._send_refusal(progress.call.request, reply, refused)

    @staticmethod
    def _send_refusal(
        request: IncomingRequest, reply: ReplyWriter, refused: Refused
    ) -> None:
        reason = refused.reason
        headers = refusal_headers.encode_refusal_headers(
            request.header_map, refused.retry_after_ms
        )
        body = msgspec.json.encode({'reason': reason.label})
        reply.send_whole(reason.status, b'', headers, body)

    def _log_end(
        self, progress: Progress, outcome: str, refused: Refused | None
    ) -> None:
        call = progress.call
        total_ms = self._clock.now_ms() - call.request.received_ms
        self._metrics.count_call(
            call.route.name, outcome, progress.first_ms, total_ms
        )
        for step in progress.trail:
            target, _, end = step.rpartition(':')
            self._metrics.count_attempt(target, end)
        log_event(
            Event.CALL_ENDED,
            request=call.headers.attempt,
            outcome=outcome,
            route=call.route.name,
            service=call.service,
            level=call.route.rank,
            customer=call.customer.name if call.customer else '',
            pool=progress.pool,
            targets=progress.trail,
            last_event=progress.position.last_id or '',
            waited_ms=progress.waited_ms,
            first_ms=progress.first_ms,
            total_ms=total_ms,
            objective_ms=call.route.objective_ms,
            retry_after_ms=refused.retry_after_ms if refused else None,
            version=call.version,
            fact_age_ms=call.fact_age_ms,
        )
