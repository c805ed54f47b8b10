"""Weighs a target that has a prompt cached against the wait for it."""

from collections.abc import Iterable
from typing import NamedTuple

from lagoonbend._internal.scheduling.target_option import TargetOption

MAX_WAIT_SHARE = 0.8
"""Share of the saved time that the expected wait may take; the rest allows
for the error of the estimate, as for the wait of new calls."""
LAST_SLOT_CALLS = 2
"""Calls that are counted for the last free slot of a target whose prompt
others ask for too: this one, and the next one, which would find it full."""


class KeptPromptChoice(NamedTuple):
    """Where a call runs now, or what it waits for.

    :param target: target to use now, or to wait for.
    :param wait_until_ms: time until which the call waits for the target; None
        to use it now.
    :param cost_ms: expected cost of the choice, the wait included.
    :param now_cost_ms: lowest expected cost without waiting.
    """

    target: str
    wait_until_ms: int | None
    cost_ms: float
    now_cost_ms: float


def choose_option(
    options: Iterable[TargetOption], now_ms: int, latest_start_ms: int
) -> KeptPromptChoice | None:
    """Return the target to use now, or the full one to wait for.

    A call waits only if that costs less, by the same estimates, than any
    target with a free slot. It never waits if no slot is free anywhere, since
    it then waits for whichever slot is free first.

    :param latest_start_ms: time at which the call must have started; a wait
        ends before it.
    :returns: None if no target has a free slot.
    """
    free: list[TargetOption] = []
    full: list[TargetOption] = []
    for option in options:
        (free if option.free_slots else full).append(option)
    if not free:
        return None
    chosen = _choose_free(free)
    now_cost_ms = min(option.cost_ms for option in free)
    kept = min(
        (
            option
            for option in full
            if option.fits
            and is_wait_worthwhile(option, now_cost_ms)
            and now_ms + option.wait_ms <= latest_start_ms
        ),
        key=lambda option: option.cost_ms,
        default=None,
    )
    if kept is None:
        return KeptPromptChoice(
            chosen.target, None, chosen.cost_ms, now_cost_ms
        )
    until_ms = now_ms + int(now_cost_ms - kept.start_cost_ms)
    return KeptPromptChoice(
        kept.target, min(until_ms, latest_start_ms), kept.cost_ms, now_cost_ms
    )


def is_wait_worthwhile(option: TargetOption, now_cost_ms: float) -> bool:
    """Return True if the wait takes clearly less time than it saves."""
    saved_ms = now_cost_ms - option.start_cost_ms
    return 0.0 < option.wait_ms <= MAX_WAIT_SHARE * saved_ms


def _choose_free(free: list[TargetOption]) -> TargetOption:
    """Return the free target with the lowest cost to all calls of a prompt.

    While a target that reads a prompt for other calls has more than one free
    slot, reading the prompt at another one counts twice. Its last free slot
    counts as expensive, so that a second target reads the prompt before the
    first one is full.
    """
    spare_ms = max(
        (option.shared_ms for option in free if option.free_slots > 1),
        default=0.0,
    )

    def find_cost_ms(option: TargetOption) -> float:
        cost_ms = option.cost_ms + max(0.0, spare_ms - option.kept_ms)
        if option.free_slots == 1:
            cost_ms += LAST_SLOT_CALLS * option.shared_ms
        return cost_ms

    return min(free, key=find_cost_ms)
