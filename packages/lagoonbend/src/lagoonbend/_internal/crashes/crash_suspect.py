"""Targets that ended under one carrier."""

from lagoonbend._internal.crashes.carrier_kind import CarrierKind
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence

MOMENT_MS = 250
"""Targets that end within this time count once, since whatever ran there was
in it: a rack that loses power says nothing of a call."""
FIRST_TRIAL_MS = 10_000
"""Time from the last end of a target to the first trial of a blocked call."""
TRIAL_FACTOR = 10
"""Factor by which that time grows with each further target that ends. Each
trial costs a target: the users' rules allow three in all, and each side of a
network partition grants its own."""
MAX_TRIAL_MS = 3_600_000
"""Longest such time."""
SUSPICION_MS = 60_000
"""Time for which evidence is kept that doesn't block."""
BLOCK_MS = 2 * MAX_TRIAL_MS
"""Time for which a carrier stays blocked if no trial takes place, since no
call with it reaches the instance that grants them."""
MAX_REVIVAL_MS = 1_000
"""Time after the end of a target in which an answer shows that it has not
ended. Later, it may have started again, which takes some seconds."""
MAX_LIVES = 32
"""Targets remembered per carrier; the interval of the trials is at its maximum
long before."""


class CrashSuspect:
    """Evidence against a carrier, and the trials of it.

    ``trial`` is the attempt that may be sent although the carrier is blocked;
    empty if there is none.

    :param kind: how much evidence blocks it.
    """

    def __init__(self, kind: CarrierKind) -> None:
        self.trial = ''
        self._kind = kind
        self._ends: dict[str, CrashEvidence] = {}

    @property
    def crash_count(self) -> int:
        """Number of targets that have ended."""
        return len(self._ends)

    @property
    def is_blocked(self) -> bool:
        """True if targets have ended at enough separate moments."""
        moment_count = self._count_moments()
        repeat_count = self._kind.repeat_count
        if repeat_count is not None and self.crash_count >= repeat_count:
            return moment_count >= self._kind.repeat_moment_count
        return moment_count >= self._kind.moment_count

    @property
    def trial_due_ms(self) -> int:
        """Time from which one call with the carrier may be tried."""
        return self._last_ended_ms + self._trial_interval_ms

    @property
    def expires_ms(self) -> int:
        """Time from which the evidence is too old."""
        return self._last_ended_ms + (
            BLOCK_MS if self.is_blocked else SUSPICION_MS
        )

    @property
    def lives(self) -> list[str]:
        """The targets that have ended, and their starts."""
        return list(self._ends)

    def add(self, evidence: CrashEvidence) -> bool:
        """Add the end of a target; return False if it was known."""
        if evidence.life in self._ends or len(self._ends) >= MAX_LIVES:
            return False
        self._ends[evidence.life] = evidence
        return True

    def remove(self, life: str, sent_ms: int) -> bool:
        """Remove the end of a target that has answered a later request.

        :param sent_ms: when that request was sent.
        :returns: False if there is no such end.
        """
        end = self._ends.get(life)
        if end is None or not 0 < sent_ms - end.ended_ms <= MAX_REVIVAL_MS:
            return False
        del self._ends[life]
        return True

    def list_ends(self) -> list[CrashEvidence]:
        """Return the evidence for each target that has ended."""
        return list(self._ends.values())

    @property
    def _last_ended_ms(self) -> int:
        return max((end.ended_ms for end in self._ends.values()), default=0)

    @property
    def _trial_interval_ms(self) -> int:
        exponent = max(0, self.crash_count - self._kind.moment_count)
        return min(FIRST_TRIAL_MS * TRIAL_FACTOR**exponent, MAX_TRIAL_MS)

    def _count_moments(self) -> int:
        count = 0
        began_ms: int | None = None
        ends = sorted(self._ends.values(), key=lambda end: end.ended_ms)
        for end in ends:
            if (
                began_ms is None
                or end.ended_ms >= began_ms + MOMENT_MS
                or self._is_sequel(end, began_ms)
            ):
                count += 1
                began_ms = end.ended_ms
        return count

    def _is_sequel(self, end: CrashEvidence, before_ms: int) -> bool:
        """Return True if a call was sent after another target had ended."""
        return (
            self._kind.counts_sequences
            and end.run_ms is not None
            and end.ended_ms - end.run_ms >= before_ms
        )
