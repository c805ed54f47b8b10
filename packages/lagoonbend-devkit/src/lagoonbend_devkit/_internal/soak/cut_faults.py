"""Instances whose links to all targets are cut, as a fault of the soak."""

import time

import gevent

from lagoonbend_devkit._internal.gateway.link_cut import CutKind
from lagoonbend_devkit._internal.soak.cut_period import CutPeriod
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import LINKS
from lagoonbend_devkit._internal.soak.soak_faults import register_fault

CUT_COUNTS = (1, 2)
"""Range of the number of instances; at least one of a domain is left."""
CALM_SHARE = 0.1
CUT_SHARE = 0.7
"""Shares of the soak before the cut, and while it lasts."""


REPEAT_S = 0.1


@register_fault('cut_links', LINKS)
def cut_links(context: FaultContext) -> None:
    """Cut some instances off from all targets for most of the soak."""
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    numbers = context.rng.sample(
        range(len(context.fleet.processes)), context.rng.randint(*CUT_COUNTS)
    )
    kind = context.rng.choice(list(CutKind))
    start_s = time.monotonic()
    end_s = start_s + CUT_SHARE * context.fault_period_s
    while time.monotonic() < end_s:
        # Targets that start meanwhile are cut off as well.
        for number in numbers:
            context.fleet.cut_links(number, kind)
        gevent.sleep(REPEAT_S)
    for number in numbers:
        context.fleet.mend_links(number)
    context.cut_periods.extend(
        CutPeriod(number, start_s, time.monotonic()) for number in numbers
    )
