"""Checks of prompts that end the engines which answer them."""

from collections.abc import Iterator
from collections.abc import Sequence

from lagoonbend_devkit._internal.gateway import standin_target
from lagoonbend_devkit._internal.gateway.target_crash import TargetCrash
from lagoonbend_devkit._internal.soak import stream_checks
from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

CRASH_COUNT = 5
STABLE_WINDOW_S = 3.0
MAX_LATE_REQUESTS = 3
"""The users' rule BUDGET: engines that have ended, time from the last of them,
and requests that may arrive later."""
MIN_CALLS = 20
MIN_SHARE = 0.5
"""The users' rule LOST: calls from which on it counts, and the share of the
usual number of sound calls that begin."""


@register_check('crashing_prompts_stop')
def check_crashing_prompts(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Prompts under which five engines have ended are sent to no more."""
    crashing_calls = {call.attempt: call for call in history.crashing_calls}
    for block, crashes in group_crashes(history).items():
        if len(crashes) < CRASH_COUNT:
            continue
        start_s = crashes[CRASH_COUNT - 1].at_s + STABLE_WINDOW_S
        late_calls = [
            crashing_calls[run.attempt]
            for run in history.runs
            if run.started_s > start_s
            and block in standin_target.list_shared_blocks(run.request)
            and run.attempt in crashing_calls
            and not history.is_disturbed(
                crashing_calls[run.attempt].instance,
                run.started_s - STABLE_WINDOW_S,
                run.started_s,
            )
        ]
        if len(late_calls) > MAX_LATE_REQUESTS:
            yield (
                late_calls[-1],
                f'{len(late_calls)} requests with {block} reached engines'
                f' after five had ended; {len(crashes)} ended in all',
            )


@register_check('sound_prompts_go_on')
def check_sound_prompts(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Sound prompts with the same other blocks begin about as usual."""
    sound_calls = [
        tries[0]
        for tries in stream_checks.group_tries(calls)
        if not tries[0].resumes and not tries[0].fault
    ]
    first_crash_s = min(
        (crash.at_s for crash in history.crashes), default=float('inf')
    )
    # Disturbed calls too: they make the usual share smaller, if anything.
    usual = [call for call in sound_calls if call.end_s < first_crash_s]
    for block, crashes in group_crashes(history).items():
        start_s = crashes[:CRASH_COUNT][-1].at_s + 2 * STABLE_WINDOW_S
        end_s = max(
            call.sent_s
            for call in history.crashing_calls
            if call.attempt.startswith(f'{block}-')
        )
        beside = [
            call
            for call in sound_calls
            if start_s <= call.sent_s <= end_s
            and stream_checks.has_sound_version(call, history)
        ]
        if min(len(usual), len(beside)) < MIN_CALLS:
            continue
        if _find_share(beside) < MIN_SHARE * _find_share(usual):
            yield (
                beside[-1],
                f'beside {block}, {_find_share(beside):.2f} of the sound'
                f' streams begin; {_find_share(usual):.2f} before',
            )


def group_crashes(history: SoakHistory) -> dict[str, list[TargetCrash]]:
    """Return the engines that ended under each block, in order."""
    by_block: dict[str, list[TargetCrash]] = {}
    for crash in sorted(history.crashes, key=lambda crash: crash.at_s):
        by_block.setdefault(crash.cause, []).append(crash)
    return by_block


def _find_share(calls: Sequence[SoakCall]) -> float:
    return sum(map(stream_checks.has_gone_on, calls)) / len(calls)
