"""Targets that ended under one block of prompts."""

from lagoonbend._internal.crashes.crash_evidence import CrashEvidence

BLOCKING_MOMENT_COUNT = 4
"""Separate moments at which targets must have ended: one less than the users'
rules allow. Fewer would block rare prompts beside a target that flaps."""
MOMENT_MS = 250
"""Targets that end within this time count once, since whatever ran there was
in it: a rack that loses power says nothing of a prompt."""
FIRST_TRIAL_MS = 10_000
"""Time from the last end of a target to the first trial of a blocked prompt.
It doubles with each further target that ends."""
MAX_TRIAL_MS = 300_000
"""Longest such time, within which a repaired service accepts the prompt."""
SUSPICION_MS = 60_000
"""Time for which evidence is kept that doesn't block."""
BLOCK_MS = 2 * MAX_TRIAL_MS
"""Time for which a block stays blocked if no trial takes place, since no call
with it reaches the instance that grants them."""
MAX_LIVES = 32
"""Targets remembered per block; the interval of the trials is at its maximum
from eight on."""


class SuspectBlock:
    """Evidence against a block, and the trials of it.

    ``trial`` is the attempt that may be sent although the block is blocked;
    empty if there is none.
    """

    def __init__(self) -> None:
        self.trial = ''
        self._ended_ms: dict[str, int] = {}

    @property
    def crash_count(self) -> int:
        """Number of targets that have ended."""
        return len(self._ended_ms)

    @property
    def is_blocked(self) -> bool:
        """True if targets have ended at enough separate moments."""
        return self._count_moments() >= BLOCKING_MOMENT_COUNT

    @property
    def trial_due_ms(self) -> int:
        """Time from which one call with the block may be tried."""
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
        return list(self._ended_ms)

    def add(self, evidence: CrashEvidence) -> bool:
        """Add the end of a target; return False if it was known."""
        if evidence.life in self._ended_ms or len(self._ended_ms) >= MAX_LIVES:
            return False
        self._ended_ms[evidence.life] = evidence.ended_ms
        return True

    def list_ends(self) -> list[tuple[str, int]]:
        """Return each target that has ended, and when."""
        return list(self._ended_ms.items())

    @property
    def _last_ended_ms(self) -> int:
        return max(self._ended_ms.values(), default=0)

    @property
    def _trial_interval_ms(self) -> int:
        doublings = max(0, self.crash_count - BLOCKING_MOMENT_COUNT)
        return min(FIRST_TRIAL_MS * 2**doublings, MAX_TRIAL_MS)

    def _count_moments(self) -> int:
        count = 0
        moment_end_ms: int | None = None
        for ended_ms in sorted(self._ended_ms.values()):
            if moment_end_ms is None or ended_ms >= moment_end_ms:
                count += 1
                moment_end_ms = ended_ms + MOMENT_MS
        return count
