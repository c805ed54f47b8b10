"""Checks of evacuated failure domains and of cold targets."""

from collections.abc import Iterator

from lagoonbend_devkit._internal.soak.soak_checks import register_check
from lagoonbend_devkit._internal.soak.soak_history import SoakHistory
from lagoonbend_devkit._internal.soak.soak_record import SoakCall

EVACUATE_S = 5.0
"""Bound ``evacuate-ms`` of the users: time from the acknowledged request."""
COLD_WINDOW_S = 1.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
"""Bounds ``cold-overshoot`` and ``cold-slack`` of the users, and the window to
which they apply."""


@register_check('evacuated_domain_gets_nothing')
def check_evacuations(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """No request reaches a target of an evacuated domain after the bound."""
    for period in history.evacuated_periods:
        for target in sorted(period.targets):
            for at_s, call in list_informed_arrivals(
                target, period.start_s, period.end_s, history
            ):
                late_s = at_s - period.start_s
                if late_s > EVACUATE_S:
                    yield (
                        call,
                        f'reached {target} {late_s:.1f} s after'
                        f' {period.domain} was evacuated',
                    )
                    break


@register_check('cold_rate_is_kept')
def check_cold_rates(
    calls: list[SoakCall], history: SoakHistory
) -> Iterator[tuple[SoakCall, str]]:
    """All instances together keep the bound of a cold target."""
    for period in history.cold_periods:
        counted = list_informed_arrivals(
            period.target, period.start_s, period.end_s, history
        )
        allowed = COLD_OVERSHOOT * period.rate_per_s + COLD_SLACK
        for start_s, _ in counted:
            window = [
                call
                for at_s, call in counted
                if start_s <= at_s < start_s + COLD_WINDOW_S
            ]
            if len(window) > allowed:
                yield (
                    window[-1],
                    f'{len(window)} requests in {COLD_WINDOW_S:.0f} s to'
                    f' {period.target}, which is cold and takes'
                    f' {period.rate_per_s} a second',
                )
                break


def list_informed_arrivals(
    target: str, start_s: float, end_s: float, history: SoakHistory
) -> list[tuple[float, SoakCall]]:
    """Return the arrivals in a period from instances that must know of it.

    Another instance sends the requests of one whose links are cut, so that it
    isn't known whether their sender must know.
    """
    known = {call.attempt: call for call in history.calls}
    return [
        (arrival.at_s, known[arrival.attempt])
        for arrival in history.arrivals.get(target, ())
        if arrival.attempt in known
        and start_s <= arrival.at_s <= end_s
        and history.has_been_in_touch(
            known[arrival.attempt].instance, start_s, arrival.at_s
        )
        and not any(
            cut.instance == known[arrival.attempt].instance
            and cut.start_s <= arrival.at_s <= cut.end_s
            for cut in history.cut_periods
        )
    ]
