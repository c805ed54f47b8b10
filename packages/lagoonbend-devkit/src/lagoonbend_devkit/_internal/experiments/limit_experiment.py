"""Measures how accurately instances enforce a shared customer limit."""

import random
from typing import NamedTuple

from lagoonbend.clock import PausedClock
from lagoonbend.limits import CustomerLimit
from lagoonbend.limits import CustomerLimiter
from lagoonbend.limits import LimitOwner

INSTANCE_COUNT = 7
CUSTOMER_LIMIT = CustomerLimit(50.0, 50)
DURATION_MS = 120_000
WARM_UP_MS = 20_000
REPORT_INTERVAL_MS = 1_000
CUSTOMER = 'customer'
CUT_OFF_INSTANCE_COUNT = 3
PERCENT = 100
MILLISECONDS_PER_SECOND = 1000
SKEWED_WEIGHTS = (10, 1, 1, 1, 1, 1, 1)
EVEN_WEIGHTS = (1,) * INSTANCE_COUNT


class LimitResult(NamedTuple):
    """One row of the table.

    :param way: how the limit is divided among the instances.
    :param spread: how the customer's requests are distributed over them.
    :param fault: name of the fault.
    :param passed_percent: requests that passed, in percent of what the
        limit allows, at a demand of twice the limit.
    """

    way: str
    spread: str
    fault: str
    passed_percent: float


def run_limit_experiment() -> list[LimitResult]:
    """Return a row for each division, distribution and fault."""
    return [
        measure_limit(way, spread, fault)
        for way in ('static shares', 'shares by demand')
        for spread in ('even', 'skewed')
        for fault in ('none', 'cut 4 and 3', 'owner dead')
    ]


def measure_limit(way: str, spread: str, fault: str) -> LimitResult:
    """Measure how many requests pass at a demand of twice the limit.

    Counts only requests after ``WARM_UP_MS``; a fault starts at half of it.

    :param way: how the limit is divided among the instances.
    :param spread: ``even`` or ``skewed`` distribution of the requests.
    :param fault: name of the fault.
    """
    rng = random.Random(1)
    clock = PausedClock()
    limiters = [CustomerLimiter(clock) for _ in range(INSTANCE_COUNT)]
    for limiter in limiters:
        limiter.instance_count = INSTANCE_COUNT
    owner = LimitOwner(clock)
    weights = EVEN_WEIGHTS if spread == 'even' else SKEWED_WEIGHTS
    interval_ms = int(
        MILLISECONDS_PER_SECOND / (2 * CUSTOMER_LIMIT.rate_per_s)
    )
    passed = 0
    while clock.now_ms() < DURATION_MS:
        number = rng.choices(range(INSTANCE_COUNT), weights)[0]
        if not limiters[number].take(CUSTOMER, CUSTOMER_LIMIT):
            passed += clock.now_ms() >= WARM_UP_MS
        if clock.now_ms() % REPORT_INTERVAL_MS == 0 and way != 'static shares':
            _report(limiters, owner, clock, fault)
        clock.advance(interval_ms)
    span_s = (DURATION_MS - WARM_UP_MS) / MILLISECONDS_PER_SECOND
    allowed = CUSTOMER_LIMIT.rate_per_s * span_s
    return LimitResult(way, spread, fault, PERCENT * passed / allowed)


def measure_wrong_refusals(instance_count: int) -> float:
    """Return the percentage of requests refused at a fifth of the limit."""
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
        clock.advance(REPORT_INTERVAL_MS)
    return PERCENT * refused / requests


def _report(
    limiters: list[CustomerLimiter],
    owner: LimitOwner,
    clock: PausedClock,
    fault: str,
    instance_count: int = INSTANCE_COUNT,
) -> None:
    is_fault_active = clock.now_ms() >= WARM_UP_MS // 2
    if fault == 'owner dead' and is_fault_active:
        return
    for number, limiter in enumerate(limiters):
        if (
            fault == 'cut 4 and 3'
            and is_fault_active
            and number < CUT_OFF_INSTANCE_COUNT
        ):
            continue
        demands = limiter.list_demands()
        shares = owner.report(f'instance-{number}', demands, instance_count)
        for customer, share in shares.items():
            limiter.apply_share(customer, share, clock.now_ms())
