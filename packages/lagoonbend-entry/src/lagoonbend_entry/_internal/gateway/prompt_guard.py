"""Keeps prompts under which targets end from being sent to others."""

from collections.abc import Callable

from lagoonbend.crashes import BlockedPrompt
from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.coordination import crash_exchange
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.lost_call import LostCall

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
"""Range of the time after which the caller of a blocked prompt is asked to
retry. A prompt that is cleared earlier is accepted at once."""


class PromptGuard:
    """Applies the evidence against prompts to the calls of this instance.

    :param exchange: evidence of this instance and of its peers.
    :param grants_trials: returns True if this instance grants the trials of a
        block, of which there is one at a time in all instances within reach.
    """

    def __init__(
        self,
        exchange: crash_exchange.CrashExchange,
        grants_trials: Callable[[str], bool],
    ) -> None:
        self._exchange = exchange
        self._grants_trials = grants_trials

    def check(self, call: AdmittedCall) -> BlockedPrompt | None:
        """Return why a call must not be sent to a target; None if it may."""
        suspects = self._exchange.suspects
        if not suspects:
            return None
        blocks = list_blocks(call)
        return suspects.check_blocks(
            call.service,
            blocks,
            call.headers.attempt,
            may_try=all(
                self._grants_trials(block)
                for block in blocks
                if suspects.is_blocked(call.service, block)
            ),
        )

    def end_trials(self, call: AdmittedCall) -> None:
        """Note that a call has ended, which may have been a trial."""
        self._exchange.suspects.end_trials(call.headers.attempt)

    def record_begun(self, call: AdmittedCall) -> None:
        """Record that a target has begun an answer to a call."""
        self._exchange.record_begun(call.service, list_blocks(call))

    def record_ended(
        self, target: ListedTarget, calls: list[LostCall]
    ) -> None:
        """Record that a target has ended while calls waited for answers."""
        self._exchange.record_crash(
            target.service,
            f'{target.target}@{target.born_ms}',
            sorted({block for call in calls for block in call.blocks}),
        )

    def is_suspect(self, call: AdmittedCall) -> bool:
        """Return True if a target has ended under a block of a call."""
        return self._exchange.suspects.has_evidence(
            call.service, list_blocks(call)
        )

    def may_repeat(self, call: AdmittedCall) -> bool:
        """Return True if a call whose target ended may go to another one."""
        return self._exchange.suspects.may_repeat(
            call.service, list_blocks(call)
        )


def list_blocks(call: AdmittedCall) -> tuple[str, ...]:
    """Return the blocks of a prompt that other calls may have too."""
    return tuple(block.block_id for block in call.headers.shared_prompt)


def find_retry_after_ms(blocked: BlockedPrompt) -> int:
    """Return the time after which a caller may retry."""
    return min(max(blocked.left_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
