"""Load, speed and health of one target, as its scheduler knows them."""

from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.scheduling.fault_record import FaultRecord
from lagoonbend._internal.scheduling.held_slot import HeldSlot
from lagoonbend._internal.scheduling.prefill_times import PrefillTimes
from lagoonbend._internal.scheduling.prompt_cache import PromptCache
from lagoonbend._internal.scheduling.request_rate import RequestRate
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.stated_load import StatedLoad
from lagoonbend._internal.scheduling.target_statement import bound_work_factor
from lagoonbend._internal.scheduling.target_statement import MIN_FACTOR_CHANGE
from lagoonbend._internal.scheduling.target_statement import TargetStatement
from lagoonbend._internal.scheduling.target_statement import VALID_MS

SERVICE_BASE_MS = 60.0
"""Time to the answer of an idle plain service; its scale doesn't matter, since
the slowness of each target is learned."""
LEARNING_RATE = 0.15
"""Weight of the newest answer in the slowness of a target."""
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
"""Range of the slowness of a target."""
FULL_PAUSE_MS = 150
"""Time without new calls after a target rejected one as full; the load that
targets report lags by some hundred milliseconds."""
BRITTLE_PAUSE_MS = 1_000
"""The same for a target that falls over when it rejects too many calls in a
second, and has no room for a single one."""
ROOM_GROWTH_MS = 1_000
"""Time after which one more call is sent to such a target than it had when it
rejected the last one."""
MAX_MEMORY_SHARE = 0.9
"""Share of an engine's memory that all running calls together may need;
beyond it, an engine preempts the newest call."""
FIRST_ANSWERS = 8
"""Answers of a target by which its slowness is learned well enough to tell the
speed of a target from the shape of the times of all."""
WEIGH_INTERVAL_MS = 20
"""Interval at which the weight of a statement is adjusted to its age, a
fiftieth of the time for which it counts."""
MAX_DISTURBED_MS = 10_000
"""Time without an answer at the usual speed after which a stated factor is
taken for permanent, many times as long as a neighbour disturbs a target."""


