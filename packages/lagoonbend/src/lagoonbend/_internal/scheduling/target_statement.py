"""The load that a target states in its answers, with its age."""

from lagoonbend._internal.scheduling.stated_load import StatedLoad

VALID_MS = 1_000
"""Age at which a statement counts no longer. Until then it counts linearly
less; neighbours slow a target for about 600 ms at a time."""
MIN_REJECTED_MS = 1_000
MAX_REJECTED_MS = 16_000
"""Time without further calls after the target rejected one as full: at first
as long as a statement from before may count, and twice as long if it rejects
another one when further calls are allowed again."""
MIN_WORK_FACTOR = 0.5
MAX_WORK_FACTOR = 5.0
"""Range of the stated factor on the time of work. The neighbours in the users'
deployments cause 2.5; a target that states more is mistaken."""
SLOWED_FACTOR = 1.5
"""Factor from which silence is put down to the slowdown, not to a fault."""
MAX_STEP = 2
"""Calls by which one answer may raise the number under way. A target that can
take twice its slots gets them within half a round of answers."""
SHARE_LEARNING_RATE = 0.05
"""Weight of the newest answer in the share of the time that a call spends at
the target: about as many answers as a target gives in 0.1 s at full use."""
WORK_LEARNING_RATE = 0.1
"""Weight of the newest answer in the part of the time to the first byte that
the stated factor changes."""
MIN_FACTOR_CHANGE = 0.25
"""Difference of a factor from 1 from which an answer tells how much of its
time the factor changes; below, other differences between answers hide it."""


class TargetStatement:
    """The newest statement of a target on its load.

    A slot is in use from the grant until the release has arrived, while the
    call is at the target for a shorter time. By Little's law, the mean number
    of calls at the target is to the mean number of slots in use as these two
    times are. Both numbers are known whenever an answer states the load. They
    are compared only while all slots are in use, so that the calls at the
    target are limited by nothing else.
    """

    def __init__(self) -> None:
        self._stated_ms: int | None = None
        self._running = 0
        self._waiting = 0
        self._used_slots = 0
        self._work_factor = 1.0
        self._rejected_until_ms = 0
        self._rejected_span_ms = MIN_REJECTED_MS
        self._at_target = 1.0
        self._in_use = 1.0
        self._work_share = 1.0

    def record(
        self, stated: StatedLoad, slots: int, used_slots: int, now_ms: int
    ) -> None:
        """Record a statement, unless a newer one is known.

        :param slots: slots of the target by its registration, which bounds
            what it states.
        :param used_slots: slots in use, with that of the answered call.
        """
        stated_ms = now_ms - max(0, stated.age_ms)
        if self._stated_ms is not None and stated_ms < self._stated_ms:
            return
        self._stated_ms = stated_ms
        self._running = min(max(stated.running, 0), slots)
        self._waiting = min(max(stated.waiting, 0), slots)
        self._used_slots = used_slots
        self._work_factor = bound_work_factor(stated.work_percent)
        if used_slots < slots or now_ms - stated_ms >= VALID_MS:
            return
        # The answered call was at the target itself.
        at_target = min(max(1, self._running + self._waiting), used_slots)
        self._at_target += SHARE_LEARNING_RATE * (at_target - self._at_target)
        self._in_use += SHARE_LEARNING_RATE * (used_slots - self._in_use)

    def record_rejection(self, now_ms: int) -> None:
        """Record that the target rejected a call as full."""
        if now_ms < self._rejected_until_ms:
            return
        span_ms = self._rejected_span_ms
        is_repeated = now_ms - self._rejected_until_ms < span_ms
        longer_ms = min(2 * span_ms, MAX_REJECTED_MS)
        self._rejected_span_ms = longer_ms if is_repeated else MIN_REJECTED_MS
        self._rejected_until_ms = now_ms + self._rejected_span_ms

    def count_further_calls(self, slots: int, now_ms: int) -> int:
        """Return the calls that may be under way beside one for each slot.

        Each answer lets few calls more follow than the one that it answers.
        If many followed at once, they would arrive at once and wait.

        :param slots: slots of the target.
        :returns: from 0 to ``slots``; 0 unless the target states that no call
            waits there.
        """
        weight = self._find_weight(now_ms)
        if not weight or self._waiting or now_ms < self._rejected_until_ms:
            return 0
        further = slots * (self._in_use / self._at_target - 1.0)
        step = self._used_slots + MAX_STEP - slots
        return max(0, min(round(weight * further), step, slots))

    def find_work_multiple(self, now_ms: int) -> float:
        """Return the multiple of the usual time that an answer takes now."""
        if self._work_factor == 1.0:
            return 1.0
        change = self._find_weight(now_ms) * (self._work_factor - 1.0)
        return 1.0 + self._work_share * change

    def find_answer_multiple(self, work_factor: float) -> float:
        """Return the same for an answer with a stated factor."""
        return 1.0 + self._work_share * (work_factor - 1.0)

    def learn_work_share(self, multiple: float, work_factor: float) -> None:
        """Learn how much of the time of an answer its factor has changed.

        The time in transit stays the same when a neighbour slows the target.

        :param multiple: time of the answer over the usual one.
        :param work_factor: stated factor; at least ``MIN_FACTOR_CHANGE`` from
            1.
        """
        share = (multiple - 1.0) / (work_factor - 1.0)
        change = min(max(share, 0.0), 1.0) - self._work_share
        self._work_share += WORK_LEARNING_RATE * change

    def is_slowed(self, now_ms: int) -> bool:
        """Return True while the target states that it is slowed down."""
        return (
            self._work_factor >= SLOWED_FACTOR
            and self._find_weight(now_ms) > 0.0
        )

    def describe(self, now_ms: int) -> str:
        """Return the statement for logs; empty if none counts."""
        if not self._find_weight(now_ms):
            return ''
        text = f' states {self._running}+{self._waiting}'
        if self._work_factor != 1.0:
            text += f' {self._work_factor:.0%}'
        return text

    def _find_weight(self, now_ms: int) -> float:
        """Return how much the statement counts: 1 when new, 0 when old."""
        if self._stated_ms is None:
            return 0.0
        return max(0.0, 1.0 - (now_ms - self._stated_ms) / VALID_MS)


def bound_work_factor(work_percent: int) -> float:
    """Return the factor on the time of work; 1 if none is stated."""
    if work_percent <= 0:
        return 1.0
    return min(max(work_percent / 100, MIN_WORK_FACTOR), MAX_WORK_FACTOR)
