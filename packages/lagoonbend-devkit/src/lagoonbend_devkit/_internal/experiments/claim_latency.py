"""Measures what a claim adds to a call, on a fleet of real processes."""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

import gevent

from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

CALLS = 200
WARM_UP_CALLS = 20
QUARANTINE_S = 6.0
MILLISECONDS_PER_SECOND = 1000
P95_INDEX = 18


class Latency(NamedTuple):
    """One row of the table.

    :param kind: kind of key, and where its holder is.
    :param median_ms: median time of a call.
    :param p95_ms: 95th percentile of the time of a call.
    """

    kind: str
    median_ms: float
    p95_ms: float


def run_claim_latency() -> list[Latency]:
    """Return a row for each kind of key."""
    with LocalFleet() as fleet:
        gevent.sleep(QUARANTINE_S)
        here, there = 'lake-north-1', 'lake-south-1'
        return [
            _measure('no key (map look-up)', lambda n: _look_up(fleet, here)),
            _measure(
                'ticket of the same instance',
                lambda n: _book(fleet, here, fleet.request_ticket(here)),
            ),
            _measure(
                'ticket of another instance',
                lambda n: _book(fleet, here, fleet.request_ticket(there)),
            ),
            _measure(
                'bare key, any owner',
                lambda n: _book(fleet, here, f'bare-{n}'),
            ),
        ]


def _measure(kind: str, call: Callable[[int], float]) -> Latency:
    for number in range(WARM_UP_CALLS):
        call(-1 - number)
    times = [call(number) for number in range(CALLS)]
    quantiles = statistics.quantiles(times, n=20)
    return Latency(kind, statistics.median(times), quantiles[P95_INDEX])


def _look_up(fleet: LocalFleet, name: str) -> float:
    started_s = time.perf_counter()
    answer = fleet.call(name, 'GET', '/maps/1')
    return _end(started_s, answer.status)


def _book(fleet: LocalFleet, name: str, key: str) -> float:
    started_s = time.perf_counter()
    answer = fleet.call(name, 'POST', '/bookings', body=b'van', key=key)
    return _end(started_s, answer.status)


def _end(started_s: float, status: int) -> float:
    if status != 200:
        raise RuntimeError(f'status {status}')
    return (time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND
