"""Reports the limits that targets have named to the deciders of their pools.

The limit is one for all instances, and only the decider sees the calls of all.
An instance that has not been told by the target doesn't need to know it.
"""

from collections.abc import Callable
from collections.abc import Iterable

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NamedLimit
from lagoonbend.facts import NamedLimits
from lagoonbend_entry._internal.coordination import messages

REPEAT_MS = 1_000
"""Time after which a limit that hasn't changed is reported again, so that the
decider knows that it still holds."""
FORGET_MS = 60_000
"""Time after which a report isn't repeated to a new decider."""


class LimitReports:
    """What this instance has reported, and to which decider.

    :param clock: clock of the instance.
    :param reads_reports: returns True if a peer understands the message.
    :param send: sends a message to a peer; returns False if it can't.
    """

    def __init__(
        self,
        clock: Clock,
        reads_reports: Callable[[str], bool],
        send: Callable[[str, messages.Message], bool],
    ) -> None:
        self._clock = clock
        self._reads_reports = reads_reports
        self._send = send
        self._newest: dict[tuple[str, str], NamedLimit] = {}
        self._sent: dict[tuple[str, str], NamedLimit] = {}

    def report(self, pool: str, decider: str, limit: NamedLimit) -> None:
        """Report a statement unless it says nothing new."""
        key = (pool, limit.target.target)
        self._newest[key] = limit
        sent = self._sent.get(key)
        if (
            sent is None
            or sent.rate_per_s != limit.rate_per_s
            or sent.rejection_limit_per_s != limit.rejection_limit_per_s
            or limit.stated_ms - sent.stated_ms >= REPEAT_MS
        ):
            self._report([(key, limit)], decider)

    def report_all(self, pool: str, decider: str) -> None:
        """Report all statements of a pool to a decider that may know none."""
        now_ms = self._clock.now_ms()
        self._newest = {
            key: limit
            for key, limit in self._newest.items()
            if now_ms - limit.stated_ms < FORGET_MS
        }
        known = [item for item in self._newest.items() if item[0][0] == pool]
        if known:
            self._report(known, decider)

    def _report(
        self,
        limits: Iterable[tuple[tuple[str, str], NamedLimit]],
        decider: str,
    ) -> None:
        items = list(limits)
        now_ms = self._clock.now_ms()
        message = messages.LimitReport(
            [encode_limit(limit, now_ms) for _, limit in items]
        )
        if self._reads_reports(decider) and self._send(decider, message):
            self._sent.update(items)


def encode_limit(limit: NamedLimit, now_ms: int) -> messages.WireLimit:
    """Return a statement as it is sent."""
    target = limit.target
    return messages.WireLimit(
        target.target,
        target.ip,
        target.port,
        target.born_ms,
        limit.rate_per_s,
        now_ms - limit.stated_ms,
        limit.rejection_limit_per_s,
    )


def record_report(
    limits: NamedLimits, message: messages.LimitReport, now_ms: int
) -> None:
    """Record the statements that a peer has reported."""
    for item in message.limits:
        # Only the identity and the life of the target matter here.
        target = ListedTarget(
            target=item.target,
            service='',
            ip=item.ip,
            port=item.port,
            failure_domain='',
            slots=0,
            is_leaving=False,
            born_ms=item.born_ms,
        )
        limits.record(
            NamedLimit(
                target,
                item.rate_per_s,
                now_ms - item.age_ms,
                item.rejection_limit_per_s,
            )
        )
