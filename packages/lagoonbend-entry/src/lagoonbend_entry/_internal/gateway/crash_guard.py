"""Keeps calls under which targets end from being sent to others."""

from collections.abc import Callable

from lagoonbend.crashes import BlockedCall
from lagoonbend.crashes import CrashEvidence
from lagoonbend.crashes import name_request
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.coordination import crash_exchange
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.call_identity import fingerprint_call
from lagoonbend_entry._internal.gateway.lost_call import LostCall

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
"""Range of the time after which the caller of a blocked call is asked to
retry. A call that is cleared earlier is accepted at once."""


class CrashGuard:
    """Applies the evidence against calls to those of this instance.

    :param exchange: evidence of this instance and of its peers.
    :param grants_trials: returns True if this instance grants the trials of a
        carrier, of which there is one at a time in all instances within reach.
    """

    def __init__(
        self,
        exchange: crash_exchange.CrashExchange,
        grants_trials: Callable[[str], bool],
    ) -> None:
        self._exchange = exchange
        self._grants_trials = grants_trials

    def check(self, call: AdmittedCall) -> BlockedCall | None:
        """Return why a call must not be sent to a target; None if it may."""
        suspects = self._exchange.suspects
        if not suspects:
            return None
        carriers = list_carriers(call)
        return suspects.check_carriers(
            call.service,
            carriers,
            call.headers.attempt,
            may_try=all(
                self._grants_trials(carrier)
                for carrier in carriers
                if suspects.is_limited(call.service, carrier)
            ),
        )

    def end_trials(self, call: AdmittedCall) -> None:
        """Note that a call has ended, which may have been a trial."""
        self._exchange.suspects.end_trials(call.headers.attempt)

    def record_begun(
        self, call: AdmittedCall, target: ListedTarget, sent_ms: int
    ) -> None:
        """Record that a target has begun an answer to a call.

        :param sent_ms: when the call was sent to it.
        """
        self._exchange.record_begun(call.service, list_carriers(call))
        if self._exchange.suspects:
            self._exchange.record_answered(
                target.service, name_life(target), sent_ms
            )

    def record_ended(
        self, target: ListedTarget, calls: list[LostCall]
    ) -> None:
        """Record that a target has ended while calls waited for answers."""
        run_ms: dict[str, int] = {}
        for call in calls:
            for carrier in (*call.blocks, name_request(call.fingerprint)):
                call_run_ms = call.lost_ms - call.sent_ms
                run_ms[carrier] = min(
                    run_ms.get(carrier, call_run_ms), call_run_ms
                )
        ended_ms = min(call.lost_ms for call in calls)
        self._exchange.record_crashes(
            CrashEvidence(
                target.service,
                carrier,
                name_life(target),
                ended_ms,
                run_ms[carrier],
            )
            for carrier in sorted(run_ms)
        )

    def is_suspect(self, call: AdmittedCall) -> bool:
        """Return True if a target has ended under a carrier of a call."""
        return self._exchange.suspects.has_evidence(
            call.service, list_carriers(call)
        )

    def may_repeat(self, call: AdmittedCall) -> bool:
        """Return True if a call whose target ended may go to another one."""
        return self._exchange.suspects.may_repeat(
            call.service, list_carriers(call)
        )


def name_life(target: ListedTarget) -> str:
    """Return the name of a target and its start."""
    return f'{target.target}@{target.born_ms}'


def list_carriers(call: AdmittedCall) -> tuple[str, ...]:
    """Return what other calls may have in common with a call.

    These are the blocks of its prompt without the last, and the request.
    """
    blocks = (block.block_id for block in call.headers.shared_prompt)
    return (*blocks, name_request(fingerprint_call(call)))


def find_retry_after_ms(blocked: BlockedCall) -> int:
    """Return the time after which a caller may retry."""
    return min(max(blocked.left_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
