"""The promises, checked from what callers and targets saw."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from lagoonbend_devkit._internal.published.published_target import TargetRun
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
ONCE_ROUTES = ('booking', 'once-stream')
STREAM_ROUTES = ('stream', 'once-stream')
EVENT_COUNT = 5
OWN_BODIES = {'foreign': b'mine'}
"""Bodies of targets whose fault replaces what they would answer."""
GREATEST_TOOK_S = 4.0
"""Time-out of the routes and a second, without the time during which the
instance was paused."""


class BrokenPromise(NamedTuple):
    """A promise that a soak has seen broken.

    :param promise: its name.
    :param attempt: the attempt that shows it.
    :param detail: what was seen.
    """

    promise: str
    attempt: str
    detail: str


Check = Callable[
    [list[SoakCall], 'Counter[str]'], Iterator[tuple[SoakCall, str]]
]
CHECKS: dict[str, Check] = {}


def register_check(promise: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""

    def register(check: Check) -> Check:
        CHECKS[promise] = check
        return check

    return register


def find_broken_promises(
    calls: list[SoakCall], runs: Iterable[TargetRun]
) -> list[BrokenPromise]:
    """Return all promises that were broken."""
    counts = Counter(run.attempt for run in runs)
    return [
        BrokenPromise(promise, call.attempt, detail)
        for promise, check in CHECKS.items()
        for call, detail in check(calls, counts)
    ]


@register_check('runs_once')
def check_runs_once(
    calls: list[SoakCall], counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """Nothing runs twice that must not."""
    for call in calls:
        if call.route in ONCE_ROUTES and counts[call.attempt] > 1:
            yield call, f'{counts[call.attempt]} runs'


@register_check('refusal_is_true')
def check_refusals(
    calls: list[SoakCall], counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """A request that is said not to have run has not run."""
    for call in calls:
        is_refused = call.status in NOT_RUN_STATUSES
        if call.route in ONCE_ROUTES and is_refused and counts[call.attempt]:
            yield call, f'status {call.status}, {counts[call.attempt]} runs'


@register_check('answer_is_whole_and_own')
def check_answers(
    calls: list[SoakCall], counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """A success is a target's whole answer to this very request."""
    for call in calls:
        if call.status != 200:
            continue
        if not call.is_signed or not counts[call.attempt]:
            yield call, 'success without a run'
        expected = b'ran ' + call.body
        if call.fault in OWN_BODIES:
            expected = OWN_BODIES[call.fault]
        elif call.route in STREAM_ROUTES:
            expected = b''.join(
                b'id: %d\ndata: piece %d\n\n' % (number, number)
                for number in range(1, EVENT_COUNT + 1)
            )
        if call.answer != expected:
            yield call, f'{call.answer[:80]!r} for {expected[:80]!r}'


@register_check('proper_request_is_not_denied')
def check_denials(
    calls: list[SoakCall], counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """Route and key are in force all the time."""
    for call in calls:
        if call.status in (400, 401, 403, 404):
            yield call, f'status {call.status}'


@register_check('answer_comes_in_time')
def check_times(
    calls: list[SoakCall], counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """Whoever gets an answer gets it by the time-out of the route."""
    for call in calls:
        if call.status and call.took_s - call.stood_s > GREATEST_TOOK_S:
            yield call, f'{call.took_s:.1f} s, paused {call.stood_s:.1f} s'
