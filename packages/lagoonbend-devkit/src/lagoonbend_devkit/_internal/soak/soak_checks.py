"""Checks the guarantees to callers from what callers and targets observed."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import math
from typing import NamedTuple

from lagoonbend_devkit._internal.gateway.standin_target import encode_event
from lagoonbend_devkit._internal.soak import excuses
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request was not run and never will be."""
STREAM_ROUTES = ('stream', 'once-stream')
EVENT_COUNT = 5
FAULT_ANSWER_BODIES = {'foreign': b'mine'}
"""Expected bodies for faults with which a target changes its body."""
MAX_CALL_DURATION_S = 4.0
"""Time-out of the routes plus one second. Time during which the instance was
paused doesn't count."""

PAUSE_GRACE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
"""Time from the answer with which a target asks for a pause, and number of
requests after it, that the users' rule BUDGET allows."""


class GuaranteeViolation(NamedTuple):
    """A guarantee that did not hold in a soak.

    :param guarantee: name of the guarantee.
    :param attempt: identifier of the attempt that shows the violation.
    :param detail: what was observed.
    """

    guarantee: str
    attempt: str
    detail: str


Check = Callable[[list[SoakCall], SoakHistory], Iterator[tuple[SoakCall, str]]]
CHECKS: dict[str, Check] = {}


def register_check(guarantee: str) -> Callable[[Check], Check]:
    """Register a check under the name of the guarantee that it checks."""

    def register(check: Check) -> Check:
        CHECKS[guarantee] = check
        return check

    return register


def find_violations(
    calls: list[SoakCall], history: SoakHistory
) -> list[GuaranteeViolation]:
    """Return all violations of guarantees."""
    return [
        GuaranteeViolation(guarantee, call.attempt, detail)
        for guarantee, check in CHECKS.items()
        for call, detail in check(calls, history)
    ]


def count_runs(history: SoakHistory) -> 'Counter[str]':
    """Return the number of runs of each attempt."""
    return Counter(run.attempt for run in history.runs)


