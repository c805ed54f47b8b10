"""Measures the latency that a claim adds to a call, on real processes."""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

import gevent

from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

CALL_COUNT = 200
WARM_UP_CALL_COUNT = 20
QUARANTINE_S = 6.0
MILLISECONDS_PER_SECOND = 1000
P95_INDEX = 18  # Last of the 19 cut points between 20-quantiles.


class Latency(NamedTuple):
    """One row of the table.

    :param kind: kind of key, and which instance holds it.
    :param median_ms: median time of a call.
    :param p95_ms: 95th percentile of the time of a call.
    """

    kind: str
    median_ms: float
    p95_ms: float


def run_claim_latency() -> list[Latency]:
    """Return a row for each kind of key.

    Waits until the instances have left the quarantine after their start, in
    which they accept no bare keys.
    """
    with LocalFleet() as fleet:
        gevent.sleep(QUARANTINE_S)
        instance, other_instance = 'lake-north-1', 'lake-south-1'
        return [
            _measure(
                'no key (map look-up)',
                lambda n: _time_map_lookup(fleet, instance),
            ),
            _measure(
                'ticket of the same instance',
                lambda n: _time_booking(
                    fleet, instance, fleet.request_ticket(instance)
                ),
            ),
            _measure(
                'ticket of another instance',
                lambda n: _time_booking(
                    fleet, instance, fleet.request_ticket(other_instance)
                ),
            ),
            _measure(
                'bare key, any owner',
                lambda n: _time_booking(fleet, instance, f'bare-{n}'),
            ),
        ]


def _measure(kind: str, call: Callable[[int], float]) -> Latency:
    for number in range(WARM_UP_CALL_COUNT):
        call(-1 - number)
    times_ms = [call(number) for number in range(CALL_COUNT)]
    quantiles = statistics.quantiles(times_ms, n=20)
    return Latency(kind, statistics.median(times_ms), quantiles[P95_INDEX])


def _time_map_lookup(fleet: LocalFleet, name: str) -> float:
    started_s = time.perf_counter()
    answer = fleet.call(name, 'GET', '/maps/1')
    return _measure_elapsed_ms(started_s, answer.status)


def _time_booking(fleet: LocalFleet, name: str, key: str) -> float:
    started_s = time.perf_counter()
    answer = fleet.call(name, 'POST', '/bookings', body=b'van', key=key)
    return _measure_elapsed_ms(started_s, answer.status)


def _measure_elapsed_ms(started_s: float, status: int) -> float:
    if status != 200:
        raise RuntimeError(f'call failed with status {status}')
    return (time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND
