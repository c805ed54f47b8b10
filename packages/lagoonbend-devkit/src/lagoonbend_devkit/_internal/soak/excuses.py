"""Reasons for which a call may stay without a whole answer.

A change of the configuration, a SIGHUP, a SIGTERM by itself, a store that is
away and a sound target that is silent for a while are none. The users' rules
excuse an instance that ends its work in the last sixth of its grace period of
8 s, for requests sent up to 3 s after the SIGTERM. Those have reached the
time-out of their route by then, so they need no excuse of their own.
"""

from collections.abc import Callable
from collections.abc import Sequence

from lagoonbend_devkit._internal.gateway.standin_target import TargetRun
from lagoonbend_devkit._internal.soak.call_failure import CallFailure
from lagoonbend_devkit._internal.soak.instance_event import InstanceEventKind
from lagoonbend_devkit._internal.soak.retry_budget import is_budget_used
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall
from lagoonbend_devkit._internal.soak.stream_event import parse_events

DISRUPTION_MARGIN_S = 1.0
"""Time after a kill or pause within which the users' rules still attribute
the end of a process to it."""
LOSS_SLACK_S = 0.2
"""Bound ``loss-slack-ms`` of the users: a request that has not been passed on
may end without an answer no later than this after it was sent."""
CONFIG_APPLY_S = 2.0
"""Bound ``config-apply-ms`` of the users, within which an instance uses a
target that is registered as ready again."""
ROUTE_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 2
"""Bound ``max-attempts`` of all routes of the fleet."""
AT_MOST_ONCE_ROUTES = ('booking', 'once-stream')
"""Routes whose requests must not run more than once."""
BREAKING_FAULTS = ('reset', 'noise', 'truncated', 'cut-stream')
"""Faults with which a target breaks off its own answer."""

Excuse = Callable[[SoakCall, SoakHistory], bool]
EXCUSES: dict[str, Excuse] = {}


def register_excuse(name: str) -> Callable[[Excuse], Excuse]:
    """Register a function that returns whether a call has this excuse."""

    def register(excuse: Excuse) -> Excuse:
        EXCUSES[name] = excuse
        return excuse

    return register


def find_excuse(call: SoakCall, history: SoakHistory) -> str:
    """Return the name of the first excuse of a call; empty if it has none."""
    for name, excuse in EXCUSES.items():
        if excuse(call, history):
            return name
    return ''


@register_excuse('no links to targets')
def is_instance_cut(call: SoakCall, history: SoakHistory) -> bool:
    """The instance reached no target; another check counts such calls."""
    return any(
        period.instance == call.instance
        and period.start_s <= call.end_s
        and period.end_s + DISRUPTION_MARGIN_S >= call.sent_s
        for period in history.cut_periods
    )


@register_excuse('instance killed')
def is_instance_killed(call: SoakCall, history: SoakHistory) -> bool:
    """The instance was killed during the call or shortly before it."""
    start_s = call.sent_s - DISRUPTION_MARGIN_S
    return any(
        start_s <= at_s <= call.end_s
        for at_s in history.list_times_s(
            call.instance, InstanceEventKind.KILLED
        )
    )


@register_excuse('instance paused')
def is_instance_paused(call: SoakCall, history: SoakHistory) -> bool:
    """The instance was paused during the call or shortly before it."""
    start_s = call.sent_s - DISRUPTION_MARGIN_S
    return any(
        period.instance == call.instance
        and period.start_s <= call.end_s
        and period.end_s >= start_s
        for period in history.paused_periods
    )


@register_excuse('instance not listening')
def is_instance_down(call: SoakCall, history: SoakHistory) -> bool:
    """A new connection came to an instance that was ending or starting."""
    is_refused = call.failure is CallFailure.NOT_CONNECTED
    is_closed = (
        call.failure is CallFailure.CLOSED
        and not call.is_connection_reused
        and call.duration_s <= LOSS_SLACK_S
        and not history.list_runs(call.attempt)
    )
    return (is_refused or is_closed) and any(
        start_s <= call.end_s and end_s >= call.sent_s
        for start_s, end_s in history.list_down_periods(call.instance)
    )


@register_excuse('crossed a close')
def has_crossed_close(call: SoakCall, history: SoakHistory) -> bool:
    """A kept connection was closed before the request was read on it."""
    return (
        call.failure is CallFailure.CLOSED
        and call.is_connection_reused
        and call.duration_s <= LOSS_SLACK_S
        and not history.list_runs(call.attempt)
    )


@register_excuse('behind an announced close')
def is_behind_close(call: SoakCall, history: SoakHistory) -> bool:
    """The answer before it was the last one on its connection."""
    return (
        call.failure is CallFailure.CLOSED
        and call.is_behind_close
        and not history.list_runs(call.attempt)
    )


@register_excuse('target broke off')
def has_broken_runs(call: SoakCall, history: SoakHistory) -> bool:
    """Targets or links broke off each run, and no attempt is left.

    None is left either if the retry budget is used up.
    """
    runs = history.list_runs(call.attempt)
    are_runs_broken = bool(runs) and all(
        call.fault in BREAKING_FAULTS
        or history.is_link_harmed(run.target, run.started_s, call.end_s)
        for run in runs
    )
    return are_runs_broken and (
        call.route in AT_MOST_ONCE_ROUTES
        or len(runs) >= MAX_ATTEMPTS
        or not list_unused_targets(call, history, runs)
        or is_budget_used(call, history, runs[0].target.partition('-')[0])
    )


def list_unused_targets(
    call: SoakCall, history: SoakHistory, runs: Sequence[TargetRun]
) -> list[str]:
    """Return the other targets of the service that could have been used."""
    if not runs:
        return []
    service = runs[0].target.partition('-')[0]
    events = parse_events(call.answer)
    # A stream goes on only at the version that began it.
    version = runs[0].version if call.resumes else ''
    if events:
        version = events[0].version
    used_targets = {run.target for run in runs}
    drained_targets = {
        period.target
        for period in history.drained_periods
        if period.start_s <= call.end_s
        and period.end_s + CONFIG_APPLY_S >= call.sent_s
    }
    pausing_targets = history.list_pausing_targets(call.sent_s, call.end_s)
    return [
        target
        for target in history.link_faults
        if target.partition('-')[0] == service
        and _is_usable(call, history, target, version)
        and target not in used_targets | drained_targets | pausing_targets
        and not history.is_link_harmed(target, call.sent_s, call.end_s)
    ]


def _is_usable(
    call: SoakCall, history: SoakHistory, target: str, version: str
) -> bool:
    """Return whether a target was ready and had a version, if one is given."""
    period = history.target_periods.get(target)
    return period is None or (
        period.start_s + CONFIG_APPLY_S <= call.sent_s
        and period.end_s >= call.end_s
        and version in ('', period.version)
    )


@register_excuse('hung up')
def has_hung_up(call: SoakCall, history: SoakHistory) -> bool:
    """The caller ended the connection inside a stream."""
    return call.failure is CallFailure.HUNG_UP


@register_excuse('time-out reached')
def is_timeout_reached(call: SoakCall, history: SoakHistory) -> bool:
    """The time-out of the route or that of the caller was reached.

    It runs from the sending. A pipelined request that had to wait may be cut
    by it only once its answer has begun; before, it can be refused.
    """
    return (
        call.failure is CallFailure.TIMED_OUT
        or call.duration_s - call.queued_s >= ROUTE_TIMEOUT_S
        or (
            call.failure is CallFailure.CUT
            and call.duration_s >= ROUTE_TIMEOUT_S
        )
    )