@register_check('runs_once')
def check_runs_once(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """Requests of at-most-once routes run at most once."""
    run_counts = count_runs(history)
    for call in calls:
        if (
            call.route in excuses.AT_MOST_ONCE_ROUTES
            and run_counts[call.attempt] > 1
        ):
            yield call, f'{run_counts[call.attempt]} runs'


@register_check('refusal_is_true')
def check_refusals(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A request that was reported as not run has not run."""
    run_counts = count_runs(history)
    for call in calls:
        is_refused = call.status in NOT_RUN_STATUSES
        if (
            call.route in excuses.AT_MOST_ONCE_ROUTES
            and is_refused
            and run_counts[call.attempt]
        ):
            yield (
                call,
                f'status {call.status}, {run_counts[call.attempt]} runs',
            )


@register_check('answer_is_whole_and_own')
def check_answers(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A success is the whole answer of a target to this request."""
    run_counts = count_runs(history)
    for call in calls:
        if call.status != 200:
            continue
        if not call.is_signed or not run_counts[call.attempt]:
            yield call, 'success without a run'
        expected = b'ran ' + call.body
        if call.fault in FAULT_ANSWER_BODIES:
            expected = FAULT_ANSWER_BODIES[call.fault]
        elif call.route in STREAM_ROUTES:
            # A run that ended before its first event may have been at another
            # version than the one that answered.
            versions = {run.version for run in history.list_runs(call.attempt)}
            bodies = [build_stream(call, item) for item in sorted(versions)]
            expected = next(
                (body for body in bodies if body == call.answer),
                b' or '.join(bodies),
            )
        if call.answer != expected:
            yield call, f'{call.answer[:80]!r} for {expected[:80]!r}'


def build_stream(call: SoakCall, version: str) -> bytes:
    """Return the whole answer of a target of a version to a stream."""
    return b''.join(
        encode_event(number, version)
        for number in range(call.last_event + 1, EVENT_COUNT + 1)
    )


@register_check('proper_request_is_not_denied')
def check_denials(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """No request is denied: its route and key are valid all the time."""
    for call in calls:
        if call.status in (400, 401, 403, 404):
            yield call, f'status {call.status}'


@register_check('answer_comes_in_time')
def check_times(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """An answer arrives before the time-out of its route."""
    for call in calls:
        if (
            call.status
            and call.duration_s - call.queued_s - call.paused_s
            > MAX_CALL_DURATION_S
        ):
            yield (
                call,
                f'{call.duration_s:.1f} s, paused {call.paused_s:.1f} s',
            )


@register_check('read_call_is_answered')
def check_unanswered(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A call without a whole answer has an excuse."""
    for call in calls:
        if not call.status and not excuses.find_excuse(call, history):
            yield call, describe_unanswered(call, history)


@register_check('pause_is_kept')
def check_pauses(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A target that wants a pause gets no requests from that instance.

    A restart, a pause or a cut of the instance excuses it.
    """
    calls_by_attempt = {call.attempt: call for call in calls}
    for target, arrivals in history.arrivals.items():
        known = [
            (item, calls_by_attempt[item.attempt])
            for item in sorted(arrivals, key=lambda item: item.at_s)
            if item.attempt in calls_by_attempt
        ]
        for asked, asked_call in known:
            start_s = asked.answered_s
            end_s = min(
                asked.pause_end_s, find_next_life_s(target, start_s, history)
            )
            instance = asked_call.instance
            late_calls = [
                call
                for item, call in known
                if call.instance == instance
                and start_s + PAUSE_GRACE_S < item.at_s < end_s
            ]
            if (
                len(late_calls) > MAX_REQUESTS_IN_PAUSE
                and not history.is_interrupted(instance, start_s, end_s)
                and not history.is_link_harmed(target, start_s, end_s)
            ):
                yield (
                    late_calls[-1],
                    f'{len(late_calls)} requests of instance {instance} in'
                    f' {asked.pause_s:.1f} s after {target} asked for a pause',
                )


def find_next_life_s(
    target: str, after_s: float, history: SoakHistory
) -> float:
    """Return when a target that had drained came back as another life.

    What it asked for before holds no more then. It has also left until then,
    which other checks are about.
    """
    return min(
        (
            period.end_s
            for period in history.drained_periods
            if period.begins_life
            and period.target == target
            and period.end_s > after_s
        ),
        default=math.inf,
    )


def describe_unanswered(call: SoakCall, history: SoakHistory) -> str:
    """Return what the record shows of a call without a whole answer."""
    runs = history.list_runs(call.attempt)
    targets = [run.target for run in runs]
    times = {
        kind.value: history.list_times_s(call.instance, kind)
        for kind in InstanceEventKind
    }
    times['configuration'] = list(history.configuration_times_s)
    harmed_links = [
        target
        for target in history.link_faults
        if history.is_link_harmed(target, call.sent_s, call.end_s)
    ]
    since = ', '.join(
        f'{name} {_format_age(call.end_s, times_s)}'
        for name, times_s in times.items()
    )
    return (
        f'{call.failure.value} after {call.duration_s:.3f} s,'
        f' connection reused {call.is_connection_reused}'
        f' age {call.connection_age_s:.2f} s, queued {call.queued_s:.2f} s,'
        f' instance {call.instance},'
        f' route {call.route}, fault {call.fault or None}, ran at {targets},'
        f' unused {excuses.list_unused_targets(call, history, runs)},'
        f' links harmed {harmed_links}, seconds since: {since}'
    )


def _format_age(now_s: float, times_s: Sequence[float]) -> str:
    past_times_s = [at_s for at_s in times_s if at_s <= now_s]
    return f'{now_s - max(past_times_s):.2f}' if past_times_s else 'none'
