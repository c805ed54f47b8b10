"""Decides which blocks of prompts end the targets that answer them."""

from collections.abc import Iterable
from collections.abc import Iterator

from lagoonbend._internal.crashes.blocked_prompt import BlockedPrompt
from lagoonbend._internal.crashes.crash_evidence import CrashEvidence
from lagoonbend._internal.crashes.sound_block import SoundBlock
from lagoonbend._internal.crashes.suspect_block import SuspectBlock
from lagoonbend._internal.utils.clock import Clock

SOUND_MS = 30_000
"""Time for which an answer that has begun clears its blocks. A shorter one
would let a target that flaps block prompts that are rarely sent."""
REPEAT_LIMIT = 2
"""Ends of targets from which on a call that was there isn't repeated."""
MAX_SUSPECTS = 1_024
MAX_SOUND_BLOCKS = 8_192
"""Bounds on the memory, about 2 MB. The users' calls have up to five blocks;
an instance of the target size begins 3.3 answers a second."""

BlockKey = tuple[str, str]


class PromptSuspects:
    """Evidence against blocks of prompts, by service.

    A block is blocked once targets have ended at several moments, each while a
    call with the block waited for its answer, and no answer to any call with
    it has begun. What a culprit has in common with sound calls is cleared by
    them. One call at a time is tried later, at growing intervals.

    All instances that have the same evidence decide the same.

    :param clock: clock of the instance.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[BlockKey, SuspectBlock] = {}
        self._begun_ms: dict[BlockKey, int] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crashes(
        self, evidence: Iterable[CrashEvidence]
    ) -> tuple[list[CrashEvidence], list[SoundBlock]]:
        """Add evidence; return what was new, and what is known to be sound."""
        added: list[CrashEvidence] = []
        sound: list[SoundBlock] = []
        for item in evidence:
            key = (item.service, item.block)
            begun_ms = self._begun_ms.get(key)
            if begun_ms is not None and item.ended_ms - begun_ms <= SOUND_MS:
                sound.append(SoundBlock(*key, begun_ms))
                continue
            suspect = self._suspects.pop(key, None) or SuspectBlock()
            self._suspects[key] = suspect
            if suspect.add(item):
                added.append(item)
        self._expire()
        return added, sound

    def record_sound(self, blocks: Iterable[SoundBlock]) -> list[SoundBlock]:
        """Clear blocks; return those against which there was evidence."""
        cleared: list[SoundBlock] = []
        for item in blocks:
            key = (item.service, item.block)
            known_ms = self._begun_ms.pop(key, item.begun_ms)
            self._begun_ms[key] = max(known_ms, item.begun_ms)
            if self._suspects.pop(key, None) is not None:
                cleared.append(item)
        while len(self._begun_ms) > MAX_SOUND_BLOCKS:
            del self._begun_ms[next(iter(self._begun_ms))]
        return cleared

    def check_blocks(
        self,
        service: str,
        blocks: Iterable[str],
        attempt: str,
        *,
        may_try: bool,
    ) -> BlockedPrompt | None:
        """Return why a call must not be sent; None if it may.

        A call that may be sent as a trial is the only one until
        ``end_trials``.

        :param attempt: identity of the call.
        :param may_try: True if this instance grants the trials of the blocks.
        """
        now_ms = self._clock.now_ms()
        trials: list[SuspectBlock] = []
        for block in blocks:
            suspect = self._find(service, block)
            if suspect is None or not suspect.is_blocked:
                continue
            is_trial = may_try and attempt and suspect.trial in ('', attempt)
            if now_ms < suspect.trial_due_ms or not is_trial:
                left_ms = max(0, suspect.trial_due_ms - now_ms)
                return BlockedPrompt(block, suspect.crash_count, left_ms)
            trials.append(suspect)
        for suspect in trials:
            suspect.trial = attempt
        return None

    def end_trials(self, attempt: str) -> None:
        """End the trials that a call was, if any."""
        for suspect in self._suspects.values():
            if suspect.trial == attempt:
                suspect.trial = ''

    def has_evidence(self, service: str, blocks: Iterable[str]) -> bool:
        """Return True if a target has ended under one of these blocks."""
        return any(self._find(service, block) for block in blocks)

    def may_repeat(self, service: str, blocks: Iterable[str]) -> bool:
        """Return True if a call whose target ended may go to another one."""
        counts = (
            suspect.crash_count
            for block in blocks
            if (suspect := self._find(service, block))
        )
        return max(counts, default=0) < REPEAT_LIMIT

    def is_blocked(self, service: str, block: str) -> bool:
        """Return True if a block is blocked."""
        suspect = self._find(service, block)
        return suspect is not None and suspect.is_blocked

    def list_lives(self, service: str, block: str) -> list[str]:
        """Return the targets that have ended under a block."""
        suspect = self._find(service, block)
        return suspect.lives if suspect else []

    def count_blocked(self) -> int:
        """Return the number of blocks that are blocked."""
        now_ms = self._clock.now_ms()
        return sum(
            suspect.is_blocked and now_ms < suspect.expires_ms
            for suspect in self._suspects.values()
        )

    def list_evidence(self) -> Iterator[CrashEvidence]:
        """Yield all evidence."""
        for (service, block), suspect in self._suspects.items():
            for life, ended_ms in suspect.list_ends():
                yield CrashEvidence(service, block, life, ended_ms)

    def _find(self, service: str, block: str) -> SuspectBlock | None:
        suspect = self._suspects.get((service, block))
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
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
