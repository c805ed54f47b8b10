"""What the scheduler of a service knows of one target."""

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.scheduling.fault_record import FaultRecord
from lagoonbend._internal.scheduling.held_slot import HeldSlot
from lagoonbend._internal.scheduling.prompt_cache import PartCache
from lagoonbend._internal.scheduling.slot_request import SlotRequest

ENGINE_BASE_MS = 110.0
"""Time to the first event of an idle engine without prompt tokens; the
sheets' engines. Only ratios matter, since the speed of each target is
learned."""
SERVICE_BASE_MS = 60.0
"""Time to the answer of an idle plain service; the same holds for it."""
READ_MS_PER_TOKEN = 1 / 69.8
"""Time to read one token of a prompt; rate of the sheets' engines."""
LEARNING_RATE = 0.15
"""Part of the newest answer in the learned slowness of a target."""
LEAST_SLOWNESS = 0.2
GREATEST_SLOWNESS = 20.0
FULL_PAUSE_MS = 150
"""Pause after a target has turned a call away as full; some hundred ms is
the lag of what targets tell of themselves."""
MEMORY_SHARE = 0.9
"""Part of an engine's memory that running calls may need together; beyond
it an engine preempts the newest."""


class TargetLoad:
    """Places in use, speed, health and kept prompts of one target.

    :param listed: what the platform lists.
    :param is_engine: True for a model engine.
    :param memory_tokens: tokens that its memory holds; 0 if unknown.
    """

    def __init__(
        self, listed: ListedTarget, is_engine: bool, memory_tokens: int
    ) -> None:
        self.listed = listed
        self.is_engine = is_engine
        self.memory_tokens = memory_tokens
        self.held: dict[tuple[str, str], HeldSlot] = {}
        self.held_tokens = 0
        self.slowness = 1.0
        self.faults = FaultRecord()
        self.cache = PartCache(memory_tokens)
        self.full_until_ms = 0
        self._read_until_ms = 0.0

    def has_place(self, request: SlotRequest, share: float) -> bool:
        """Return True if one more call fits.

        :param share: part of the target's places that may be used.
        """
        if len(self.held) >= self.count_places(share):
            return False
        if not self.memory_tokens or not self.held:
            return True
        tokens = self.held_tokens + request.prompt_tokens
        tokens += request.output_tokens
        return tokens <= MEMORY_SHARE * self.memory_tokens

    def count_places(self, share: float) -> int:
        """Return the number of calls that the target may run at once.

        :param share: part of the target's places that may be used.
        """
        if self.faults.is_on_trial:
            return 1
        return max(1, int(self.listed.slots * share))

    def estimate_first_ms(self, request: SlotRequest, now_ms: int) -> float:
        """Return the expected time to the first bytes of an answer."""
        if not self.is_engine:
            return self.slowness * SERVICE_BASE_MS
        wait_ms = max(0.0, self._read_until_ms - now_ms)
        return wait_ms + self.estimate_idle_first_ms(request)

    def estimate_idle_first_ms(self, request: SlotRequest) -> float:
        """Return the time to the first bytes if nothing is before them."""
        if not self.is_engine:
            return self.slowness * SERVICE_BASE_MS
        read_ms = self._estimate_read_ms(request)
        return self.slowness * (ENGINE_BASE_MS + read_ms)

    def hold(self, place: HeldSlot) -> None:
        """Note a call that gets a place."""
        self.held[place.instance, place.call] = place
        self.held_tokens += place.tokens

    def note_reading(self, request: SlotRequest, now_ms: int) -> None:
        """Note that the target is to read a prompt after those before it."""
        read_ms = self.slowness * self._estimate_read_ms(request)
        self._read_until_ms = max(self._read_until_ms, now_ms) + read_ms
        self.cache.use(request.prompt, self.held_tokens)

    def release(self, instance: str, call: str) -> HeldSlot | None:
        """Note that a call has ended; return its place, if it had one."""
        place = self.held.pop((instance, call), None)
        if place is not None:
            self.held_tokens -= place.tokens
        return place

    def learn(self, expected_ms: float, first_ms: float) -> None:
        """Move the learned slowness towards what an answer has shown."""
        if expected_ms <= 0 or first_ms <= 0:
            return
        ratio = min(max(first_ms / expected_ms, 0.1), 10.0)
        self.slowness *= ratio**LEARNING_RATE
        self.slowness = min(
            max(self.slowness, LEAST_SLOWNESS), GREATEST_SLOWNESS
        )

    def _estimate_read_ms(self, request: SlotRequest) -> float:
        new_tokens = self.cache.count_new_tokens(request.prompt)
        return new_tokens * READ_MS_PER_TOKEN
