"""Targets that ended under one carrier."""

from collections.abc import Iterator

from lagoonbend._internal.crashes.carrier_kind import CarrierKind
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence
from lagoonbend._internal.crashes.crash_verdict import CrashVerdict
from lagoonbend._internal.crashes.ended_lives import EndedLives
from lagoonbend._internal.crashes.moment import Moment

MOMENT_MS = 250
"""Time within which targets that end do so at one moment."""
SETTLE_MS = 2_000
"""Time after a carrier is limited in which targets still end under calls that
were sent before; all instances have the evidence within that time."""
FIRST_TRIAL_MS = 10_000
"""Time from the last end of a target to the first trial of a blocked call."""
TRIAL_FACTOR = 10
"""Factor by which that time grows with each target that ends later. Each
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

    Targets that end at one moment count each if most targets of the service
    that end then had a call with the carrier. Otherwise they count once: a
    rack that loses power says nothing of the calls there. One moment alone
    blocks nothing, but may limit the carrier to one call at a time, which
    either clears it or is the second moment.

    ``trial`` is the attempt that may be sent although the carrier is limited;
    empty if there is none.

    :param kind: how much evidence limits and blocks it.
    :param service: service of the targets.
    :param ended_lives: ends of targets under any call.
    """

    def __init__(
        self, kind: CarrierKind, service: str, ended_lives: EndedLives
    ) -> None:
        self.trial = ''
        self._kind = kind
        self._service = service
        self._ended_lives = ended_lives
        self._ends: dict[str, CrashEvidence] = {}
        self._verdict: CrashVerdict | None = None
        self._verdict_change_count = 0
        self._depends_on_others = False

    @property
    def crash_count(self) -> int:
        """Number of targets that have ended."""
        return len(self._ends)

    @property
    def is_limited(self) -> bool:
        """True if calls with the carrier may be sent as trials only."""
        return self._get_verdict().limited_since_ms is not None

    @property
    def is_blocked(self) -> bool:
        """True if trials are due at intervals only."""
        return self._get_verdict().is_blocked

    @property
    def moment_weights(self) -> tuple[int, ...]:
        """Number of ends that count at each moment."""
        return self._get_verdict().moment_weights

    @property
    def trial_due_ms(self) -> int:
        """Time from which one call with the carrier may be tried."""
        if not self.is_blocked:
            return self._last_ended_ms
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
        self._verdict = None
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
        self._verdict = None
        return True

    def list_ends(self) -> list[CrashEvidence]:
        """Return the evidence for each target that has ended."""
        return list(self._ends.values())

    @property
    def _last_ended_ms(self) -> int:
        return max((end.ended_ms for end in self._ends.values()), default=0)

    @property
    def _trial_interval_ms(self) -> int:
        limited_since_ms = self._get_verdict().limited_since_ms or 0
        exponent = sum(
            end.ended_ms > limited_since_ms + SETTLE_MS
            for end in self._ends.values()
        )
        return min(FIRST_TRIAL_MS * TRIAL_FACTOR**exponent, MAX_TRIAL_MS)

    def _get_verdict(self) -> CrashVerdict:
        """Return what follows from the evidence, computed after a change."""
        change_count = self._ended_lives.change_count
        if self._verdict is None or (
            self._depends_on_others
            and change_count != self._verdict_change_count
        ):
            moments = list(self._list_moments())
            self._depends_on_others = any(
                moment.end_count > 1 for moment in moments
            )
            self._verdict = CrashVerdict.from_moments(
                self._kind,
                [(moment.began_ms, self._weigh(moment)) for moment in moments],
            )
            self._verdict_change_count = change_count
        return self._verdict

    def _list_moments(self) -> Iterator[Moment]:
        """Yield the moments at which targets have ended, in their order."""
        began_ms: int | None = None
        end_count = 0
        ends = sorted(self._ends.values(), key=lambda end: end.ended_ms)
        for end in ends:
            if (
                began_ms is None
                or end.ended_ms >= began_ms + MOMENT_MS
                or self._is_sequel(end, began_ms)
            ):
                if began_ms is not None:
                    yield Moment(began_ms, end_count)
                began_ms = end.ended_ms
                end_count = 0
            end_count += 1
        if began_ms is not None:
            yield Moment(began_ms, end_count)

    def _weigh(self, moment: Moment) -> int:
        """Return the number of ends that count at a moment."""
        if moment.end_count == 1:
            return 1
        other_count = self._ended_lives.count_others(
            self._service,
            self._ends,
            moment.began_ms - MOMENT_MS,
            moment.began_ms + MOMENT_MS,
        )
        return moment.end_count if moment.end_count > other_count else 1

    def _is_sequel(self, end: CrashEvidence, before_ms: int) -> bool:
        """Return True if a call was sent after another target had ended."""
        return (
            self._kind.counts_sequences
            and end.run_ms is not None
            and end.ended_ms - end.run_ms >= before_ms
        )
