"""Relays whole answers of targets to callers."""

from lagoonbend_entry._internal.gateway import gateway_refusal
from lagoonbend_entry._internal.gateway.attempt import list_relayed_headers
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.gateway_refusal import GatewayRefusal
from lagoonbend_entry._internal.gateway.refusal_reason import RefusalReason
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter
from lagoonbend_entry._internal.models import promises


def relay_answer(
    progress: CallProgress, reply: ReplyWriter, report: AttemptReport
) -> GatewayRefusal | None:
    """Relay an answer, unless it promises what isn't so.

    A target may have run a call and fail with a status that tells the caller
    to repeat it. If the call must not run twice, the caller gets a failure of
    the instance in its place, as an answer of a target keeps its status.

    :returns: that failure; None if the answer was relayed, or there is none.
    """
    answer = report.answer
    if answer is None:
        return None
    if (
        promises.promises_not_run(answer.status)
        and progress.may_have_run
        and not progress.call.route.may_repeat
    ):
        progress.failure = f'status {answer.status} of a call that has run'
        return GatewayRefusal(
            RefusalReason.MAY_HAVE_RUN, gateway_refusal.DEFAULT_RETRY_AFTER_MS
        )
    progress.status = answer.status
    reply.send_answer(
        answer.status,
        answer.reason,
        list_relayed_headers(answer),
        report.body,
        may_repeat=progress.call.route.may_repeat,
    )
    return None
