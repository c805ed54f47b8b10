"""Checks whether a slot that was granted may still be used."""

from typing import NamedTuple

from lagoonbend.facts import ListedTarget
from lagoonbend.outcomes import AttemptOutcome
from lagoonbend.scheduling import SlotOutcome
from lagoonbend_entry._internal.gateway import crash_guard
from lagoonbend_entry._internal.gateway.attempt_report import AttemptReport
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache


class UnusableGrant(NamedTuple):
    """Why a slot isn't used.

    :param slot_outcome: what the instance that granted it is told.
    :param report: the attempt that isn't made.
    """

    slot_outcome: SlotOutcome
    report: AttemptReport


class GrantCheck:
    """Compares a granted slot with what this instance knows itself.

    :param facts: target list as last read.
    :param closed_targets: targets that get no requests.
    :param guard: calls that are not sent, since targets end under them.
    """

    def __init__(
        self,
        facts: FactsCache,
        closed_targets: ClosedTargets,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self._facts = facts
        self._closed_targets = closed_targets
        self._crash_guard = guard

    def is_listed(self, target: ListedTarget) -> bool:
        """Return True if a target may still receive calls at its address."""
        listed = self._facts.target_directory.find(target.target)
        return listed is not None and (listed.ip, listed.port) == (
            target.ip,
            target.port,
        )

    def check(
        self, progress: CallProgress, name: str
    ) -> ListedTarget | UnusableGrant:
        """Return the target of a granted slot, or why it isn't used.

        :param name: identity of the target.
        """
        directory = self._facts.target_directory
        target = directory.find(name)
        if target is None and directory.is_evacuated(name):
            # The instance that granted the slot has not heard of it yet.
            return UnusableGrant(
                SlotOutcome.UNSUITED,
                AttemptReport(
                    AttemptOutcome.WRONG_TARGET,
                    target=name,
                    detail='failure domain of the target is evacuated',
                ),
            )
        if target is None or target.service != progress.call.service:
            # Of two instances, either can have the newer list.
            is_gone = directory.has_listed(name)
            return UnusableGrant(
                SlotOutcome.GONE if is_gone else SlotOutcome.UNSUITED,
                AttemptReport(
                    AttemptOutcome.NOT_CONNECTED,
                    target=name,
                    detail='target not listed for the service',
                    is_target_absent=True,
                ),
            )
        report = AttemptReport(AttemptOutcome.WRONG_TARGET, target=name)
        if progress.binding and not progress.binding.allows(target):
            report = report._replace(
                detail='target has another software version'
            )
        elif self._closed_targets.is_closed(target):
            # The slot was granted before the target said so.
            report = report._replace(
                detail='target takes no requests', is_target_closed=True
            )
        elif self._crash_guard.check(progress.call) is not None:
            # It has been blocked since the slot was requested.
            report = report._replace(detail='call blocked')
        else:
            return target
        return UnusableGrant(SlotOutcome.UNSUITED, report)
