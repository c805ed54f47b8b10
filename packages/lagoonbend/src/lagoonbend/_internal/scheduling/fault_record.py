"""Health of a target, derived from the outcomes of calls."""

FAULT_WEIGHT = 0.25
"""Weight of the newest answer in the fault rate: the last four answers
weigh more than all earlier ones together."""
EJECT_FAULT_RATE = 0.5
"""Fault rate above which a target is ejected. Two faults in a row at a
target that was healthy before stay below it."""
INITIAL_EJECT_MS = 1_000
"""Duration of the first ejection; it doubles with each further one."""
MAX_EJECT_MS = 4_000
"""Longest ejection, so that a repaired target is used again within seconds."""
INITIAL_UNREACHABLE_MS = 500
"""Time for which the instances of a failure domain avoid a target after
they failed to connect; it doubles with each further failure."""


class FaultRecord:
    """Faults of one target, reported by all instances.

    A target can be unavailable for three reasons: it is ejected because of
    faults, it is absent (no longer at its address, which holds for every
    failure domain), or it can't be reached from one failure domain.
    """

    def __init__(self) -> None:
        self.fault_rate = 0.0
        self.ejected_until_ms = 0
        self.is_on_probation = False
        self._absent_until_ms = 0
        self._next_absent_ms = INITIAL_EJECT_MS
        self._next_eject_ms = INITIAL_EJECT_MS
        self._unreachable_until: dict[str, tuple[int, int]] = {}

    def record_answer(self, is_fault: bool, now_ms: int) -> bool:
        """Record an answer; return True if it causes an ejection."""
        sample = 1.0 if is_fault else 0.0
        self.fault_rate += FAULT_WEIGHT * (sample - self.fault_rate)
        if not is_fault:
            if self.fault_rate < EJECT_FAULT_RATE / 2:
                self._next_eject_ms = INITIAL_EJECT_MS
            return False
        if (
            self.fault_rate <= EJECT_FAULT_RATE
            or now_ms < self.ejected_until_ms
        ):
            return False
        self.ejected_until_ms = now_ms + self._next_eject_ms
        self._next_eject_ms = min(2 * self._next_eject_ms, MAX_EJECT_MS)
        self.fault_rate = EJECT_FAULT_RATE
        return True

    def record_absent(self, now_ms: int) -> None:
        """Record that the target is no longer at its address.

        That holds for every failure domain. The target gets no calls for a
        while, and is then on probation: it gets one call at a time until an
        instance reaches it.
        """
        if now_ms < self._absent_until_ms:
            return
        self.is_on_probation = True
        self._absent_until_ms = now_ms + self._next_absent_ms
        self._next_absent_ms = min(2 * self._next_absent_ms, MAX_EJECT_MS)

    def is_absent(self, now_ms: int) -> bool:
        """Return True while the target gets no calls because it is absent."""
        return now_ms < self._absent_until_ms

    def record_unreachable(self, failure_domain: str, now_ms: int) -> None:
        """Record that an instance of a failure domain could not connect."""
        _, span_ms = self._unreachable_until.get(
            failure_domain, (0, INITIAL_UNREACHABLE_MS)
        )
        until_ms = now_ms + span_ms
        longer_ms = min(2 * span_ms, MAX_EJECT_MS)
        self._unreachable_until[failure_domain] = (until_ms, longer_ms)

    def record_reachable(self, failure_domain: str) -> None:
        """Record that an instance of a failure domain reached the target."""
        self._unreachable_until.pop(failure_domain, None)
        self.is_on_probation = False
        self._absent_until_ms = 0
        self._next_absent_ms = INITIAL_EJECT_MS

    def is_unreachable_from(self, failure_domain: str, now_ms: int) -> bool:
        """Return True while a failure domain should avoid the target."""
        until_ms, _ = self._unreachable_until.get(failure_domain, (0, 0))
        return now_ms < until_ms

    def is_unreachable_from_any(self, now_ms: int) -> bool:
        """Return True while any failure domain should avoid the target."""
        return any(
            now_ms < end_ms for end_ms, _ in self._unreachable_until.values()
        )

    def is_ejected(self, now_ms: int) -> bool:
        """Return True while the target is ejected because of faults."""
        return now_ms < self.ejected_until_ms
