"""Targets that name limits, as a fault of the soak."""

import time

import gevent

from lagoonbend_devkit._internal.soak.limited_period import LimitedPeriod
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import LIMITS
from lagoonbend_devkit._internal.soak.soak_faults import register_fault

LIMITED_SHARE = 0.9
"""Share of the soak for which a target names its limit."""
RATE_PER_S = (0.5, 8.0)
"""Range of the limits; the targets get more from the callers of the soak."""


@register_fault('name_limit', LIMITS)
def name_limit(context: FaultContext) -> None:
    """Let a target name a limit for most of the soak."""
    name = context.rng.choice(context.serving_targets)
    rate_per_s = round(context.rng.uniform(*RATE_PER_S), 1)
    target = context.fleet.targets[name]
    start_s = time.monotonic()
    target.named_limit = str(rate_per_s)
    gevent.sleep(LIMITED_SHARE * context.fault_period_s)
    target.named_limit = ''
    context.limited_periods.append(
        LimitedPeriod(name, rate_per_s, start_s, time.monotonic())
    )
