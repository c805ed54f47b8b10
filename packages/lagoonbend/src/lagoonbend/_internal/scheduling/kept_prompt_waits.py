"""Lets calls wait for a target that has their prompt cached."""

from collections.abc import Iterator
import math
from typing import NamedTuple

from lagoonbend._internal.scheduling import route_explanation
from lagoonbend._internal.scheduling.demand import Demand
from lagoonbend._internal.scheduling.kept_prompt_choice import choose_option
from lagoonbend._internal.scheduling.kept_prompt_totals import KeptPromptTotals
from lagoonbend._internal.scheduling.kept_prompts import register_kept_prompts
from lagoonbend._internal.scheduling.prefill_times import PRIOR_MS_PER_TOKEN
from lagoonbend._internal.scheduling.prompt_block import PromptBlock
from lagoonbend._internal.scheduling.slot_request import SlotRequest
from lagoonbend._internal.scheduling.target_load import MAX_MEMORY_SHARE
from lagoonbend._internal.scheduling.target_load import TargetLoad
from lagoonbend._internal.scheduling.target_option import TargetOption
from lagoonbend._internal.scheduling.target_set import TargetSet

CHECK_INTERVAL_MS = 50
"""Interval at which a wait for a target that is still full is weighed again,
and time before its latest start at which a call stops to wait."""
MIN_KEPT_MS = route_explanation.CROSS_DOMAIN_COST_MS
"""Time that a cached beginning must save to be weighed; less than that isn't
worth the way to another failure domain either."""

CallKey = tuple[str, str]


class _KeptWait(NamedTuple):
    """A call that waits for a target.

    :param target: name of the target.
    :param since_ms: when the wait began.
    :param check_ms: when the wait is weighed again if the target is full.
    :param until_ms: when it is abandoned at the latest.
    :param limit_ms: now and the cost without waiting, when the wait began; it
        is abandoned once its own estimate is later.
    :param behind_share: calls behind it for each slot, when the wait began.
    """

    target: str
    since_ms: int
    check_ms: int
    until_ms: int
    limit_ms: float
    behind_share: float


class _WeighedCall(NamedTuple):
    """A call whose target is chosen.

    :param request: request for a slot.
    :param prompt_tokens: length of its prompt.
    :param block_index: first block up to which the prompt is worth weighing.
    :param behind_share: calls behind it, for each slot of the pool.
    :param now_ms: time of the choice.
    """

    request: SlotRequest
    prompt_tokens: int
    block_index: int
    behind_share: float
    now_ms: int


