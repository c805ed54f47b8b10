"""Checks the guarantees to callers from what callers and targets observed."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request was not run and never will be."""
AT_MOST_ONCE_ROUTES = ('booking', 'once-stream')
"""Routes whose requests must not run more than once."""
STREAM_ROUTES = ('stream', 'once-stream')
EVENT_COUNT = 5
FAULT_ANSWER_BODIES = {'foreign': b'mine'}
"""Expected bodies for faults with which a target changes its body."""
MAX_CALL_DURATION_S = 4.0
"""Time-out of the routes plus one second. Time during which the instance was
paused doesn't count."""


class GuaranteeViolation(NamedTuple):
    """A guarantee that did not hold in a soak.

    :param guarantee: name of the guarantee.
    :param attempt: identifier of the attempt that shows the violation.
    :param detail: what was observed.
    """

    guarantee: str
    attempt: str
    detail: str


Check = Callable[
    [list[SoakCall], 'Counter[str]'], Iterator[tuple[SoakCall, str]]
]
CHECKS: dict[str, Check] = {}


def register_check(guarantee: str) -> Callable[[Check], Check]:
    """Register a check under the name of the guarantee that it checks."""

    def register(check: Check) -> Check:
        CHECKS[guarantee] = check
        return check

    return register


def find_violations(
    calls: list[SoakCall], runs: Iterable[TargetRun]
) -> list[GuaranteeViolation]:
    """Return all violations of guarantees."""
    run_counts = Counter(run.attempt for run in runs)
    return [
        GuaranteeViolation(guarantee, call.attempt, detail)
        for guarantee, check in CHECKS.items()
        for call, detail in check(calls, run_counts)
    ]


@register_check('runs_once')
def check_runs_once(
    calls: list[SoakCall], run_counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """Requests of at-most-once routes run at most once."""
    for call in calls:
        if call.route in AT_MOST_ONCE_ROUTES and run_counts[call.attempt] > 1:
            yield call, f'{run_counts[call.attempt]} runs'


@register_check('refusal_is_true')
def check_refusals(
    calls: list[SoakCall], run_counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """A request that was reported as not run has not run."""
    for call in calls:
        is_refused = call.status in NOT_RUN_STATUSES
        if (
            call.route in AT_MOST_ONCE_ROUTES
            and is_refused
            and run_counts[call.attempt]
        ):
            yield (
                call,
                f'status {call.status}, {run_counts[call.attempt]} runs',
            )


@register_check('answer_is_whole_and_own')
def check_answers(
    calls: list[SoakCall], run_counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """A success is the whole answer of a target to this request."""
    for call in calls:
        if call.status != 200:
            continue
        if not call.is_signed or not run_counts[call.attempt]:
            yield call, 'success without a run'
        expected = b'ran ' + call.body
        if call.fault in FAULT_ANSWER_BODIES:
            expected = FAULT_ANSWER_BODIES[call.fault]
        elif call.route in STREAM_ROUTES:
            expected = b''.join(
                b'id: %d\ndata: piece %d\n\n' % (number, number)
                for number in range(1, EVENT_COUNT + 1)
            )
        if call.answer != expected:
            yield call, f'{call.answer[:80]!r} for {expected[:80]!r}'


@register_check('proper_request_is_not_denied')
def check_denials(
    calls: list[SoakCall], run_counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """No request is denied: its route and key are valid all the time."""
    for call in calls:
        if call.status in (400, 401, 403, 404):
            yield call, f'status {call.status}'


@register_check('answer_comes_in_time')
def check_times(
    calls: list[SoakCall], run_counts: 'Counter[str]'
) -> Iterator[tuple[SoakCall, str]]:
    """An answer arrives before the time-out of its route."""
    for call in calls:
        if (
            call.status
            and call.duration_s - call.paused_s > MAX_CALL_DURATION_S
        ):
            yield (
                call,
                f'{call.duration_s:.1f} s, paused {call.paused_s:.1f} s',
            )
