"""Lets peers run the calls whose targets this instance doesn't reach."""

from collections.abc import Callable
from collections.abc import Mapping
import functools

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import VersionBinding
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.outcomes import RetryShare
from lagoonbend_entry._internal.coordination.heartbeat import Heartbeat
from lagoonbend_entry._internal.gateway import gateway_refusal
from lagoonbend_entry._internal.gateway import refusal_body
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.answer import Answer
from lagoonbend_entry._internal.gateway.answer_relay import relay_answer
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.body_memory import BodyMemory
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.connection_pool import ConnectionPool
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.handover_peers import HandoverPeers
from lagoonbend_entry._internal.gateway.handover_result import HandoverResult
from lagoonbend_entry._internal.gateway.open_attempt import OpenAttempt
from lagoonbend_entry._internal.gateway.peer_attempt import PeerAttempt
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.gateway.successor_search import SuccessorSearch
from lagoonbend_entry._internal.models import handover_mark
from lagoonbend_entry._internal.models import promises
from lagoonbend_entry._internal.platform import answer_headers
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

ANSWERED = (AttemptOutcome.WHOLE_ANSWER, AttemptOutcome.ERROR_ANSWER)
"""Outcomes with an answer to relay, or one that has been relayed."""
MAY_HAVE_RUN = HandoverResult(
    is_final=True,
    refusal=GatewayRefusal(
        RefusalReason.MAY_HAVE_RUN, gateway_refusal.DEFAULT_RETRY_AFTER_MS
    ),
)


