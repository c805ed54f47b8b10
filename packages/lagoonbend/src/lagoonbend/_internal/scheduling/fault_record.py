"""What answers tell of a target's health."""

FAULT_WEIGHT = 0.25
"""Part of the newest answer in the fault rate: four answers in a row tell
more than all before them."""
EJECT_RATE = 0.5
"""Fault rate above which a target is set aside: two faults in a row after a
sound time stay below it."""
EJECT_MS = 1_000
"""First time set aside; it doubles with each further one."""
LONGEST_EJECT_MS = 4_000
"""Longest time set aside, so that a mended target is back within seconds."""
UNREACHED_MS = 500
"""Time for which a domain gets no place at a target that it couldn't
reach; it doubles while that goes on."""


class FaultRecord:
    """Faults of one target, from the answers of all instances."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.ejected_until_ms = 0
        self.is_on_trial = False
        self._gone_until_ms = 0
        self._gone_ms = EJECT_MS
        self._eject_ms = EJECT_MS
        self._unreached: dict[str, tuple[int, int]] = {}

    def note_answer(self, is_fault: bool, now_ms: int) -> bool:
        """Note an answer; return True if the target is newly set aside."""
        sample = 1.0 if is_fault else 0.0
        self.rate += FAULT_WEIGHT * (sample - self.rate)
        if not is_fault:
            if self.rate < EJECT_RATE / 2:
                self._eject_ms = EJECT_MS
            return False
        if self.rate <= EJECT_RATE or now_ms < self.ejected_until_ms:
            return False
        self.ejected_until_ms = now_ms + self._eject_ms
        self._eject_ms = min(2 * self._eject_ms, LONGEST_EJECT_MS)
        self.rate = EJECT_RATE
        return True

    def note_gone(self, now_ms: int) -> None:
        """Note that the target doesn't live at its address any more.

        That holds for every domain. It is left out for a while, and then
        tried with one call at a time.
        """
        if now_ms < self._gone_until_ms:
            return
        self.is_on_trial = True
        self._gone_until_ms = now_ms + self._gone_ms
        self._gone_ms = min(2 * self._gone_ms, LONGEST_EJECT_MS)

    def is_gone(self, now_ms: int) -> bool:
        """Return True while the target is left out as gone."""
        return now_ms < self._gone_until_ms

    def note_unreached(self, failure_domain: str, now_ms: int) -> None:
        """Note that an instance of a domain could not connect."""
        _, span_ms = self._unreached.get(failure_domain, (0, UNREACHED_MS))
        until_ms = now_ms + span_ms
        longer_ms = min(2 * span_ms, LONGEST_EJECT_MS)
        self._unreached[failure_domain] = (until_ms, longer_ms)

    def note_reached(self, failure_domain: str) -> None:
        """Note that an instance of a domain has reached the target."""
        self._unreached.pop(failure_domain, None)
        self.is_on_trial = False
        self._gone_until_ms = 0
        self._gone_ms = EJECT_MS

    def is_unreached(self, failure_domain: str, now_ms: int) -> bool:
        """Return True while a domain should not try the target."""
        until_ms, _ = self._unreached.get(failure_domain, (0, 0))
        return now_ms < until_ms

    def is_unreached_anywhere(self, now_ms: int) -> bool:
        """Return True while some domain should not try the target."""
        return any(now_ms < end_ms for end_ms, _ in self._unreached.values())

    def is_ejected(self, now_ms: int) -> bool:
        """Return True while the target is set aside."""
        return now_ms < self.ejected_until_ms
