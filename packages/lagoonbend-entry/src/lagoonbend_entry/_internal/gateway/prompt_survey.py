"""Asks targets which prompts they have read, and what they have written."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from lagoonbend.clock import Clock
from lagoonbend.exceptions import NetworkError
from lagoonbend.facts import find_read_version
from lagoonbend.facts import KeptPrompts
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import weigh_kept_prompts
from lagoonbend.scheduling import PromptBlock
from lagoonbend_entry._internal.gateway import target_connection
from lagoonbend_entry._internal.gateway import target_error
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.platform.prompt_codec import decode_kept_blocks
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

ANSWER_TIMEOUT_MS = 200
"""Time for targets to answer; a round trip between failure domains takes about
3 ms, and callers wait for a refusal meanwhile."""
REUSE_MS = 1_000
"""Time for which the answers count for further calls. Callers take streams up
within seconds of a failure, and each list costs a target some work."""
MIN_INTERVAL_MS = 100
"""Time between two questions for calls that need answers of their own time."""
MAX_LIST_BYTES = 4 * 1024 * 1024
"""Limit on one answer; 550,000 tokens in blocks of 16 make about 1 MB."""
HTTP_OK = 200
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
        targets = self._facts.target_directory.list_registered(service)
        greenlets = [gevent.spawn(_ask, target) for target in targets]
        gevent.joinall(greenlets, ANSWER_TIMEOUT_MS / MILLISECONDS_PER_SECOND)
        all_kept = [
            greenlet.value
            if greenlet.successful()
            else KeptPrompts(target, None)
            for target, greenlet in zip(targets, greenlets, strict=True)
        ]
        gevent.killall(greenlets, block=False)
        return all_kept


def _name(kept: KeptPrompts) -> str:
    """Return the target and its version, for the log."""
    return f'{kept.target.target} {kept.target.software_version}'


def _ask(target: ListedTarget) -> KeptPrompts:
    """Return the tokens that a target keeps of each block.

    A leaving target that doesn't listen any more has ended. So has one if
    a later life of it, or a later target, answers at its address.
    """
    address = (target.ip, target.port)
    host = '{}:{}'.format(*address)
    request = target_connection.encode_request(
        'GET', names.KEPT_BLOCKS_PATH, [('Host', host)], b''
    )
    body = bytearray()
    try:
        # A kept connection may still bring answers to earlier calls.
        connection = target_connection.TargetConnection.connect(
            address, ANSWER_TIMEOUT_MS
        )
        try:
            connection.send(request, ANSWER_TIMEOUT_MS)
            answer = connection.read_head(ANSWER_TIMEOUT_MS)
            for chunk in connection.read_body(answer, ANSWER_TIMEOUT_MS):
                body += chunk
                if len(body) > MAX_LIST_BYTES:
                    raise target_error.BadAnswerError(
                        'list of blocks too large'
                    )
        finally:
            connection.close()
    except target_error.TargetAbsentError:
        if target.is_leaving:
            return KeptPrompts(target, {}, has_ended=True)
        return KeptPrompts(target, None)
    except NetworkError:
        return KeptPrompts(target, None)
    kept = (
        decode_kept_blocks(bytes(body)) if answer.status == HTTP_OK else None
    )
    if kept is None or kept.born_ms is None or target.born_ms is None:
        return KeptPrompts(target, None)
    if kept.born_ms > target.born_ms:
        return KeptPrompts(target, {}, has_ended=True)
    return KeptPrompts(target, kept.tokens_by_block)
