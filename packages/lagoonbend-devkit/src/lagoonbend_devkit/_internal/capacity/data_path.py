"""Latency and resource use of the data path, measured on real processes."""

import os
import pathlib
import statistics
import time
from typing import NamedTuple

import gevent
import msgspec

from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.fleet.local_fleet import LocalFleet

CHAT_PATH = '/v1/chat/completions'
STREAM_AND_TOKEN_COUNTS = ((1, 40), (50, 40), (200, 40), (50, 10), (50, 80))
REQUEST_COUNT = 300
IDLE_S = 20
HEARTBEAT_MS = 1_000
MILLISECONDS_PER_SECOND = 1000
BYTES_PER_MEGABYTE = 1_000_000
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class DataPathCost(NamedTuple):
    """One row of the table; times are medians over the requests.

    :param streams: number of concurrent streams.
    :param tokens: number of tokens of each stream.
    :param direct_ms: duration of a stream if the caller connects to the
        engine.
    :param through_ms: duration of a stream if it passes through an instance.
    :param cpu_ms: processor time of the instance for each request.
    :param memory_mb: resident memory of the instance after the requests.
    """

    streams: int
    tokens: int
    direct_ms: float
    through_ms: float
    cpu_ms: float
    memory_mb: float


class IdleCost(NamedTuple):
    """Resource use of an instance that serves no requests.

    :param instances: size of the fleet.
    :param cpu_percent: processor time, in percent of one core.
    :param memory_mb: resident memory of the instance.
    """

    instances: int
    cpu_percent: float
    memory_mb: float


def measure_data_path() -> list[DataPathCost]:
    """Return a row for each pair of stream count and token count."""
    with LocalFleet(instances_per_domain=1) as fleet:
        return [_measure(fleet, *counts) for counts in STREAM_AND_TOKEN_COUNTS]


def measure_idle() -> list[IdleCost]:
    """Return the resource use of an idle instance, by size of the fleet."""
    rows = []
    for per_domain in (1, 2, 4, 8):
        with LocalFleet(per_domain, heartbeat_ms=HEARTBEAT_MS) as fleet:
            name = next(iter(fleet.instances))
            pid = fleet.processes[name].pid
            gevent.sleep(2)
            before_s = _read_cpu_s(pid)
            gevent.sleep(IDLE_S)
            spent_s = _read_cpu_s(pid) - before_s
            percent = 100 * spent_s / IDLE_S
            count = len(fleet.instances)
            rows.append(IdleCost(count, percent, _read_memory_mb(pid)))
    return rows


def _measure(
    fleet: LocalFleet, stream_count: int, token_count: int
) -> DataPathCost:
    name = next(iter(fleet.instances))
    pid = fleet.processes[name].pid
    domain = fleet.instances[name].failure_domain
    engine_port = fleet.target_ports[f'engine-{domain}']
    direct_times_ms = _time_streams(engine_port, stream_count, token_count)
    before_s = _read_cpu_s(pid)
    proxied_times_ms = _time_streams(
        fleet.instances[name].caller_port, stream_count, token_count
    )
    cpu_ms = (_read_cpu_s(pid) - before_s) * MILLISECONDS_PER_SECOND
    return DataPathCost(
        stream_count,
        token_count,
        statistics.median(direct_times_ms),
        statistics.median(proxied_times_ms),
        cpu_ms / len(proxied_times_ms),
        _read_memory_mb(pid),
    )


def _time_streams(
    port: int, stream_count: int, token_count: int
) -> list[float]:
    times_ms: list[float] = []
    remaining = list(range(REQUEST_COUNT if stream_count > 1 else 30))

    def send_requests() -> None:
        while remaining:
            times_ms.append(_time_stream(port, remaining.pop(), token_count))

    gevent.joinall([gevent.spawn(send_requests) for _ in range(stream_count)])
    return times_ms


def _time_stream(port: int, number: int, token_count: int) -> float:
    body = msgspec.json.encode(
        {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': f'question {number}'}],
            'stream': True,
            'max_tokens': token_count,
        }
    )
    headers = {'Authorization': 'Bearer demo-key'}
    started_s = time.perf_counter()
    answer = exchange(port, 'POST', CHAT_PATH, body=body, headers=headers)
    if not answer.body.endswith(b'[DONE]\n\n'):
        raise RuntimeError(f'stream did not complete; status {answer.status}')
    return (time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND


def _read_cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_memory_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES / BYTES_PER_MEGABYTE
