"""Measures how near the shared limits come to what was allowed."""

import random
from typing import NamedTuple

from lagoonbend.clock import PausedClock
from lagoonbend.limits import CustomerLimit
from lagoonbend.limits import CustomerLimiter
from lagoonbend.limits import LimitOwner

INSTANCES = 7
LIMIT = CustomerLimit(50.0, 50)
DURATION_MS = 120_000
SETTLE_MS = 20_000
REPORT_MS = 1_000
CUSTOMER = 'customer'
CUT_SIDE = 3
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000
SKEWED = (10, 1, 1, 1, 1, 1, 1)
EVEN = (1,) * INSTANCES


class LimitResult(NamedTuple):
    """One row of the table.

    :param way: how the limit is shared.
    :param spread: how the customer's requests reach the instances.
    :param fault: name of the fault.
    :param passed_percent: passed requests, of what the limit allows, with
        a demand of twice the limit.
    """

    way: str
    spread: str
    fault: str
    passed_percent: float


def run_limit_experiment() -> list[LimitResult]:
    """Return a row for each way, spread and fault."""
    return [
        measure_limit(way, spread, fault)
        for way in ('static shares', 'shares by demand')
        for spread in ('even', 'skewed')
        for fault in ('none', 'cut 4 and 3', 'owner dead')
    ]


def measure_limit(way: str, spread: str, fault: str) -> LimitResult:
    """Return what passes of twice the limit."""
    rng = random.Random(1)
    clock = PausedClock()
    limiters = [CustomerLimiter(clock) for _ in range(INSTANCES)]
    for limiter in limiters:
        limiter.instance_count = INSTANCES
    owner = LimitOwner(clock)
    weights = EVEN if spread == 'even' else SKEWED
    gap_ms = int(MILLISECONDS_PER_SECOND / (2 * LIMIT.rate_per_s))
    passed = 0
    while clock.now_ms() < DURATION_MS:
        number = rng.choices(range(INSTANCES), weights)[0]
        if not limiters[number].take(CUSTOMER, LIMIT):
            passed += clock.now_ms() >= SETTLE_MS
        if clock.now_ms() % REPORT_MS == 0 and way != 'static shares':
            _report(limiters, owner, clock, fault)
        clock.advance(gap_ms)
    span_s = (DURATION_MS - SETTLE_MS) / MILLISECONDS_PER_SECOND
    allowed = LIMIT.rate_per_s * span_s
    return LimitResult(way, spread, fault, PERCENT * passed / allowed)


def measure_wrong_refusals(instance_count: int) -> float:
    """Return the refused requests, in percent, at a fifth of the limit."""
    rng = random.Random(1)
    clock = PausedClock()
    limit = CustomerLimit(5.0, 20)
    limiters = [CustomerLimiter(clock) for _ in range(instance_count)]
    for limiter in limiters:
        limiter.instance_count = instance_count
    owner = LimitOwner(clock)
    refused = 0
    requests = 0
    while clock.now_ms() < DURATION_MS:
        refused += bool(rng.choice(limiters).take(CUSTOMER, limit))
        requests += 1
        _report(limiters, owner, clock, 'none', instance_count)
        clock.advance(REPORT_MS)
    return PERCENT * refused / requests


def _report(
    limiters: list[CustomerLimiter],
    owner: LimitOwner,
    clock: PausedClock,
    fault: str,
    instance_count: int = INSTANCES,
) -> None:
    is_broken = clock.now_ms() >= SETTLE_MS // 2
    if fault == 'owner dead' and is_broken:
        return
    for number, limiter in enumerate(limiters):
        if fault == 'cut 4 and 3' and is_broken and number < CUT_SIDE:
            continue
        demands = limiter.list_demands()
        shares = owner.report(f'instance-{number}', demands, instance_count)
        for customer, share in shares.items():
            limiter.apply_share(customer, share, clock.now_ms())