@register_kept_prompts('on')
class KeptPromptWaits:
    """Weighs the time that a cached prompt saves against the wait for it.

    A call waits for one target, once. Later it takes any free slot.

    :param targets: targets of the pool.
    :param demand: hold times of the pool's calls.
    :param totals: counts of waits of all pools.
    """

    def __init__(
        self, targets: TargetSet, demand: Demand, totals: KeptPromptTotals
    ) -> None:
        self._targets = targets
        self._demand = demand
        self._totals = totals
        self._waits: dict[CallKey, _KeptWait] = {}
        self._waiting_at: dict[str, list[CallKey]] = {}
        self._abandoned: set[CallKey] = set()

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a certain target."""
        return len(self._waits)

    def is_waiting(self, request: SlotRequest) -> bool:
        """Return True if a call waits for a certain target."""
        return (request.instance, request.call) in self._waits

    def forget(self, request: SlotRequest) -> None:
        """Forget a call that has left the queue."""
        key = request.instance, request.call
        if key in self._waits:
            self._totals.abandoned += 1
            self._end_wait(key)
        self._abandoned.discard(key)

    def choose(
        self,
        request: SlotRequest,
        latest_start_ms: int,
        queued_count: int,
        now_ms: int,
    ) -> TargetLoad | None:
        """Return the target at which a call starts now."""
        key = request.instance, request.call
        wait = self._waits.get(key)
        if wait is not None and now_ms < wait.check_ms:
            load = self._targets.find(wait.target)
            slots = load.count_slots(self._targets.share) if load else 0
            if load is not None and len(load.held) >= slots:
                return None
        block_index = _find_block_index(request.prompt)
        if block_index is None or (
            wait is None
            and not self._targets.has_cached(request.prompt[block_index])
        ):
            return self._targets.choose(request, now_ms)
        call = _WeighedCall(
            request,
            request.prompt_tokens,
            block_index,
            # Work of a call delays those behind it, which share all slots.
            (queued_count - 1) / max(1, self._targets.slot_count),
            now_ms,
        )
        if wait is not None:
            load = self._continue_wait(key, call)
            if load is not None or key in self._waits:
                return load
        latest_start_ms -= CHECK_INTERVAL_MS
        if key in self._abandoned:
            latest_start_ms = now_ms
        choice = choose_option(
            self._list_options(call), now_ms, latest_start_ms
        )
        if choice is None:
            return None
        if choice.wait_until_ms is None:
            return self._targets.find(choice.target)
        self._waits[key] = _KeptWait(
            choice.target,
            now_ms,
            now_ms + CHECK_INTERVAL_MS,
            choice.wait_until_ms,
            now_ms + choice.now_cost_ms,
            call.behind_share,
        )
        self._waiting_at.setdefault(choice.target, []).append(key)
        self._totals.waits += 1
        return None

    def _continue_wait(
        self, key: CallKey, call: _WeighedCall
    ) -> TargetLoad | None:
        """Return the target that a call waits for if it may start there.

        The wait ends then, or if it no longer pays.
        """
        wait = self._waits[key]
        # A queue that grows makes the wait worth no less.
        call = call._replace(behind_share=wait.behind_share)
        load = self._targets.find(wait.target)
        if load is not None and self._is_usable(load, call):
            is_free = load.has_room(call.request, self._targets.share)
            ahead = self._waiting_at[wait.target].index(key)
            option = self._build_option(load, call, ahead, is_free=is_free)
            if self._may_go_on(option, wait, call.now_ms):
                if not is_free:
                    check_ms = call.now_ms + CHECK_INTERVAL_MS
                    self._waits[key] = wait._replace(check_ms=check_ms)
                    return None
                self._end_wait(key)
                self._totals.saved_ms += (
                    wait.limit_ms - call.now_ms - option.cost_ms
                )
                return load
        self._abandon(key, call.now_ms)
        return None

    @staticmethod
    def _may_go_on(option: TargetOption, wait: _KeptWait, now_ms: int) -> bool:
        """Return False if a wait no longer pays.

        That is so if the target has filled further, has become slower, or has
        evicted the prompt, since its cost has then risen.
        """
        return (
            option.fits
            and now_ms + option.wait_ms <= wait.until_ms
            and now_ms + option.cost_ms <= wait.limit_ms
        )

    def _abandon(self, key: CallKey, now_ms: int) -> None:
        self._totals.abandoned += 1
        self._totals.lost_ms += now_ms - self._waits[key].since_ms
        self._end_wait(key)
        self._abandoned.add(key)

    def _end_wait(self, key: CallKey) -> None:
        wait = self._waits.pop(key, None)
        if wait is None:
            return
        keys = self._waiting_at[wait.target]
        keys.remove(key)
        if not keys:
            del self._waiting_at[wait.target]

    def _is_usable(self, load: TargetLoad, call: _WeighedCall) -> bool:
        """Return True if a target may be waited for."""
        return self._targets.may_be_waited_for(load, call.request, call.now_ms)

    def _list_options(self, call: _WeighedCall) -> Iterator[TargetOption]:
        """Yield free targets, and full ones that have a beginning cached."""
        request = call.request
        block = request.prompt[call.block_index]
        for load in self._targets.list_healthy(request, call.now_ms):
            is_free = load.has_room(request, self._targets.share)
            if is_free or (
                load.cache.has_block(block) and self._is_usable(load, call)
            ):
                ahead = len(self._waiting_at.get(load.listed.target, ()))
                yield self._build_option(load, call, ahead, is_free=is_free)

    def _build_option(
        self,
        load: TargetLoad,
        call: _WeighedCall,
        ahead: int,
        *,
        is_free: bool,
    ) -> TargetOption:
        """Return what a call would cost at a target.

        :param ahead: calls that already wait for the target.
        """
        request = call.request
        free_slots = 0
        wait_ms = 0.0
        start_ms = call.now_ms
        if is_free:
            free_slots = load.count_slots(self._targets.share) - len(load.held)
        else:
            wait_ms = self._estimate_wait_ms(load, call.now_ms, ahead)
            if math.isfinite(wait_ms):
                start_ms += round(wait_ms)
        free_tokens = None
        if load.memory_tokens and load.held:
            free_tokens = MAX_MEMORY_SHARE * load.memory_tokens
            free_tokens -= load.held_tokens
        kept_ms = shared_ms = 0.0
        # The choice compares these among free targets only.
        if is_free and load.cache.has_block(request.prompt[call.block_index]):
            kept_tokens = call.prompt_tokens - load.cache.count_new_tokens(
                request.prompt
            )
            kept_ms = load.estimate_tokens_ms(kept_tokens)
            shared_tokens = max(
                (
                    _count_common_tokens(
                        request.prompt, slot.prompt, call.block_index
                    )
                    for slot in load.held.values()
                ),
                default=0,
            )
            shared_ms = load.estimate_tokens_ms(
                min(shared_tokens, kept_tokens)
            )
        first_byte_ms = load.estimate_first_byte_ms(request, start_ms)
        cost_ms = self._targets.estimate_cost(load, request, first_byte_ms)
        behind_ms = 0.0
        if call.behind_share:
            work_ms = load.estimate_idle_first_byte_ms(request)
            behind_ms = call.behind_share * work_ms
        return TargetOption(
            load.listed.target,
            free_slots,
            wait_ms,
            first_byte_ms,
            cost_ms - first_byte_ms,
            behind_ms,
            kept_ms,
            shared_ms,
            call.prompt_tokens + request.output_tokens,
            free_tokens,
        )

    def _estimate_wait_ms(
        self, load: TargetLoad, now_ms: int, ahead: int
    ) -> float:
        """Return the expected time until a slot of a full target is free.

        Each call holds its slot for the mean time of its rank. One that has
        exceeded it may go on for long: the wait is at least the mean time
        between two ends, as if the holds had no memory. Calls of a rank of
        which none has ended yet are not expected to end.

        :param ahead: calls that already wait for the target.
        """
        hold_ms: list[float] = []
        left_ms: list[float] = []
        for slot in load.held.values():
            mean_ms = self._demand.find_hold_ms(slot.rank)
            if mean_ms is not None:
                hold_ms.append(mean_ms)
                left_ms.append(slot.started_ms + mean_ms - now_ms)
        # Slots beyond the limit of the target must end first.
        place = ahead + len(load.held) - load.count_slots(self._targets.share)
        if not 0 <= place < len(left_ms):
            return math.inf
        spacing_ms = sum(hold_ms) / len(hold_ms) / len(load.held)
        return max(sorted(left_ms)[place], (place + 1) * spacing_ms)


def _find_block_index(prompt: tuple[PromptBlock, ...]) -> int | None:
    """Return the first block up to which a cached prompt is worth weighing.

    :returns: None if the whole prompt is too short.
    """
    left_tokens = MIN_KEPT_MS / PRIOR_MS_PER_TOKEN
    for index, block in enumerate(prompt):
        left_tokens -= block.tokens
        if left_tokens <= 0:
            return index
    return None


def _count_common_tokens(
    prompt: tuple[PromptBlock, ...],
    other: tuple[PromptBlock, ...],
    block_index: int,
) -> int:
    """Return the tokens of the beginning that two prompts share.

    :param block_index: block that they must share for a result above 0.
    """
    if len(other) <= block_index:
        return 0
    # The identity of a block covers all blocks before it.
    if prompt[block_index].block_id != other[block_index].block_id:
        return 0
    tokens = 0
    for block, other_block in zip(prompt, other, strict=False):
        if block.block_id != other_block.block_id:
            break
        tokens += block.tokens
    return tokens
