"""Evacuated failure domains and cold targets, as faults of the soak."""

import math
import time

import gevent

from lagoonbend_devkit._internal.gateway.gateway_fleet import COLD_START_S
from lagoonbend_devkit._internal.gateway.gateway_fleet import DOMAINS
from lagoonbend_devkit._internal.gateway.gateway_fleet import FIRST_BORN_MS
from lagoonbend_devkit._internal.soak.cold_period import ColdPeriod
from lagoonbend_devkit._internal.soak.drained_period import DrainedPeriod
from lagoonbend_devkit._internal.soak.evacuated_period import EvacuatedPeriod
from lagoonbend_devkit._internal.soak.soak_faults import COLD
from lagoonbend_devkit._internal.soak.soak_faults import EVACUATIONS
from lagoonbend_devkit._internal.soak.soak_faults import FaultContext
from lagoonbend_devkit._internal.soak.soak_faults import PLAIN_SERVICE
from lagoonbend_devkit._internal.soak.soak_faults import register_fault

CALM_SHARE = 0.1
"""Share of the soak before these faults begin."""
EXTRA_S = 6.0
"""Time for which they outlast the period of the other faults. Those hardly
leave an instance in touch with the store for long enough to be judged."""


@register_fault('evacuate_domain', EVACUATIONS)
def evacuate_domain(context: FaultContext) -> None:
    """Evacuate one failure domain of the targets."""
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    domain = context.rng.choice(DOMAINS)
    key = f'op/evacuate/{domain}'
    # A store that is being restored acknowledges no writes.
    with context.restore_lock:
        context.fleet.store.put(key, {})
        start_s = time.monotonic()
    gevent.sleep((1 - CALM_SHARE) * context.fault_period_s + EXTRA_S)
    with context.restore_lock:
        end_s = time.monotonic()
        context.fleet.store.delete(key)
    targets = frozenset(
        name
        for name in context.fleet.targets
        if context.fleet.find_domain(name) == domain
    )
    context.evacuated_periods.append(
        EvacuatedPeriod(domain, targets, start_s, end_s)
    )
    # Targets that return may be cold, and so count as unused for longer.
    context.drained_periods.extend(
        DrainedPeriod(name, start_s, time.monotonic() + COLD_START_S)
        for name in sorted(targets)
    )


@register_fault('cool_target', COLD)
def cool_target(context: FaultContext) -> None:
    """Let a plain server become cold, without another life.

    Releases would replace an engine too soon.
    """
    gevent.sleep(CALM_SHARE * context.fault_period_s)
    cold_s = (1 - CALM_SHARE) * context.fault_period_s + EXTRA_S
    with context.restore_lock:
        names = [
            name
            for name in context.serving_targets
            if context.target_periods[name].service == PLAIN_SERVICE
            and context.target_periods[name].end_s == math.inf
        ]
        if not names:
            return
        name = context.rng.choice(names)
        service, version, *_ = context.target_periods[name]
        born_ms = context.born_ms.get(name, FIRST_BORN_MS)
        end_s = time.monotonic() + cold_s
        context.fleet.cold_until_s[name] = end_s
        context.fleet.register_target(
            name, service, version=version, born_ms=born_ms
        )
        start_s = time.monotonic()
    gevent.sleep(cold_s)
    context.cold_periods.append(
        ColdPeriod(name, context.fleet.cold_per_s, start_s, end_s)
    )
    context.drained_periods.append(DrainedPeriod(name, start_s, end_s))