class Handover:
    """Hands calls over to peers that reach the targets.

    :param peers: chooses the peers to ask.
    :param connection_pool: open connections, those to peers among them.
    :param closed_targets: targets that get no requests.
    :param clock: clock of the instance.
    :param body_memory: memory of the instance for buffered bodies.
    :param find_target: returns a target as listed now.
    :param record_origin: records the software version that begins a stream.
    :param bind_lost: binds a call that a peer may have sent to the version of
        the target.
    """

    def __init__(
        self,
        peers: HandoverPeers,
        connection_pool: ConnectionPool,
        closed_targets: ClosedTargets,
        clock: Clock,
        body_memory: BodyMemory,
        find_target: Callable[[str], ListedTarget | None] = lambda name: None,
        record_origin: Callable[[AdmittedCall, str], None] = (
            lambda call, version: None
        ),
        bind_lost: Callable[[CallProgress], None] = lambda progress: None,
    ) -> None:
        self._peers = peers
        self._connection_pool = connection_pool
        self._closed_targets = closed_targets
        self._clock = clock
        self._body_memory = body_memory
        self._find_target = find_target
        self._record_origin = record_origin
        self._bind_lost = bind_lost

    def serve(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        retry_share: RetryShare,
    ) -> HandoverResult:
        """Let a peer run a call and relay its answer.

        A call that is lost on the way may have run. It is handed over again
        only if it may be repeated, within the retry budget.
        """
        route = progress.call.route
        while True:
            report = self._run(progress, reply)
            if report is None:
                return HandoverResult(is_final=False)
            progress.has_paid_retry = False
            progress.failure = f'{report.outcome.label}: {report.detail}'
            if report.outcome in ANSWERED:
                return self._relay(progress, reply, report)
            progress.run_count += 1
            if (
                not route.may_repeat
                or progress.run_count >= route.attempt_limit
                or not retry_share.spend()
            ):
                return MAY_HAVE_RUN
            if not reply.has_begun:
                self._bind_lost(progress)

    @staticmethod
    def _relay(
        progress: CallProgress, reply: ReplyWriter, report: AttemptReport
    ) -> HandoverResult:
        """Relay an answer, unless it is a stream that has been relayed.

        A refusal of the peer says that the call hasn't run there, which is no
        answer to one that may have run before. Nor is any complete answer to
        a caller who has a part of a stream.
        """
        progress.first_byte_ms = report.first_byte_ms
        answer = report.answer
        if answer is None:
            return HandoverResult(is_final=True)
        is_refusal = _is_unrun_refusal(report)
        if reply.has_begun or (is_refusal and progress.may_have_run):
            return MAY_HAVE_RUN
        return HandoverResult(
            is_final=True, refusal=relay_answer(progress, reply, report)
        )

    def _run(
        self, progress: CallProgress, reply: ReplyWriter
    ) -> AttemptReport | None:
        """Let a peer run a call, and relay a stream that it answers with.

        :returns: the result; None if no peer accepts the call.
        """
        service = progress.call.service
        for peer in self._peers.choose(service):
            report: AttemptReport | None = None
            try:
                report = self._run_at(peer, progress, reply)
            finally:
                self._log(progress, peer, report)
            if _is_handed_back(report):
                self._peers.record_handed_back(peer.address, service)
            elif report.outcome is not AttemptOutcome.NOT_CONNECTED:
                return report
        return None

    def _log(
        self,
        progress: CallProgress,
        peer: Heartbeat,
        report: AttemptReport | None,
    ) -> None:
        """Log what became of a call at a peer.

        :param report: None if the call was interrupted.
        """
        end = 'interrupted'
        if report is not None:
            is_handed_back = _is_handed_back(report)
            end = 'handed_back' if is_handed_back else report.outcome.label
        progress.peers.append(f'{peer.address}:{end}')
        binding = progress.binding
        log_event(
            Event.CALL_HANDED_OVER,
            request=progress.call.headers.attempt,
            service=progress.call.service,
            peer=peer.address,
            failure_domain=peer.failure_domain,
            end=end,
            detail=report.detail if report else '',
            status=report.status if report else None,
            bound_to=binding.version if binding else None,
            first_ms=report.first_byte_ms if report else 0,
            peer_age_ms=self._clock.now_ms() - peer.last_seen_ms,
        )

    def _record_leaving(
        self, service: str, header_map: Mapping[str, str]
    ) -> None:
        """Send nothing more to a target whose answer says that it leaves.

        The target may be listed here later, or used again after an
        evacuation.
        """
        life = handover_mark.find_life(header_map)
        if life is None:
            return
        name, born_ms = life
        target = self._find_target(name)
        if target is None or target.born_ms != born_ms:
            target = ListedTarget(
                name, service, '', 0, '', 0, True, born_ms=born_ms
            )
        if self._closed_targets.record_leaving(target):
            self._connection_pool.close_idle((target.ip, target.port))

    def _record_begun(
        self, call: AdmittedCall, reply: ReplyWriter, attempt: PeerAttempt
    ) -> None:
        """Record the version that a peer names; an earlier one names none."""
        if not reply.has_begun and attempt.software_version is not None:
            self._record_origin(call, attempt.software_version)

    def _run_at(
        self, peer: Heartbeat, progress: CallProgress, reply: ReplyWriter
    ) -> AttemptReport:
        ip, _, port = peer.callers_endpoint.rpartition(':')
        had_begun = reply.has_begun
        binding = progress.binding
        search: SuccessorSearch[OpenAttempt] = SuccessorSearch(
            lambda: None, lambda unused: None
        )
        attempt: PeerAttempt = PeerAttempt(
            progress.call,
            ListedTarget(
                peer.address,
                progress.call.service,
                ip,
                int(port),
                peer.failure_domain,
                0,
                False,
            ),
            0,
            progress.position,
            reply,
            self._connection_pool,
            self._closed_targets,
            self._clock,
            search,
            self._body_memory,
            progress.sends,
            lambda: self._record_begun(progress.call, reply, attempt),
            on_leaving=functools.partial(
                self._record_leaving, progress.call.service
            ),
            bound_version=binding.version if binding else None,
        )
        try:
            report = attempt.run()
            progress.sends.close(attempt, report.outcome)
            if _is_unrun_refusal(report):
                progress.sends.rule_out(attempt)
            return report
        finally:
            search.cancel()
            if attempt.is_sent:
                progress.send_count += 1
            if reply.has_begun and not had_begun:
                progress.binding = VersionBinding(attempt.software_version)


def _is_handed_back(report: AttemptReport) -> bool:
    """Return True if a peer has not run a call, but another one may."""
    answer = report.answer
    return (
        answer is not None
        and handover_mark.is_handed_back(answer.header_map)
        and not _is_signed(answer)
    )


def _is_unrun_refusal(report: AttemptReport) -> bool:
    """Return True if the peer refuses a call that it has not run.

    The status alone doesn't show it: peers of earlier versions pass on that of
    a target, which need not have signed its answer.
    """
    answer = report.answer
    if answer is None or not promises.is_unrun_refusal(
        answer.status, is_signed=_is_signed(answer)
    ):
        return False
    reason = refusal_body.decode_refusal_body(report.body)
    is_own = reason is not None and reason.status == answer.status
    return is_own or _is_handed_back(report)


def _is_signed(answer: Answer) -> bool:
    return answer_headers.decode_answer_headers(
        answer.status, answer.header_map
    ).is_signed
