"""Records the limits that targets name in their answers."""

from collections.abc import Callable

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimit
from lagoonbend.facts import NamedLimits
from lagoonbend_entry._internal.platform.answer_headers import AnswerHeaders
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

LOG_INTERVAL_MS = 10_000
"""Minimum time between two log lines on values that are not used."""


class LimitRecorder:
    """Turns the headers of answers into statements of their targets.

    :param limits: newest statement of each target.
    :param clock: clock of the instance.
    :param report: called with the pool of the target and each statement.
    """

    def __init__(
        self,
        limits: NamedLimits,
        clock: Clock,
        report: Callable[[str, NamedLimit], None],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._report = report
        self._unused_logged_ms: int | None = None

    def record(
        self,
        pool: str,
        target: ListedTarget,
        headers: AnswerHeaders,
        sent_ms: int,
        is_own: bool,
    ) -> None:
        """Record what an answer says of a limit, or that it names none.

        :param pool: pool in which the target was chosen.
        :param target: target as listed when the request was sent.
        :param sent_ms: time at which the request was sent.
        :param is_own: False for an answer to an earlier request, which doesn't
            tell that a limit has ended.
        """
        rate_per_s = headers.request_limit_per_s
        if headers.is_wrong_target:
            return
        if headers.unused_request_limit:
            self._log_unused(target, headers.unused_request_limit)
            return
        rejections_per_s = headers.rejection_limit_per_s
        is_sound = rate_per_s is None and rejections_per_s is None
        if is_sound and (not is_own or not self._limits):
            return
        stated_ms = sent_ms if is_sound else self._clock.now_ms()
        before_per_s = self._limits.find_rate_per_s(target)
        was_brittle = self._limits.is_brittle(target)
        limit = NamedLimit(target, rate_per_s, stated_ms, rejections_per_s)
        if not self._limits.record(limit):
            return
        after_per_s = self._limits.find_rate_per_s(target)
        is_brittle = self._limits.is_brittle(target)
        if after_per_s != before_per_s or is_brittle != was_brittle:
            log_event(
                Event.TARGET_LIMITED,
                target=target.target,
                service=target.service,
                address=f'{target.ip}:{target.port}',
                rate_per_s=rate_per_s,
                before_per_s=before_per_s,
                rejections_per_s=rejections_per_s,
            )
        self._report(pool, limit)

    def _log_unused(self, target: ListedTarget, value: str) -> None:
        now_ms = self._clock.now_ms()
        logged_ms = self._unused_logged_ms
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._unused_logged_ms = now_ms
        log_event(
            Event.LIMIT_NOT_USED,
            target=target.target,
            service=target.service,
            value=value,
        )
