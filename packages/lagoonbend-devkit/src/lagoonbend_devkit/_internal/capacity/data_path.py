"""Cost of the data path, measured on real processes."""

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
LEVELS = ((1, 40), (50, 40), (200, 40), (50, 10), (50, 80))
REQUESTS = 300
IDLE_S = 20
HEARTBEAT_MS = 1_000
MILLISECONDS_PER_SECOND = 1000
BYTES_PER_MEGABYTE = 1_000_000
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class DataPath(NamedTuple):
    """One row of the table; times are medians over the requests.

    :param streams: concurrent streams.
    :param tokens: tokens of each stream.
    :param direct_ms: whole stream, caller to engine.
    :param through_ms: whole stream, caller to instance to engine.
    :param cpu_ms: processor time of the instance for each request.
    :param memory_mb: resident memory of the instance afterwards.
    """

    streams: int
    tokens: int
    direct_ms: float
    through_ms: float
    cpu_ms: float
    memory_mb: float


class IdleCost(NamedTuple):
    """Cost of an instance without requests.

    :param instances: size of the fleet.
    :param cpu_percent: processor time, of one core.
    :param memory_mb: resident memory.
    """

    instances: int
    cpu_percent: float
    memory_mb: float


def measure_data_path() -> list[DataPath]:
    """Return a row for each number of streams and tokens."""
    with LocalFleet(instances_per_domain=1) as fleet:
        return [_measure(fleet, *level) for level in LEVELS]


def measure_idle() -> list[IdleCost]:
    """Return the cost of an idle instance in fleets of several sizes."""
    rows = []
    for per_domain in (1, 2, 4, 8):
        with LocalFleet(per_domain, heartbeat_ms=HEARTBEAT_MS) as fleet:
            name = next(iter(fleet.instances))
            pid = fleet.processes[name].pid
            gevent.sleep(2)
            before = _read_cpu_s(pid)
            gevent.sleep(IDLE_S)
            spent = _read_cpu_s(pid) - before
            percent = 100 * spent / IDLE_S
            count = len(fleet.instances)
            rows.append(IdleCost(count, percent, _read_memory_mb(pid)))
    return rows


def _measure(fleet: LocalFleet, level: int, tokens: int) -> DataPath:
    name = next(iter(fleet.instances))
    pid = fleet.processes[name].pid
    domain = fleet.instances[name].failure_domain
    engine = fleet.target_ports[f'engine-{domain}']
    direct = _run(engine, level, tokens)
    before = _read_cpu_s(pid)
    through = _run(fleet.instances[name].caller_port, level, tokens)
    cpu_ms = (_read_cpu_s(pid) - before) * MILLISECONDS_PER_SECOND
    return DataPath(
        level,
        tokens,
        statistics.median(direct),
        statistics.median(through),
        cpu_ms / len(through),
        _read_memory_mb(pid),
    )


def _run(port: int, level: int, tokens: int) -> list[float]:
    times: list[float] = []
    left = list(range(REQUESTS if level > 1 else 30))

    def work() -> None:
        while left:
            times.append(_ask(port, left.pop(), tokens))

    gevent.joinall([gevent.spawn(work) for _ in range(level)])
    return times


def _ask(port: int, number: int, tokens: int) -> float:
    body = msgspec.json.encode(
        {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': f'question {number}'}],
            'stream': True,
            'max_tokens': tokens,
        }
    )
    headers = {'Authorization': 'Bearer demo-key'}
    started_s = time.perf_counter()
    answer = exchange(port, 'POST', CHAT_PATH, body=body, headers=headers)
    if not answer.body.endswith(b'[DONE]\n\n'):
        raise RuntimeError(f'status {answer.status}')
    return (time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND


def _read_cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _read_memory_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES / BYTES_PER_MEGABYTE