class TargetLoad:
    """Slots in use, speed, health and cached prompts of one target.

    ``slowness`` is the learned ratio of actual to assumed times, and
    ``full_until_ms`` the time until which no call is sent to a target that
    rejected one as full. ``request_rate`` paces the calls while the target
    names a limit. ``is_brittle`` is True while it falls over under too many
    rejections. ``cold_until_ms`` is the last time until which it is, or was,
    cold. ``statement`` is the load that the target states itself.

    :param listed: the target's entry in the target list.
    :param is_engine: True for a model engine.
    :param memory_tokens: tokens that its memory holds; 0 if unknown.
    :param times: times of the engines of the pool.
    """

    def __init__(
        self,
        listed: ListedTarget,
        is_engine: bool,
        memory_tokens: int,
        times: PrefillTimes,
    ) -> None:
        self.listed = listed
        self.is_engine = is_engine
        self.memory_tokens = memory_tokens
        self.times = times
        self.held: dict[tuple[str, str], HeldSlot] = {}
        self.held_tokens = 0
        self.slowness = 1.0
        self.faults = FaultRecord()
        self.cache = PromptCache(memory_tokens)
        self.full_until_ms = 0
        self.request_rate: RequestRate | None = None
        self.is_brittle = False
        self.cold_until_ms = 0
        self.statement = TargetStatement()
        self._further_calls = 0
        self._work_multiple = 1.0
        self._weigh_next_ms: int | None = None
        self._answer_count = 0
        self._usual_answer_ms = 0
        self._disturbed_ms = -1
        self._unusual_ms = -VALID_MS
        self._room = 0
        self._rejected_ms = 0
        self._prefill_until_ms = 0.0

    def has_room(self, request: SlotRequest, share: float) -> bool:
        """Return True if the target can run one more call.

        :param share: share of the target's slots that may be used.
        """
        if len(self.held) >= self.count_slots(share):
            return False
        if not self.memory_tokens or not self.held:
            return True
        tokens = self.held_tokens + request.prompt_tokens
        tokens += request.output_tokens
        return tokens <= MAX_MEMORY_SHARE * self.memory_tokens

    def count_slots(self, share: float) -> int:
        """Return the number of calls that the target may run at once.

        :param share: share of the target's slots that may be used.
        """
        if self.faults.is_on_probation:
            return 1
        if self._room:
            return min(max(1, int(self.listed.slots * share)), self._room)
        if share >= 1.0:
            return self.listed.slots + self._further_calls
        return max(1, int(self.listed.slots * share))

    def forget_former_life(self) -> None:
        """Forget what a target kept and stated before it started again."""
        self.cache.clear()
        self.statement = TargetStatement()
        self._further_calls = 0
        self._work_multiple = 1.0

    def count_expected_slots(self, share: float) -> float:
        """Return the slots to expect, as many as at the usual speed."""
        slots = self.listed.slots * share
        if share >= 1.0:
            slots += self._further_calls
        return slots / self._work_multiple

    def record_statement(self, stated: StatedLoad, now_ms: int) -> None:
        """Record the load that the target states in an answer.

        Only plain services get further calls: the calls of an engine spend
        nearly all their time there, and its memory limits them.
        """
        slots = self.listed.slots
        self.statement.record(stated, slots, len(self.held), now_ms)
        self._weigh_statement(now_ms)

    def describe_statement(self, now_ms: int) -> str:
        """Return the statement and what it allows, for logs."""
        text = self.statement.describe(now_ms)
        if text and self._further_calls:
            text += f' further {self._further_calls}'
        return text

    def record_rejection(self, now_ms: int) -> None:
        """Record that the target rejected a call as full.

        The room of a brittle one is taken for what it has left in use.
        """
        self.full_until_ms = now_ms + FULL_PAUSE_MS
        self.statement.record_rejection(now_ms)
        self._further_calls = 0
        if not self.is_brittle:
            return
        if not self.held:
            self.full_until_ms = now_ms + BRITTLE_PAUSE_MS
        self._room = max(1, len(self.held))
        self._rejected_ms = now_ms

    def update_room(self, now_ms: int, *, is_brittle: bool) -> None:
        """Let the room of a brittle target grow; forget that of others.

        A statement counts less as it grows old.
        """
        self.is_brittle = is_brittle
        if self._weigh_next_ms is not None and now_ms >= self._weigh_next_ms:
            self._weigh_statement(now_ms)
        if not is_brittle:
            self._room = 0
        elif self._room and now_ms - self._rejected_ms >= ROOM_GROWTH_MS:
            self._room += 1
            self._rejected_ms = now_ms

    def estimate_first_byte_ms(
        self, request: SlotRequest, now_ms: int
    ) -> float:
        """Return the expected time to the first byte of an answer."""
        multiple = self.slowness * self._work_multiple
        if not self.is_engine:
            return multiple * SERVICE_BASE_MS
        new_tokens = self.cache.count_new_tokens(request.prompt)
        expected_ms = multiple * self.times.estimate_ms(new_tokens)
        wait_ms = self._prefill_until_ms - now_ms
        if wait_ms > 0:
            expected_ms += self._work_multiple * wait_ms
        return expected_ms

    def find_wait_ms(self, now_ms: int) -> float:
        """Return the time for prompts ahead, at a slowness of 1."""
        return max(0.0, self._prefill_until_ms - now_ms) / self.slowness

    def estimate_idle_first_byte_ms(self, request: SlotRequest) -> float:
        """Return the time to the first byte without other prompts ahead."""
        if not self.is_engine:
            return self.slowness * SERVICE_BASE_MS
        new_tokens = self.cache.count_new_tokens(request.prompt)
        return self.slowness * self.times.estimate_ms(new_tokens)

    def estimate_tokens_ms(self, tokens: int) -> float:
        """Return the time to process tokens of a prompt."""
        return self.slowness * self.times.estimate_prefill_ms(tokens)

    def add_held(self, slot: HeldSlot) -> None:
        """Add a call that obtained a slot."""
        self.held[slot.instance, slot.call] = slot
        self.held_tokens += slot.tokens

    def record_prefill(self, request: SlotRequest, now_ms: int) -> int:
        """Record a prompt that is processed after those sent before it.

        :returns: its tokens that weren't cached.
        """
        new_tokens = self.cache.count_new_tokens(request.prompt)
        prefill_ms = self.slowness * self.times.estimate_prefill_ms(new_tokens)
        self._prefill_until_ms = (
            max(self._prefill_until_ms, now_ms) + prefill_ms
        )
        self.cache.record_prompt(request.prompt, self.held_tokens)
        return new_tokens

    def release(self, instance: str, call: str) -> HeldSlot | None:
        """Remove a call that has ended; return its slot, if it held one."""
        slot = self.held.pop((instance, call), None)
        if slot is not None:
            self.held_tokens -= slot.tokens
        return slot

    def learn_times(
        self,
        slot: HeldSlot,
        first_byte_ms: int,
        stated: StatedLoad | None,
        now_ms: int,
    ) -> None:
        """Learn from the time that an answer took.

        Answers of a time in which a neighbour has disturbed the target tell
        how much of their time the stated factor changes, not the speed of the
        target. Such a time lasts until an answer states the usual factor, as
        it isn't known since when that holds.

        :param stated: the load that this answer states.
        """
        if slot.expected_ms <= 0 or first_byte_ms <= 0:
            return
        # The slowness may have changed since the slot was granted. A ratio to
        # the time expected then would count the change once for each call
        # under way, and overshoot.
        ratio = first_byte_ms / self._find_expected_ms(slot)
        factor = bound_work_factor(stated.work_percent) if stated else 1.0
        # The slot of a stream is released long after its head has arrived.
        stated_ms = now_ms - (stated.age_ms if stated else 0)
        if stated_ms - self._unusual_ms < VALID_MS:
            self._disturbed_ms = max(self._disturbed_ms, stated_ms)
        if abs(factor - 1.0) >= MIN_FACTOR_CHANGE:
            self._disturbed_ms = max(self._disturbed_ms, stated_ms)
            self._unusual_ms = stated_ms
            self.statement.learn_work_share(ratio, factor)
        else:
            self._unusual_ms = -VALID_MS
        is_disturbed = slot.started_ms <= self._disturbed_ms
        if not is_disturbed or not self._usual_answer_ms:
            self._usual_answer_ms = now_ms
        if is_disturbed and now_ms - self._usual_answer_ms < MAX_DISTURBED_MS:
            return
        multiple = self.statement.find_answer_multiple(factor)
        ratio /= multiple
        self._answer_count += 1
        if (
            self.is_engine
            and self._answer_count > FIRST_ANSWERS
            and slot.new_tokens is not None
        ):
            usual_ms = first_byte_ms / (multiple * self.slowness)
            self.times.learn(slot.new_tokens, usual_ms, slot.wait_ms)
        ratio = min(max(ratio, 0.1), 10.0)
        self.slowness *= ratio**LEARNING_RATE
        self.slowness = min(max(self.slowness, MIN_SLOWNESS), MAX_SLOWNESS)

    def _weigh_statement(self, now_ms: int) -> None:
        """Apply what the statement allows and expects by its age."""
        self._weigh_next_ms = now_ms + WEIGH_INTERVAL_MS
        self._work_multiple = self.statement.find_work_multiple(now_ms)
        slots = self.listed.slots
        self._further_calls = (
            0
            if self.is_engine or self.is_brittle or now_ms < self.cold_until_ms
            else self.statement.count_further_calls(slots, now_ms)
        )

    def _find_expected_ms(self, slot: HeldSlot) -> float:
        """Return the time to expect by what is known now, if not stated."""
        if slot.new_tokens is None:
            return slot.expected_ms
        if not self.is_engine:
            return self.slowness * SERVICE_BASE_MS
        usual_ms = self.times.estimate_ms(slot.new_tokens) + slot.wait_ms
        return self.slowness * usual_ms
