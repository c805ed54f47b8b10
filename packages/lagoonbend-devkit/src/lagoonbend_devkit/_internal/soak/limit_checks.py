"""Check of the limits that targets name."""

from collections.abc import Iterator

from lagoonbend_devkit._internal.soak.limited_period import LimitedPeriod
from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
"""The users' rule LIMIT: time from the first answer with a limit, length of a
window, time from which an instance that was told counts, and what may arrive
beyond the limit."""


@register_check('limit_is_kept')
def check_limits(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """A target gets no more than its limit from the instances it has told."""
    for period in history.limited_periods:
        counted = list_counted_arrivals(period, history)
        allowed = EXCESS_RATIO * period.rate_per_s * WINDOW_S + EXCESS_REQUESTS
        for start_s, _ in counted:
            window = [
                call
                for at_s, call in counted
                if start_s <= at_s < start_s + WINDOW_S
            ]
            if len(window) > allowed:
                yield (
                    window[-1],
                    f'{len(window)} requests in {WINDOW_S:.0f} s to'
                    f' {period.target}, which takes {period.rate_per_s} a'
                    f' second',
                )
                break


def list_counted_arrivals(
    period: LimitedPeriod, history: SoakHistory
) -> list[tuple[float, SoakCall]]:
    """Return the arrivals that count, from instances that have been told.

    A restart, a pause of the instance or a cut of its link excuses it.
    """
    known = {call.attempt: call for call in history.calls}
    told_s: dict[int, float] = {}
    for run in history.runs:
        call = known.get(run.attempt)
        if (
            call is not None
            and call.status
            and run.target == period.target
            and run.started_s >= period.start_s
        ):
            first_s = told_s.get(call.instance, call.end_s)
            told_s[call.instance] = min(first_s, call.end_s)
    first_told_s = min(told_s.values(), default=period.end_s)
    return [
        (arrival.at_s, known[arrival.attempt])
        for arrival in history.arrivals.get(period.target, ())
        if arrival.attempt in known
        and first_told_s + STABLE_WINDOW_S <= arrival.at_s <= period.end_s
        and known[arrival.attempt].instance in told_s
        and arrival.at_s >= told_s[known[arrival.attempt].instance] + TOLD_S
        and not history.is_interrupted(
            known[arrival.attempt].instance, period.start_s, arrival.at_s
        )
        and not history.is_link_harmed(
            period.target, period.start_s, arrival.at_s
        )
    ]
