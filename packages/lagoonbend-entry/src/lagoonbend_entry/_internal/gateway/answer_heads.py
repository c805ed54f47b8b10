"""What the heads of an attempt's answers say about its target."""

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend.scheduling import StatedLoad
from lagoonbend_entry._internal.gateway.limit_recorder import LimitRecorder
from lagoonbend_entry._internal.platform.answer_headers import AnswerHeaders


class AnswerHeads:
    """Records the limit that each head names, and keeps the stated load.

    :param pool: pool in which the target was chosen.
    :param limits: records the limits that targets name.
    :param clock: clock of the instance.
    """

    def __init__(self, pool: str, limits: LimitRecorder, clock: Clock) -> None:
        self._pool = pool
        self._limits = limits
        self._clock = clock
        self._load: StatedLoad | None = None
        self._arrived_ms = 0

    def record(
        self,
        target: ListedTarget,
        headers: AnswerHeaders,
        sent_ms: int,
        is_own: bool,
    ) -> None:
        """Record a head.

        :param sent_ms: time at which the request was sent.
        :param is_own: False for an answer to an earlier request, whose load
            is of an unknown time.
        """
        self._limits.record(self._pool, target, headers, sent_ms, is_own)
        if is_own and headers.load and not headers.is_wrong_target:
            running, waiting, _, *work_percent = headers.load
            self._load = StatedLoad(running, waiting, *work_percent)
            self._arrived_ms = self._clock.now_ms()

    def find_load(self) -> StatedLoad | None:
        """Return the stated load with its age; None if none was stated."""
        if self._load is None:
            return None
        age_ms = self._clock.now_ms() - self._arrived_ms
        return self._load._replace(age_ms=age_ms)
