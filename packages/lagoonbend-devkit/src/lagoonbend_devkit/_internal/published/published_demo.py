"""Demonstration on stand-ins of the users' platform."""

from collections.abc import Iterator
import signal
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.published import published_fleet

WIDTH_CHARACTERS = 110


class Promise(NamedTuple):
    """What was sent, what came back, and whether that was promised."""

    what: str
    status: int
    text: str
    kept: bool


def run_published_demo() -> int:
    """Run; return 0 only if every promise held."""
    console = Console(width=WIDTH_CHARACTERS)
    console.print('Starting a store, 4 targets and 2 instances ...')
    with published_fleet.PublishedFleet() as fleet:
        promises = list(_play(fleet))
    table = Table(title="On stand-ins of the users' platform")
    for column in ('sent', 'status', 'answer', 'as promised'):
        table.add_column(column)
    for item in promises:
        kept = 'yes' if item.kept else 'NO'
        table.add_row(item.what, str(item.status or '-'), item.text, kept)
    console.print(table)
    broken = sum(not item.kept for item in promises)
    console.print(
        f'{len(promises) - broken} of {len(promises)} promises held.'
    )
    return 1 if broken else 0


def _play(fleet: published_fleet.PublishedFleet) -> Iterator[Promise]:
    answer = _call(fleet, 'stream', 'demo-1')
    yield _judge('a stream', answer, answer.body.count(b'id:') == 5)
    answer = _call(fleet, 'stream', 'demo-2', fault='cut-stream@chat-0')
    yield _judge(
        'a stream that its engine may cut',
        answer,
        answer.body.count(b'id:') == 5,
    )
    answer = _call(fleet, 'booking', 'demo-3')
    yield _judge('a booking', answer, answer.status == 200)
    answer = _call(fleet, 'booking', 'demo-4', fault='reset')
    runs = sum(run.attempt == 'demo-4' for run in fleet.runs)
    yield _judge(
        'a booking whose answer is lost',
        answer,
        answer.status == 502 and runs == 1,
    )
    answer = _call(fleet, 'booking', 'demo-5', fault='turned-away')
    runs = sum(run.attempt == 'demo-5' for run in fleet.runs)
    yield _judge(
        'a booking that no target takes',
        answer,
        answer.status == 503 and runs == 0,
    )
    answer = _call(fleet, 'booking', 'demo-6', key='unknown')
    yield _judge('a booking with a wrong key', answer, answer.status == 401)
    fleet.processes[0].send(signal.SIGKILL)
    answer = _call(fleet, 'booking', 'demo-7', instance=1)
    yield _judge(
        'a booking after an instance was killed', answer, answer.status == 200
    )


def _judge(what: str, answer: Answer, kept: bool) -> Promise:
    text = answer.body.decode('utf-8', 'replace').split('\n', 1)[0]
    return Promise(what, answer.status, text, kept)


def _call(
    fleet: published_fleet.PublishedFleet,
    route: str,
    attempt: str,
    *,
    instance: int = 0,
    fault: str = '',
    key: str = published_fleet.KEY,
) -> Answer:
    return exchange(
        fleet.callers_port(instance),
        'POST',
        f'/{route}/demo',
        body=b'van on Friday',
        headers=published_fleet.write_call_headers(attempt, fault, key),
    )
