"""Asks targets which prompts they have read, and what they have written."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from lagoonbend.clock import Clock
from lagoonbend.facts import find_read_version
from lagoonbend.facts import KeptPrompts
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import weigh_kept_prompts
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.prompt_lists import read_kept_prompts
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

REUSE_MS = 1_000
"""Time for which the answers count for further calls. Callers take streams up
within seconds of a failure, and each list costs a target some work."""
MIN_INTERVAL_MS = 100
"""Time between two questions for calls that need answers of their own time."""
MILLISECONDS_PER_SECOND = 1000


class _Survey(NamedTuple):
    """A question to all targets of a service.

    :param started_ms: when they were asked.
    :param greenlet: returns the list of ``KeptPrompts``.
    """

    started_ms: int
    greenlet: gevent.Greenlet


class PromptSurvey:
    """Finds the software version at which a request ran, from its prompt.

    Targets remember what all instances may have forgotten: they keep the
    prompts of the requests that they run, and for a while those that ended.

    :param facts: target list as last read.
    :param clock: clock of the instance.
    :param binds_streams: returns True if all instances keep each stream at one
        version before its first event too, so that any reader of its prompt
        shows the version.
    """

    def __init__(
        self,
        facts: FactsCache,
        clock: Clock,
        binds_streams: Callable[[], bool],
    ) -> None:
        self._facts = facts
        self._clock = clock
        self._binds_streams = binds_streams
        self._surveys: dict[str, _Survey] = {}

    def find_version(self, service: str, block: PromptBlock) -> str | None:
        """Return the version at which the answer to a request began.

        :param block: last block of the prompt.
        :returns: None if it isn't certain.
        """
        asked_ms = self._clock.now_ms()
        all_kept = self._ask_targets(service, asked_ms - REUSE_MS + 1)
        version = find_read_version(all_kept, *block)
        is_bound = self._binds_streams()
        if version is not None and not is_bound:
            # The stream may have begun at another target since the answers.
            self._wait_for_turn(service, asked_ms)
            all_kept = self._ask_targets(service, asked_ms)
            version = weigh_kept_prompts(
                all_kept,
                *block,
                lambda readers: self._may_have_lost(
                    service, readers, all_kept
                ),
            )
        log_event(
            Event.PROMPT_SEARCHED,
            service=service,
            block=block.block_id,
            tokens=block.tokens,
            software=version,
            is_bound=is_bound,
            took_ms=self._clock.now_ms() - asked_ms,
            asked=len(all_kept),
            kept=[
                f'{_name(kept)} {kept.count_tokens(block.block_id)}'
                for kept in all_kept
                if kept.count_tokens(block.block_id)
            ],
            silent=[
                _name(kept)
                for kept in all_kept
                if kept.tokens_by_block is None
            ],
            ended=[_name(kept) for kept in all_kept if kept.has_ended],
        )
        return version

    def _may_have_lost(
        self,
        service: str,
        readers: list[ListedTarget],
        all_kept: list[KeptPrompts],
    ) -> bool:
        """Return True if a target of another version may have ended lately.

        :param all_kept: what the targets have told that were listed then.
        """
        asked = [kept.target for kept in all_kept]
        return (
            not self._facts.confirm()
            or self._facts.target_directory.list_registered(service) != asked
            or self._facts.may_have_lost(service, readers)
        )

    def _wait_for_turn(self, service: str, since_ms: int) -> None:
        """Wait until targets may be asked again, unless they just were.

        :param since_ms: time from which on they must have been asked.
        """
        started_ms = self._surveys[service].started_ms
        left_ms = started_ms + MIN_INTERVAL_MS - self._clock.now_ms()
        if started_ms < since_ms and left_ms > 0:
            gevent.sleep(left_ms / MILLISECONDS_PER_SECOND)

    def _ask_targets(self, service: str, since_ms: int) -> list[KeptPrompts]:
        """Return what all targets keep; ask them unless they were lately.

        :param since_ms: time from which on they must have been asked.
        """
        survey = self._surveys.get(service)
        if survey is None or survey.started_ms < since_ms:
            # Goes on if the caller that needs it first leaves.
            survey = _Survey(
                self._clock.now_ms(), gevent.spawn(self._ask_all, service)
            )
            self._surveys[service] = survey
        all_kept: list[KeptPrompts] = survey.greenlet.get()
        return all_kept

    def _ask_all(self, service: str) -> list[KeptPrompts]:
        return read_kept_prompts(
            self._facts.target_directory.list_registered(service)
        )


def _name(kept: KeptPrompts) -> str:
    """Return the target and its version, for the log."""
    return f'{kept.target.target} {kept.target.software_version}'
