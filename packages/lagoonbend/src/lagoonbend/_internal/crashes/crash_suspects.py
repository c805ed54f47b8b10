"""Decides which blocks of prompts, and which requests, end targets."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend._internal.crashes.blocked_call import BlockedCall
from lagoonbend._internal.crashes.carrier_kind import find_kind
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence
from lagoonbend._internal.crashes.crash_suspect import CrashSuspect
from lagoonbend._internal.crashes.ended_lives import EndedLives
from lagoonbend._internal.crashes.sound_carrier import SoundCarrier
from lagoonbend._internal.utils.clock import Clock

REPEAT_LIMIT = 2
"""Ends of targets from which on a call that was there isn't repeated."""
MAX_SUSPECTS = 1_024
MAX_SOUND_CARRIERS = 8_192
"""Bounds on the memory, about 2 MB. The users' calls have up to six carriers;
an instance of the target size begins 3.3 answers a second."""

CarrierKey = tuple[str, str]


class CrashSuspects:
    """Evidence against what calls have in common, by service.

    A carrier is a block of a prompt or a whole request, which comes again. It
    is blocked once targets have ended at several moments, each while a call
    with it waited for its answer, and no answer to any call with it has begun.
    What a culprit has in common with sound calls is cleared by them. One call
    at a time is tried later, at growing intervals. Many ends at one moment
    limit a carrier to one call at a time, without an interval.

    All instances that have the same evidence decide the same.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[CarrierKey, CrashSuspect] = {}
        self._begun_ms: dict[CarrierKey, int] = {}
        self._ended_lives = EndedLives()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crashes(
        self, evidence: Iterable[CrashEvidence]
    ) -> tuple[list[CrashEvidence], list[SoundCarrier]]:
        """Add evidence; return what was new, and what is known to be sound."""
        added: list[CrashEvidence] = []
        sound: list[SoundCarrier] = []
        for item in evidence:
            self._ended_lives.record(item.service, item.life, item.ended_ms)
            key = (item.service, item.carrier)
            kind = find_kind(item.carrier)
            begun_ms = self._begun_ms.get(key)
            if (
                begun_ms is not None
                and item.ended_ms - begun_ms <= kind.sound_ms
            ):
                sound.append(SoundCarrier(*key, begun_ms))
                continue
            suspect = self._suspects.pop(key, None)
            if suspect is None:
                suspect = CrashSuspect(kind, item.service, self._ended_lives)
            self._suspects[key] = suspect
            if suspect.add(item):
                added.append(item)
        self._expire()
        return added, sound

    def record_sound(
        self, sound: Iterable[SoundCarrier]
    ) -> list[SoundCarrier]:
        """Clear carriers; return those against which there was evidence."""
        cleared: list[SoundCarrier] = []
        for item in sound:
            key = (item.service, item.carrier)
            known_ms = self._begun_ms.pop(key, item.begun_ms)
            self._begun_ms[key] = max(known_ms, item.begun_ms)
            if self._suspects.pop(key, None) is not None:
                cleared.append(item)
        while len(self._begun_ms) > MAX_SOUND_CARRIERS:
            del self._begun_ms[next(iter(self._begun_ms))]
        return cleared

    def record_answered(self, service: str, life: str, sent_ms: int) -> bool:
        """Drop the end of a target that has answered a request since.

        Links of the instance that took it for ended may have been cut.

        :param life: the target and its start.
        :param sent_ms: when the request was sent, on this instance's clock.
        :returns: False if there is no evidence that the target has ended.
        """
        has_changed = False
        for key, suspect in list(self._suspects.items()):
            if key[0] == service and suspect.remove(life, sent_ms):
                has_changed = True
                if not suspect.crash_count:
                    del self._suspects[key]
        if has_changed:
            self._ended_lives.forget(service, life)
        return has_changed

    def check_carriers(
        self,
        service: str,
        carriers: Iterable[str],
        attempt: str,
        *,
        may_try: bool,
    ) -> BlockedCall | None:
        """Return why a call must not be sent; None if it may.

        A call that may be sent as a trial is the only one until
        ``end_trials``.

        :param attempt: identity of the call.
        :param may_try: True if this instance grants the trials of the
            carriers.
        """
        now_ms = self._clock.now_ms()
        trials: list[CrashSuspect] = []
        for carrier in carriers:
            suspect = self._find(service, carrier)
            if suspect is None or not suspect.is_limited:
                continue
            is_trial = may_try and attempt and suspect.trial in ('', attempt)
            if now_ms < suspect.trial_due_ms or not is_trial:
                left_ms = max(0, suspect.trial_due_ms - now_ms)
                return BlockedCall(carrier, suspect.crash_count, left_ms)
            trials.append(suspect)
        for suspect in trials:
            suspect.trial = attempt
        return None

    def end_trials(self, attempt: str) -> None:
        """End the trials that a call was, if any."""
        for suspect in self._suspects.values():
            if suspect.trial == attempt:
                suspect.trial = ''

    def has_evidence(self, service: str, carriers: Iterable[str]) -> bool:
        """Return True if a target has ended under one of these carriers."""
        return any(self._find(service, carrier) for carrier in carriers)

    def may_repeat(self, service: str, carriers: Iterable[str]) -> bool:
        """Return True if a call whose target ended may go to another one."""
        counts = (
            suspect.crash_count
            for carrier in carriers
            if (suspect := self._find(service, carrier))
        )
        return max(counts, default=0) < REPEAT_LIMIT

    def is_limited(self, service: str, carrier: str) -> bool:
        """Return True if calls with a carrier may be sent as trials only."""
        suspect = self._find(service, carrier)
        return suspect is not None and suspect.is_limited

    def is_blocked(self, service: str, carrier: str) -> bool:
        """Return True if trials of a carrier are due at intervals only."""
        suspect = self._find(service, carrier)
        return suspect is not None and suspect.is_blocked

    def list_moment_weights(
        self, service: str, carrier: str
    ) -> tuple[int, ...]:
        """Return how many ends count against a carrier at each moment."""
        suspect = self._find(service, carrier)
        return suspect.moment_weights if suspect else ()

    def list_lives(self, service: str, carrier: str) -> list[str]:
        """Return the targets that have ended under a carrier."""
        suspect = self._find(service, carrier)
        return suspect.lives if suspect else []

    def count_blocked(self) -> int:
        """Return the number of carriers that are blocked."""
        now_ms = self._clock.now_ms()
        return sum(
            suspect.is_blocked and now_ms < suspect.expires_ms
            for suspect in self._suspects.values()
        )

    def list_evidence(self) -> Iterator[CrashEvidence]:
        """Yield all evidence."""
        for suspect in self._suspects.values():
            yield from suspect.list_ends()

    def _find(self, service: str, carrier: str) -> CrashSuspect | None:
        suspect = self._suspects.get((service, carrier))
        if suspect is None or suspect.expires_ms <= self._clock.now_ms():
            return None
        return suspect

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        self._suspects = {
            key: suspect
            for key, suspect in self._suspects.items()
            if suspect.expires_ms > now_ms
        }
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess > 0:
            # The oldest first, and what is limited last.
            in_order = sorted(
                self._suspects, key=lambda key: self._suspects[key].is_limited
            )
            for key in in_order[:excess]:
                del self._suspects[key]
