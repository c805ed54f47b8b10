"""Checks of calls that end the targets which run them."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools

from lagoonbend_devkit._internal.gateway import standin_target
from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.gateway.target_crash import TargetCrash
from lagoonbend_devkit._internal.soak import stream_checks
from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

CRASH_COUNT = 5
REQUEST_CRASH_COUNT = 3
STABLE_WINDOW_S = 3.0
MAX_LATE_REQUESTS = 3
"""The users' rules BUDGET: targets that have ended, time from the last of
them, and requests that may arrive later."""
MIN_CALLS = 20
MIN_SHARE = 0.5
"""The users' rule LOST: calls from which on it counts, and the share of the
usual number of sound calls that begin."""


@register_check('crashing_prompts_stop')
def check_crashing_prompts(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Prompts under which five engines have ended are sent to no more."""
    for block, crashes in group_crashes(history).items():
        if not is_request(block) and len(crashes) >= CRASH_COUNT:
            yield from _check_late_runs(
                block,
                crashes[CRASH_COUNT - 1].at_s + STABLE_WINDOW_S,
                functools.partial(_has_block, block),
                history,
                history.is_disturbed,
            )


@register_check('crashing_requests_stop')
def check_crashing_requests(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A request under which three servers have ended is sent to no more."""
    for path, crashes in group_crashes(history).items():
        if is_request(path) and len(crashes) >= REQUEST_CRASH_COUNT:
            yield from _check_late_runs(
                path,
                crashes[REQUEST_CRASH_COUNT - 1].at_s + STABLE_WINDOW_S,
                functools.partial(_has_path, path),
                history,
                # Instances need no store to learn of it.
                history.is_interrupted,
            )


def _has_block(block: str, run: TargetRun) -> bool:
    return block in standin_target.list_shared_blocks(run.request)


def _has_path(path: str, run: TargetRun) -> bool:
    return run.request.path == path


def _check_late_runs(
    cause: str,
    start_s: float,
    has_cause: Callable[[TargetRun], bool],
    history: SoakHistory,
    is_excused: Callable[[int, float, float], bool],
) -> Iterator[tuple[SoakCall, str]]:
    """Yield the last request if too many have reached targets.

    :param start_s: time from which they count.
    :param has_cause: returns True for a run that ends its target.
    :param is_excused: returns True if an instance was disturbed in a period.
    """
    crashing_calls = {call.attempt: call for call in history.crashing_calls}
    late_calls = [
        crashing_calls[run.attempt]
        for run in history.runs
        if run.started_s > start_s
        and has_cause(run)
        and run.attempt in crashing_calls
        and not is_excused(
            crashing_calls[run.attempt].instance,
            run.started_s - STABLE_WINDOW_S,
            run.started_s,
        )
    ]
    if len(late_calls) > MAX_LATE_REQUESTS:
        yield (
            late_calls[-1],
            f'{len(late_calls)} requests with {cause} reached targets later'
            f' than {STABLE_WINDOW_S} s after the end that counts',
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
        if is_request(block):
            continue
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
    """Return the targets that ended under each block or path, in order."""
    by_cause: dict[str, list[TargetCrash]] = {}
    for crash in sorted(history.crashes, key=lambda crash: crash.at_s):
        by_cause.setdefault(crash.cause, []).append(crash)
    return by_cause


def is_request(cause: str) -> bool:
    """Return True for the path of a request, False for a block."""
    return cause.startswith('/')


def _find_share(calls: Sequence[SoakCall]) -> float:
    return sum(map(stream_checks.has_gone_on, calls)) / len(calls)
