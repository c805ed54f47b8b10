"""Log lines and metrics of calls."""

from lagoonbend.clock import Clock
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.call_identity import fingerprint_call
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.gateway_metrics import GatewayMetrics
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.incoming_request import IncomingRequest
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event


class CallLog:
    """Records attempts and ends of calls.

    :param facts: configuration and target list as last read.
    :param clock: clock of the instance.
    :param metrics: metrics of calls and attempts.
    """

    def __init__(
        self, facts: FactsCache, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        self._facts = facts
        self._clock = clock
        self._metrics = metrics

    def record_not_admitted(
        self, request: IncomingRequest, reason: RefusalReason
    ) -> None:
        """Record a request that the rules in force do not admit."""
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

    def record_attempt(
        self,
        progress: CallProgress,
        report: AttemptReport,
        next_step: str,
        *,
        has_budget: bool = True,
    ) -> None:
        """Log an attempt that gave no complete answer, and what follows."""
        call = progress.call
        log_event(
            Event.ATTEMPT_FAILED,
            request=call.headers.attempt,
            service=call.service,
            target=report.target,
            software=self._find_version(report.target),
            end=report.outcome.label,
            verdict=report.outcome.verdict.value,
            detail=report.detail,
            status=report.status,
            first_ms=report.first_byte_ms,
            has_answered=report.has_answered,
            blocks=[block.block_id for block in call.headers.shared_prompt],
            fingerprint=fingerprint_call(call),
            left_ms=call.expires_at_ms - self._clock.now_ms(),
            has_budget=has_budget,
            next=next_step,
            version=call.version,
            fact_age_ms=self._facts.age_ms(),
            revision=self._facts.item_cache.complete_revision,
        )

    def record_unanswered(self, progress: CallProgress, cause: str) -> None:
        """Record a call that was read and got no complete answer."""
        call = progress.call
        self._metrics.count_unanswered(cause.partition(':')[0])
        log_event(
            Event.CALL_UNANSWERED,
            request=call.headers.attempt,
            cause=cause,
            route=call.route.name,
            service=call.service,
            targets=progress.attempt_history,
            last_event=progress.position.last_id or '',
            total_ms=self._clock.now_ms() - call.request.received_ms,
            left_ms=call.expires_at_ms - self._clock.now_ms(),
            version=self._facts.version,
        )

    def record_end(
        self,
        progress: CallProgress,
        outcome: str,
        refusal: GatewayRefusal | None,
    ) -> None:
        """Record a call that got its final answer."""
        call = progress.call
        total_ms = self._clock.now_ms() - call.request.received_ms
        self._metrics.count_call(
            call.route.name, outcome, progress.first_byte_ms, total_ms
        )
        for step in progress.attempt_history:
            target, _, slot_outcome = step.rpartition(':')
            self._metrics.count_attempt(target, slot_outcome)
        log_event(
            Event.CALL_ENDED,
            request=call.headers.attempt,
            outcome=outcome,
            status=refusal.reason.status if refusal else progress.status,
            route=call.route.name,
            service=call.service,
            level=call.route.rank,
            customer=call.customer.name if call.customer else '',
            pool=progress.pool,
            targets=progress.attempt_history,
            software=progress.versions,
            peers=progress.peers,
            continues=call.headers.continued_attempt,
            bound_to=progress.binding.version if progress.binding else None,
            last_event=progress.position.last_id or '',
            waited_ms=progress.waited_ms,
            waited_before_ms=call.waited_before_ms,
            first_ms=progress.first_byte_ms,
            total_ms=total_ms,
            objective_ms=call.route.objective_ms,
            retry_after_ms=refusal.retry_after_ms if refusal else None,
            version=call.version,
            fact_age_ms=call.fact_age_ms,
            end_version=self._facts.version,
            end_fact_age_ms=self._facts.age_ms(),
            revision=self._facts.item_cache.complete_revision,
        )

    def _find_version(self, name: str) -> str:
        target = self._facts.target_directory.find(name)
        return (target.software_version if target else None) or ''
