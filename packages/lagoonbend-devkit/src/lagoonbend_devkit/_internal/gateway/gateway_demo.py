"""Demonstration of the gateway on a simulated platform."""

from collections.abc import Iterator
import signal
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from lagoonbend_devkit._internal.fleet.http import Answer
from lagoonbend_devkit._internal.fleet.http import exchange
from lagoonbend_devkit._internal.gateway import gateway_fleet

WIDTH_CHARACTERS = 110


class GatewayDemoResult(NamedTuple):
    """An answer, and whether it is the one that the guarantees require.

    :param description: what was sent.
    :param status: HTTP status code; 0 if no whole answer came.
    :param answer_text: first line of the answer's body.
    :param is_expected: True if the answer keeps the guarantees.
    """

    description: str
    status: int
    answer_text: str
    is_expected: bool


def run_gateway_demo() -> int:
    """Run all steps; return 0 only if every answer is as expected."""
    console = Console(width=WIDTH_CHARACTERS)
    console.print('Starting a store, 4 targets and 2 instances ...')
    with gateway_fleet.GatewayFleet() as fleet:
        results = list(_run_steps(fleet))
    table = Table(title="On stand-ins of the users' platform")
    for column in ('sent', 'status', 'answer', 'as promised'):
        table.add_column(column)
    for result in results:
        label = 'yes' if result.is_expected else 'NO'
        table.add_row(
            result.description,
            str(result.status or '-'),
            result.answer_text,
            label,
        )
    console.print(table)
    unexpected_count = sum(not result.is_expected for result in results)
    console.print(
        f'{len(results) - unexpected_count} of {len(results)} promises held.'
    )
    return 1 if unexpected_count else 0


def _run_steps(
    fleet: gateway_fleet.GatewayFleet,
) -> Iterator[GatewayDemoResult]:
    answer = _call(fleet, 'stream', 'demo-1')
    yield _build_result('a stream', answer, answer.body.count(b'id:') == 5)
    answer = _call(fleet, 'stream', 'demo-2', fault='cut-stream@chat-0')
    yield _build_result(
        'a stream that its engine may cut',
        answer,
        answer.body.count(b'id:') == 5,
    )
    answer = _call(fleet, 'booking', 'demo-3')
    yield _build_result('a booking', answer, answer.status == 200)
    answer = _call(fleet, 'booking', 'demo-4', fault='reset')
    run_count = sum(run.attempt == 'demo-4' for run in fleet.runs)
    yield _build_result(
        'a booking whose answer is lost',
        answer,
        answer.status == 502 and run_count == 1,
    )
    answer = _call(fleet, 'booking', 'demo-5', fault='turned-away')
    run_count = sum(run.attempt == 'demo-5' for run in fleet.runs)
    yield _build_result(
        'a booking that no target takes',
        answer,
        answer.status == 503 and run_count == 0,
    )
    answer = _call(fleet, 'booking', 'demo-6', key='unknown')
    yield _build_result(
        'a booking with a wrong key', answer, answer.status == 401
    )
    fleet.processes[0].send(signal.SIGKILL)
    answer = _call(fleet, 'booking', 'demo-7', instance=1)
    yield _build_result(
        'a booking after an instance was killed', answer, answer.status == 200
    )


def _build_result(
    description: str, answer: Answer, is_expected: bool
) -> GatewayDemoResult:
    answer_text = answer.body.decode('utf-8', 'replace').split('\n', 1)[0]
    return GatewayDemoResult(
        description, answer.status, answer_text, is_expected
    )


def _call(
    fleet: gateway_fleet.GatewayFleet,
    route: str,
    attempt: str,
    *,
    instance: int = 0,
    fault: str = '',
    key: str = gateway_fleet.API_KEY,
) -> Answer:
    return exchange(
        fleet.callers_port(instance),
        'POST',
        f'/{route}/demo',
        body=b'van on Friday',
        headers=gateway_fleet.build_call_headers(attempt, fault, key),
    )
